#include <chrono>
#include <set>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include <lagoonsaddle/edge/exchange_partners.hpp>

namespace lagoonsaddle::edge {

namespace {

using namespace std::chrono_literals;

struct exchange_partners_fixture {
    /*! @brief Counts how often a peer is chosen. */
    [[nodiscard]] std::size_t count_choices(const std::string& name, std::size_t choices) {
        std::size_t count{};
        for(std::size_t index{}; index < choices; ++index) {
            count += this->partners.choose(this->live, this->now) == name ? 1u : 0u;
        }
        return count;
    }

    core::time_point now{core::time_point{} + 1h};
    std::vector<std::string> live{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"};
    exchange_partners partners{exchange_partners_options{.reader_lifetime = 3s, .named_readers_max = 2u, .seed = 1u}};
};

} // namespace

// Guards against nodes that all ask the same peers in the same round, of which none may have what they look for.
TEST_CASE_FIXTURE(exchange_partners_fixture, "choose_without_known_reader_draws_from_all_peers") {
    std::set<std::string> chosen{};
    for(int index{}; index < 200; ++index) {
        chosen.insert(this->partners.choose(this->live, this->now).value_or(""));
    }
    CHECK(chosen.size() == this->live.size());
    CHECK_FALSE(this->partners.choose({}, this->now).has_value());
}

// Guards against a node that asks at random although it knows who reads the store, and against one that only asks it.
TEST_CASE_FIXTURE(exchange_partners_fixture, "choose_known_reader_takes_every_second_choice") {
    this->partners.record_reader("c", this->now);
    const auto count = this->count_choices("c", 100u);
    CHECK(count >= 50u);
    CHECK(count <= 70u);
    this->partners.remove_reader("c", this->now);
    CHECK(this->count_choices("c", 100u) <= 25u);
}

// Guards against readers that are long gone: names that nodes repeat to each other must expire.
TEST_CASE_FIXTURE(exchange_partners_fixture, "named_readers_latest_ones_until_they_expire") {
    this->partners.record_reader("a", this->now - 2s);
    this->partners.record_reader("b", this->now - 1s);
    this->partners.record_reader("c", this->now);
    this->partners.record_reader("c", this->now - 2s);
    const auto named = this->partners.named_readers(this->now);
    REQUIRE(named.size() == 2u);
    CHECK(named[0].node == "c");
    CHECK(named[0].said_at == this->now);
    CHECK(named[1].node == "b");
    CHECK(this->partners.named_readers(this->now + 3s).empty());
}

// Guards against a node that asks peers for a while which have all lost the store, as others still name them as
// readers.
TEST_CASE_FIXTURE(exchange_partners_fixture, "record_reader_words_from_before_the_removal_are_not_believed") {
    this->partners.record_reader("c", this->now - 1s);
    this->partners.remove_reader("c", this->now);
    this->partners.record_reader("c", this->now - 500ms);
    CHECK(this->partners.named_readers(this->now).empty());
    this->partners.record_reader("c", this->now + 1ms);
    CHECK(this->partners.named_readers(this->now + 1ms).size() == 1u);
}

// Guards against notices that go to one peer several times, or to fewer peers than there are.
TEST_CASE_FIXTURE(exchange_partners_fixture, "draw_peers_differ") {
    const auto drawn = this->partners.draw(this->live, 3u);
    CHECK(std::set<std::string>{drawn.begin(), drawn.end()}.size() == 3u);
    CHECK(this->partners.draw(this->live, 20u).size() == this->live.size());
}

} // namespace lagoonsaddle::edge
