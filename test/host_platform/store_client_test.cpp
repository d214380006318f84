#include <algorithm>
#include <chrono>
#include <cstddef>
#include <future>
#include <map>
#include <platform/record_list.hpp>
#include <platform/store_client.hpp>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>
#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <lagoonsaddle/http/client.hpp>
#include <lagoonsaddle/http/json.hpp>
#include <lagoonsaddle/http/server.hpp>

namespace lagoonsaddle::host_platform {

namespace {

namespace asio = boost::asio;

/*! @brief Objects of a store by name, as JSON. */
using object_map = std::map<std::string, std::string>;

/*! @brief Answers with pages of objects in order of name, and decodes targets as servers do. */
class paged_store final : public http::handler {
public:
    asio::awaitable<void> handle(http::request message, http::response_writer& writer) override {
        ++this->calls;
        const auto target = http::split_target(message.target);
        auto answer = this->answer(target);
        static_cast<void>(co_await writer.send(std::move(answer)));
    }

    object_map objects{};
    std::size_t page_size{1u};
    /*! @brief Longest position that is not refused. */
    std::size_t position_length_max{10'000u};
    /*! @brief Whether each page is the first one. */
    bool ignores_position{false};
    unsigned calls{};
    /*! @brief Last segment of the path of the last call. */
    std::string last_segment{};

private:
    [[nodiscard]] http::response answer(const http::target_parts& target) {
        this->last_segment = target.segments.back();
        const std::string after{this->ignores_position ? "" : target.query.find("after").value_or("")};
        if(after.size() > this->position_length_max) {
            return {.status = 414u};
        }
        std::string items{};
        auto next = after.empty() ? this->objects.begin() : this->objects.upper_bound(after);
        for(std::size_t count{}; count < this->page_size && next != this->objects.end(); ++count, ++next) {
            items.append(items.empty() ? "" : ",").append(next->second);
        }
        return {.body = R"({"storeRevision":40,"more":)" + std::string{next != this->objects.end() ? "true" : "false"} +
                        R"(,"items":[)" + items + "]}"};
    }
};

struct paged_store_fixture {
    paged_store_fixture() {
        REQUIRE(this->listener.start().has_value());
    }

    paged_store_fixture(const paged_store_fixture&) = delete;
    paged_store_fixture& operator=(const paged_store_fixture&) = delete;

    ~paged_store_fixture() {
        this->listener.close();
    }

    void add(const std::string& name) {
        const nlohmann::json object{{"metadata", {{"name", name}, {"revision", 9}}}, {"spec", {{"note", "n"}}}};
        this->store.objects[name] = object.dump();
    }

    /*! @brief Returns the result of a call of a client to the store. */
    template<typename Call>
    auto call(Call make_call) {
        http::client sender{http::client_options{}};
        store_client client{sender, {.server = {.address = "127.0.0.1", .port = this->listener.port()}}};
        auto answered = asio::co_spawn(this->context, make_call(client), asio::use_future);
        while(answered.wait_for(std::chrono::seconds{0}) != std::future_status::ready) {
            this->context.run_one();
        }
        return answered.get();
    }

    [[nodiscard]] edge::record_page list() {
        auto page = this->call([](store_client& client) { return client.list(edge::record_kind::versions); });
        REQUIRE(page.has_value());
        return std::move(*page);
    }

    [[nodiscard]] static std::vector<std::string> names(const edge::record_page& page) {
        std::vector<std::string> found{};
        for(const auto& record : page.records) {
            if(!record.name.empty()) {
                found.push_back(record.name);
            }
        }
        return found;
    }

