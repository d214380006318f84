#include <initializer_list>
#include <platform/record_codec.hpp>
#include <platform/record_list.hpp>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <doctest/doctest.h>

#include <lagoonsaddle/core/hash.hpp>

namespace lagoonsaddle::host_platform {

namespace {

[[nodiscard]] edge::record_change decode(edge::record_kind kind, const std::string& spec) {
    return decode_object(kind, nlohmann::json::parse(R"({"metadata":{"name":"x","revision":9},"spec":)" + spec + "}"));
}

[[nodiscard]] std::string join(std::initializer_list<std::string_view> parts) {
    std::string text{};
    for(const auto part : parts) {
        text += part;
    }
    return text;
}

[[nodiscard]] std::string object_text(std::string_view name, std::string_view spec) {
    return join({R"({"metadata":{"name":")", name, R"(","revision":9},"spec":)", spec, "}"});
}

} // namespace

// Guards against using an upstream whose entry is malformed or was written in an unknown format.
TEST_CASE("decode_object_upstreams_keeps_only_valid_entries") {
    struct row {
        const char* spec;
        bool is_valid;
    };

    const std::string valid{
        R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":6,"state":"ready","born":17,"seq":4})"};
    for(const auto& [spec, is_valid] : {row{valid.c_str(), true}, row{"null", false}, row{"[]", false},
            row{"{}", false}, row{R"({"service":"s","address":"10.0.0.1:80","zone":"z","state":"unheard-of"})", false},
            row{R"({"service":7,"address":"10.0.0.1:80","zone":"z","state":"ready"})", false},
            row{R"({"service":"s","address":"10.0.0.1","zone":"z","state":"ready"})", false},
            row{R"({"service":"s","address":"10.0.0.1:99999","zone":"z","state":"ready"})", false},
            row{R"({"service":"s","address":"10.0.0.1:80","zone":"z","state":"draining","slots":"many"})", true}}) {
        CAPTURE(spec);
        CHECK(
            std::holds_alternative<edge::upstream_entry>(decode(edge::record_kind::upstreams, spec).value) == is_valid);
    }
    const auto change = decode(edge::record_kind::upstreams, valid);
    const auto& entry = std::get<edge::upstream_entry>(change.value);
    CHECK(entry.id == "x");
    CHECK(entry.started_ms == 17u);
    CHECK(entry.orders_accepted == 4u);
    CHECK(change.revision == 9u);
}

// Guards against requests and orders to an upstream that does not exist, and against header fields that its name adds.
TEST_CASE("decode_object_upstreams_odd_name_is_no_upstream") {
    nlohmann::json object = nlohmann::json::parse(
        R"({"metadata":{"revision":9},"spec":{"service":"s","address":"10.0.0.1:80","zone":"z","state":"ready"}})");
    const auto is_upstream = [&object](std::string_view name) {
        object["metadata"]["name"] = name;
        return std::holds_alternative<edge::upstream_entry>(decode_object(edge::record_kind::upstreams, object).value);
    };
    for(const auto* name : {"", "a b", "a&b", "a+b", "a#b", "a%41", "a/b", "a\r\nx: 1", "\xc3\xa4"}) {
        CAPTURE(name);
        CHECK_FALSE(is_upstream(name));
    }
    for(const auto* name : {"i-3f18e4d109", "Gpu_7.zone-1", "host:80", "model@2"}) {
        CAPTURE(name);
        CHECK(is_upstream(name));
    }
}

// Guards against taking upstreams for equal, or skipping an entry, because a version is no string.
TEST_CASE("decode_object_upstreams_returns_any_software_version_as_text") {
    const std::string long_version(100u, 'v');
    for(const auto& [stated, expected] :
        std::vector<std::pair<std::string, std::string>>{{R"("v1.1")", "v1.1"}, {"2", "2"}, {"1.5", "1.5"},
            {"null", ""}, {"[1,2]", "[1,2]"}, {R"("")", ""}, {'"' + long_version + '"', core::digest(long_version)}}) {
        CAPTURE(stated);
        const auto change = decode(edge::record_kind::upstreams,
            R"({"service":"s","address":"10.0.0.1:80","zone":"z","state":"ready","version":)" + stated + "}");
        REQUIRE(std::holds_alternative<edge::upstream_entry>(change.value));
        CHECK(std::get<edge::upstream_entry>(change.value).software_version == expected);
    }
}

// Guards against one odd entry that hides the others, in a list and among changes.
TEST_CASE("decode_list_odd_entry_costs_only_itself") {
    const std::string_view sound{R"("service":"s","address":"10.0.0.1:80","zone":"z","state":"ready","slots":6)"};
    const auto deep = std::string(200'000u, '[') + std::string(200'000u, ']');
    const std::string digits(400u, '9');
    const std::string long_name(1'000u, 'n');

    struct row {
        std::string spec;
        bool is_valid;
    };

    const auto sound_object = object_text("a", join({"{", sound, "}"}));
    for(const auto& [spec, is_valid] :
        {row{join({"{", sound, R"(,"other":1e400})"}), true}, row{join({"{", sound, R"(,"version":-9e99999})"}), true},
            row{join({"{", sound, R"(,"seq":)", digits, "}"}), true},
            row{join({"{", sound, R"(,"version":)", deep, "}"}), true}, row{deep, false}, row{digits, false},
            row{join({"{", sound, R"(,"models":[{"name":"m","adapters":)", deep, "}]}"}), true},
            row{R"({"service":"\ud800","state":"ready"})", false},
            row{join({R"({"service":")", long_name, R"(","address":"10.0.0.1:80","zone":"z","state":"ready"})"}),
                false}}) {
        CAPTURE(spec.substr(0u, 120u));
        const auto odd_object = object_text("odd", spec);
        const auto list = decode_list(edge::record_kind::upstreams,
            join({R"({"items":[)", sound_object, ",", odd_object, ",", sound_object, R"(],"storeRevision":40})"}));
        REQUIRE(list.has_value());
        const auto& records = list->page.records;
        REQUIRE(records.size() == 3u);
        CHECK(list->page.revision == 40u);
        CHECK(std::holds_alternative<edge::upstream_entry>(records[0].value));
        CHECK(records[1].name == "odd");
        CHECK(std::holds_alternative<edge::upstream_entry>(records[1].value) == is_valid);
        CHECK(std::holds_alternative<edge::upstream_entry>(records[2].value));
        const auto watch =
            decode_watch(edge::record_kind::upstreams, join({R"({"storeRevision":41,"events":[{"object":)", odd_object,
                                                           R"(,"removed":false},{"object":)", sound_object, "}]}"}));
        REQUIRE(watch.has_value());
        REQUIRE(watch->records.size() == 2u);
        CHECK(watch->records[0].name == "odd");
        CHECK(std::holds_alternative<edge::upstream_entry>(watch->records[0].value) == is_valid);
        CHECK(std::holds_alternative<edge::upstream_entry>(watch->records[1].value));
    }
    CHECK_FALSE(decode_list(edge::record_kind::upstreams, R"({"items":[{"metadata":{"name":"a)").has_value());
}

// Guards against a configuration that lacks what could not be read, and means something else without it.
TEST_CASE("decode_list_configuration_with_unreadable_part_is_no_configuration") {
    const auto page = decode_list(edge::record_kind::configuration, R"({"storeRevision":40,"items":[
        {"metadata":{"name":"main","revision":9},"spec":{"version":3,"services":[],
         "routes":[{"name":"r","host":"h","timeoutMs":1e400,"service":"s"}]}}]})");
    REQUIRE(page.has_value());
    REQUIRE(page->page.records.size() == 1u);
    CHECK(std::holds_alternative<std::monostate>(page->page.records[0].value));
}

// Guards against pages that are not read because the last object of one cannot be read.
TEST_CASE("decode_list_unreadable_last_object_goes_on_after_the_one_before") {
    auto page = decode_list(edge::record_kind::versions,
        R"({"storeRevision":40,"more":true,"items":[{"metadata":{"name":"a"},"spec":{}},{"metadata":1e400}]})");
    REQUIRE(page.has_value());
    CHECK(page->more);
    record_list pages{};
    pages.add(std::move(*page), 1u, 0u);
    CHECK_FALSE(pages.ended());
    CHECK(pages.position() == "a");
}

// Guards against a report that counts as missing for a field that is not used.
TEST_CASE("decode_report_unreadable_field_leaves_the_rest") {
    const auto report = decode_report(R"({"seq":4,"kvTotal":1e400,"running":2})");
    REQUIRE(report.has_value());
    CHECK(report->orders_accepted == 4u);
    CHECK(report->running == 2u);
    CHECK_FALSE(decode_report(R"({"seq":1e400})").has_value());
}

// Guards against streams that are forgotten or bound to another version on their way through the store.
TEST_CASE("decode_object_streams_returns_what_was_encoded") {
    using namespace std::chrono_literals;
    const edge::stream_record record{.node = "n",
        .epoch = 4u,
        .written = 90s,
        .complete_from = 20s,
        .versions = {{.service = "s", .software_version = "v1", .until = 80s},
            {.service = "s", .software_version = ""}},
        .streams = {{.request = "r", .service = "s", .software_version = "v1", .expires = 99s},
            {.request = "q", .service = "s", .expires = 98s}}};
    const auto object = nlohmann::json::parse(encode_streams(record, 7u));
    CHECK(object["metadata"]["revision"] == 7u);
    const auto change = decode_object(edge::record_kind::streams, object);
    REQUIRE(std::holds_alternative<edge::stream_record>(change.value));
    const auto& decoded = std::get<edge::stream_record>(change.value);
    CHECK(decoded.node == "n");
    CHECK(decoded.epoch == 4u);
    CHECK(decoded.written == 90s);
    CHECK(decoded.complete_from == 20s);
    REQUIRE(decoded.versions.size() == 2u);
    CHECK(decoded.versions[0].until == 80s);
    CHECK(decoded.versions[1].until == edge::service_version::in_sight);
    REQUIRE(decoded.streams.size() == 2u);
    CHECK(decoded.streams[0].software_version == "v1");
    CHECK(decoded.streams[0].expires == 99s);
    CHECK_FALSE(decoded.streams[1].software_version.has_value());
}

TEST_CASE("decode_object_configuration_returns_routes_and_services") {
    const auto change = decode_object(edge::record_kind::configuration, nlohmann::json::parse(R"({
        "metadata": {"name": "main", "revision": 3},
        "spec": {"version": 7, "routes": [
            {"name": "r", "host": "h", "pathPrefix": "/a/", "kind": "streaming", "timeoutMs": 6000,
             "targetLatencyMs": 1000, "priority": 1, "maxAttempts": 2, "resumable": true,
             "split": [{"service": "s", "weight": 90}, {"service": "t", "weight": 10}]},
            {"name": "q", "host": "h", "pathPrefix": "/b/", "kind": "safe", "timeoutMs": 800, "service": "t"},
            {"name": "p", "host": "h", "pathPrefix": "/c/", "kind": "unsafe", "timeoutMs": 800, "service": "t"}],
         "services": [{"name": "s", "maxConnections": 370, "engine": {"adapterSlots": 8, "loadsPerS": 2.8,
             "models": [{"name": "m", "loadS": 1.9}]}}, {"name": "t"}]}})"));
    const auto& config = std::get<edge::configuration>(change.value);
    REQUIRE(config.routes.size() == 3u);
    CHECK(config.routes[0].retry == edge::retry_mode::resumable);
    CHECK(config.routes[0].services[1].weight == 10u);
    CHECK(config.routes[1].retry == edge::retry_mode::idempotent);
    CHECK(config.routes[2].retry == edge::retry_mode::at_most_once);
    CHECK(config.services[0].adapter_slots == 8u);
    CHECK(config.services[0].models == std::vector<std::string>{"m"});
    CHECK(config.services[1].models.empty());
}

// Guards against keys that admit nobody or the wrong tenant, a quota that is read in the wrong unit, and a
// configuration without tenants that refuses all requests.
TEST_CASE("decode_object_configuration_returns_tenants") {
    const auto read = [](const std::string& tenants) {
        const auto change = decode_object(edge::record_kind::configuration,
            nlohmann::json::parse(R"({"metadata":{"name":"main","revision":3},"spec":{"version":7,"services":[],
                "routes":[{"name":"r","service":"s","anonymous":true},{"name":"q","service":"s"}])" +
                                  tenants + "}}"));
        return std::get<edge::configuration>(change.value);
    };
    const auto config = read(R"(,"tenants":[{"name":"a","apiKeys":["k1",7,"k2"],"priority":0,"perS":29000,
        "burst":58000,"unit":"token_count","plainTokens":900},{"name":"b","perS":5}])");
    CHECK(config.routes[0].anonymous);
    CHECK_FALSE(config.routes[1].anonymous);
    REQUIRE(config.tenants.has_value());
    REQUIRE(config.tenants->size() == 2u);
    const edge::tenant expected{.name = "a",
        .api_keys = {"k1", "k2"},
        .priority = 0u,
        .quota = {.per_second = 29'000.0, .burst = 58'000.0, .unit = edge::quota_unit::tokens, .default_tokens = 900u}};
    CHECK(config.tenants->front() == expected);
    CHECK(config.tenants->back() == edge::tenant{.name = "b", .quota = {.per_second = 5.0}});
    CHECK(read(R"(,"tenants":[])").tenants == std::vector<edge::tenant>{});
    CHECK(read(R"(,"tenants":7)").tenants == std::vector<edge::tenant>{});
    CHECK_FALSE(read(R"(,"tenants":null)").tenants.has_value());
    CHECK_FALSE(read("").tenants.has_value());
}

