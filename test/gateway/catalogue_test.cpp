#include <string>
#include <string_view>

#include <doctest/doctest.h>

#include <lagoonsaddle/gateway/catalogue.hpp>

namespace lagoonsaddle::gateway {

namespace {

struct catalogue_fixture {
    void apply(std::string_view name, std::string_view value) {
        platform::config_document document{};
        document.name = name;
        document.current.value = value;
        this->adapters.apply(document);
    }

    catalogue adapters{};
};

} // namespace

// Guards against unknown adapters and versions that are handed to an engine.
TEST_CASE_FIXTURE(catalogue_fixture, "check_listed_model_knows_only_its_adapters_and_versions") {
    this->apply("catalogue-base", R"({"a": ["1", "2"], "b": []})");
    CHECK(this->adapters.check("base", "a", "2") == catalogue_entry::known);
    CHECK(this->adapters.check("base", "a", "") == catalogue_entry::known);
    CHECK(this->adapters.check("base", "a", "3") == catalogue_entry::unknown);
    CHECK(this->adapters.check("base", "b", "1") == catalogue_entry::unknown);
    CHECK(this->adapters.check("base", "c", "1") == catalogue_entry::unknown);
}

// Guards against refusals for a base model that has no catalogue, and against other documents taken for one.
TEST_CASE_FIXTURE(catalogue_fixture, "check_model_without_catalogue_is_unlisted") {
    this->apply("rules", R"({"a": ["1"]})");
    CHECK(this->adapters.check("base", "a", "1") == catalogue_entry::unlisted);
    CHECK(this->adapters.sizes().empty());
}

// Guards against a broken document that empties the catalogue in force.
TEST_CASE_FIXTURE(catalogue_fixture, "apply_broken_document_keeps_catalogue_in_force") {
    this->apply("catalogue-base", R"({"a": ["1"]})");
    this->apply("catalogue-base", "[");
    CHECK(this->adapters.check("base", "a", "1") == catalogue_entry::known);
    this->apply("catalogue-base", R"({"b": ["1"]})");
    CHECK(this->adapters.check("base", "a", "1") == catalogue_entry::unknown);
}

} // namespace lagoonsaddle::gateway