    asio::io_context context{};
    paged_store store{};
    http::server listener{this->context, this->store, http::server_options{}};
};

} // namespace

// Guards against a list that ends, fails or goes on elsewhere after a name with a meaning in a request.
TEST_CASE_FIXTURE(paged_store_fixture, "list_odd_names_returns_all_records") {
    using namespace std::string_literals;
    for(const auto& name : {"a b"s, "a&b"s, "a+b"s, "a#b"s, "a%41"s, "a%"s, "a/b"s, "a?after=z"s, "\xc3\xa4"s,
            "a\r\nb"s, "a\0b"s, " "s, std::string(3'000u, '&'), std::string(300u, 'n')}) {
        this->add(name);
    }
    std::vector<std::string> expected{};
    for(const auto& [name, object] : this->store.objects) {
        expected.push_back(name);
    }
    for(const std::size_t page_size : {1u, 2u, 5u, 100u}) {
        CAPTURE(page_size);
        this->store.page_size = page_size;
        const auto page = this->list();
        CHECK(names(page) == expected);
        CHECK(page.is_complete());
        CHECK(page.revision == 40u);
    }
}

// Guards against a lease that is read or written under another name than that of its zone.
TEST_CASE_FIXTURE(paged_store_fixture, "read_lease_odd_zone_is_one_segment") {
    static_cast<void>(this->call([](store_client& client) { return client.read_lease("z/../x?watch=1 #\r\n"); }));
    CHECK(this->store.last_segment == "z/../x?watch=1 #\r\n");
}

// Guards against a name that cannot be read, or whose position is refused, and that hides what stands behind it
// although another name of its page is sound.
TEST_CASE_FIXTURE(paged_store_fixture, "list_odd_name_beside_sound_one_is_passed_over") {
    this->store.position_length_max = 256u;
    for(const auto* name : {"a", "c", "e", "g"}) {
        this->add(name);
    }
    this->add("b" + std::string(300u, 'b'));
    this->store.objects["d"] = R"({"metadata":{"name":"\ud800"}})";
    this->store.objects["f"] = R"({"metadata":{"name":7}})";
    for(const std::size_t page_size : {2u, 3u}) {
        CAPTURE(page_size);
        this->store.page_size = page_size;
        const auto page = this->list();
        CHECK(page.is_complete());
        CHECK(names(page) == std::vector<std::string>{"a", "b" + std::string(300u, 'b'), "c", "e", "g"});
    }
}

// Guards against a list that counts as complete though it was not read to its end, and against one without end.
TEST_CASE_FIXTURE(paged_store_fixture, "list_without_next_position_is_truncated") {
    SUBCASE("unreadable name alone on its page") {
        this->add("a");
        this->store.objects["b"] = R"({"metadata":{"name":"\ud800"}})";
    }
    SUBCASE("empty name alone on its page") {
        this->store.objects["a"] = R"({"metadata":{"name":"a"}})";
        this->store.objects["b"] = R"({"metadata":{"name":""}})";
    }
    SUBCASE("refused position") {
        this->add("a");
        this->add("b" + std::string(300u, 'b'));
        this->store.position_length_max = 256u;
    }
    SUBCASE("position without effect") {
        this->add("a");
        this->store.ignores_position = true;
    }
    this->add("c");
    const auto page = this->list();
    CHECK_FALSE(page.is_complete());
    REQUIRE_FALSE(page.records.empty());
    CHECK(page.records.front().name == "a");
    CHECK(this->store.calls <= 3u);
}

// Guards against a list without end that fills the memory, by few large pages or by many small ones.
TEST_CASE("record_list_endless_pages_end") {
    for(const std::size_t page_bytes : {std::size_t{100u}, std::size_t{1024u * 1024u}}) {
        CAPTURE(page_bytes);
        record_list pages{};
        std::size_t added{};
        for(; !pages.ended() && added <= 2u * record_list::records_max; ++added) {
            pages.add({.page = {.records = {{.name = std::to_string(added)}}}, .more = true}, 1u, page_bytes);
        }
        CHECK(added <= std::min(record_list::records_max, record_list::size_max_bytes / page_bytes) + 1u);
        CHECK_FALSE(pages.take().is_complete());
    }
}

} // namespace lagoonsaddle::host_platform