TEST_CASE("decode_watch_events_returns_changes_and_removals") {
    const auto page = decode_watch(edge::record_kind::versions, R"({"storeRevision": 40, "events": [
        {"removed": false, "object": {"metadata": {"name": "m.a3", "revision": 38},
            "spec": {"model": "m", "adapter": "a3", "version": 2}}},
        {"removed": true, "object": {"metadata": {"name": "m.a4", "revision": 39},
            "spec": {"model": "m", "adapter": "a4", "version": 2}}}, {"removed": false}]})");
    REQUIRE(page.has_value());
    CHECK(page->revision == 40u);
    REQUIRE(page->records.size() == 2u);
    CHECK(std::get<edge::version_record>(page->records[0].value).version == 2u);
    CHECK(std::holds_alternative<std::monostate>(page->records[1].value));
    CHECK_FALSE(decode_watch(edge::record_kind::versions, "{}").has_value());
    CHECK_FALSE(decode_watch(edge::record_kind::versions, "not json").has_value());
}

TEST_CASE("decode_report_engine_returns_resident_and_loading_adapters") {
    const auto report = decode_report(R"({"models": [{"name": "m", "version": 1, "adapters": ["a1@3", "a2"]}],
        "seq": 6, "busy": true, "coming": ["m/a9@2"]})");
    REQUIRE(report.has_value());
    CHECK(report->models.at("m").adapters.at("a1") == 3u);
    CHECK(report->models.at("m").adapters.at("a2") == 0u);
    CHECK(report->loading == std::vector<std::string>{"m/a9"});
    CHECK_FALSE(decode_report(R"({"models": []})").has_value());
}

