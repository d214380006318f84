#include <utility>

#include <lagoonsaddle/upstream/internal_error.hpp>
#include <lagoonsaddle/upstream/service_client.hpp>

namespace lagoonsaddle::upstream {

namespace {

constexpr unsigned status_unavailable{503u};

} // namespace

service_client::service_client(http::client& sender, core::endpoint service)
    : client{sender}, endpoint{std::move(service)} {}

boost::asio::awaitable<core::result<http::response>> service_client::send(service_call call) {
    http::request request{
        .method = std::move(call.method), .target = "/" + call.path, .headers = {}, .body = std::move(call.body)};
    request.headers.set("x-request-id", call.request_id);
    if(!call.content_type.empty()) {
        request.headers.set("content-type", call.content_type);
    }
    if(!call.idempotency_key.empty()) {
        request.headers.set("idempotency-key", call.idempotency_key);
    }
    auto response = co_await this->client.send(this->endpoint, std::move(request), call.timeout);
    if(response && response->status == status_unavailable) {
        auto error = internal::parse_error_response(response->status, response->body);
        if(error.verdict == core::verdict::not_run) {
            co_return tl::make_unexpected(std::move(error));
        }
    }
    co_return response;
}

} // namespace lagoonsaddle::upstream
