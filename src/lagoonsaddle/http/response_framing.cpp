#include <lagoonsaddle/core/text.hpp>
#include <lagoonsaddle/http/message.hpp>
#include <lagoonsaddle/http/response_framing.hpp>

namespace lagoonsaddle::http {

using core::equals_ignoring_case;

response_framing check_response_framing(const fields& headers, unsigned version) {
    const auto codings = headers.find("transfer-encoding");
    if(!codings) {
        return response_framing::certain;
    }
    const auto coding = core::trim(*codings);
    const bool known = equals_ignoring_case(coding, "chunked") || equals_ignoring_case(coding, "identity");
    if(!known || headers.find("content-length")) {
        return response_framing::in_doubt;
    }
    return version < http_1_1 ? response_framing::last_on_connection : response_framing::certain;
}

} // namespace lagoonsaddle::http