// Guards against an order without its precondition, which could take effect after newer orders.
TEST_CASE("encode_order_adapter_contains_precondition_and_fencing_token") {
    const edge::upstream_order order{
        .model = "m", .adapter = "a3", .expected_orders = 2u, .holder = "n", .fencing_token = 41u};
    const auto body = nlohmann::json::parse(encode_order(order));
    CHECK(body == nlohmann::json::parse(
                      R"({"operation":"load","model":"m","adapter":"a3","precondition":2,"holder":"n","fence":41})"));
}

TEST_CASE("encode_lease_round_trip_returns_lease") {
    const edge::lease_record lease{.availability_zone = "z", .holder = "n", .holder_boot_id = 77u, .fencing_token = 4u};
    auto object = nlohmann::json::parse(encode_lease(lease, 5u));
    CHECK(object["metadata"]["revision"] == 5u);
    const auto change = decode_object(edge::record_kind::leases, object);
    const auto& decoded = std::get<edge::lease_record>(change.value);
    CHECK(decoded.holder_boot_id == 77u);
    CHECK(decoded.fencing_token == 4u);
    CHECK_FALSE(nlohmann::json::parse(encode_lease(lease, 0u))["metadata"].contains("revision"));
}

} // namespace lagoonsaddle::host_platform
