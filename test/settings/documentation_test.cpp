#include <fstream>
#include <sstream>

#include <doctest/doctest.h>

#include <lagoonsaddle/settings/keys.hpp>

namespace lagoonsaddle::settings {

namespace {

struct documentation_fixture {
    [[nodiscard]] static std::string read_page() {
        std::ifstream stream{LAGOONSADDLE_SETTINGS_PAGE};
        std::ostringstream text{};
        text << stream.rdbuf();
        return text.str();
    }
};

} // namespace

// Guards against a page whose keys, defaults or ranges differ from those that the reader accepts.
TEST_CASE_FIXTURE(documentation_fixture, "documentation_page_equals_table_of_keys") {
    const bool up_to_date = read_page() == render_documentation();
    if(!up_to_date) {
        std::ofstream{LAGOONSADDLE_EXPECTED_SETTINGS_PAGE} << render_documentation();
    }
    CHECK_MESSAGE(up_to_date, "docs/settings.md differs from " LAGOONSADDLE_EXPECTED_SETTINGS_PAGE);
}

} // namespace lagoonsaddle::settings
