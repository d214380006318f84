#include <string_view>

#include <doctest/doctest.h>

#include <lagoonsaddle/operate/page.hpp>

namespace lagoonsaddle::operate {

namespace {

struct page_fixture {
    [[nodiscard]] static bool contains_text(std::string_view text) {
        return page().find(text) != std::string_view::npos;
    }
};

} // namespace

// Guards against a page that loads resources from another host or file.
TEST_CASE_FIXTURE(page_fixture, "page_loads_no_external_resources") {
    for(const std::string_view text : {"http:", "https:", "src=", "href=", "@import", "url(", "import("}) {
        CAPTURE(text);
        CHECK_FALSE(contains_text(text));
    }
    CHECK(page().starts_with("<!doctype html>"));
    CHECK(page().ends_with("</html>\n"));
}

// Guards against names of callers or rules interpreted as markup, and against a token that outlives the tab.
TEST_CASE_FIXTURE(page_fixture, "page_script_inserts_text_only_and_keeps_token_in_session") {
    for(const std::string_view text : {"innerHTML", "outerHTML", "insertAdjacentHTML", "document.write", "eval(",
            "localStorage", "document.cookie"}) {
        CAPTURE(text);
        CHECK_FALSE(contains_text(text));
    }
    CHECK(contains_text("sessionStorage.setItem('token'"));
}

// Guards against a page that a phone shows zoomed out, or without a dark color scheme.
TEST_CASE_FIXTURE(page_fixture, "page_fits_phone_and_dark_mode") {
    CHECK(contains_text("width=device-width"));
    CHECK(contains_text("prefers-color-scheme: dark"));
}

} // namespace lagoonsaddle::operate
