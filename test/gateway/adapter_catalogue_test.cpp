#include <string>
#include <string_view>

#include <doctest/doctest.h>

#include <lagoonsaddle/gateway/adapter_catalogue.hpp>

namespace lagoonsaddle::gateway {

namespace {

struct adapter_catalogue_fixture {
    void apply(std::string_view name, std::string_view value) {
        platform::config_document document{};
        document.name = name;
        document.current.value = value;
        this->adapters.apply(document);
    }

    adapter_catalogue adapters{};
};

} // namespace

// Guards against requests for unknown adapters or versions that reach an engine.
TEST_CASE_FIXTURE(adapter_catalogue_fixture, "lookup_model_with_catalogue_finds_only_listed_adapters_and_versions") {
    this->apply("catalogue-base", R"({"a": ["1", "2"], "b": []})");
    CHECK(this->adapters.lookup("base", "a", "2") == catalogue_lookup::found);
    CHECK(this->adapters.lookup("base", "a", "") == catalogue_lookup::found);
    CHECK(this->adapters.lookup("base", "a", "3") == catalogue_lookup::not_found);
    CHECK(this->adapters.lookup("base", "b", "1") == catalogue_lookup::not_found);
    CHECK(this->adapters.lookup("base", "c", "1") == catalogue_lookup::not_found);
}

// Guards against refused requests for a base model without a catalogue, and against another configuration object that
// is taken for a catalogue.
TEST_CASE_FIXTURE(adapter_catalogue_fixture, "lookup_model_without_catalogue_returns_no_catalogue") {
    this->apply("rules", R"({"a": ["1"]})");
    CHECK(this->adapters.lookup("base", "a", "1") == catalogue_lookup::no_catalogue);
    CHECK(this->adapters.adapter_counts().empty());
}

// Guards against an invalid document that clears the current catalogue.
TEST_CASE_FIXTURE(adapter_catalogue_fixture, "apply_invalid_document_keeps_current_catalogue") {
    this->apply("catalogue-base", R"({"a": ["1"]})");
    this->apply("catalogue-base", "[");
    CHECK(this->adapters.lookup("base", "a", "1") == catalogue_lookup::found);
    this->apply("catalogue-base", R"({"b": ["1"]})");
    CHECK(this->adapters.lookup("base", "a", "1") == catalogue_lookup::not_found);
}

} // namespace lagoonsaddle::gateway
