/**
 * Implements the readiness, liveness and metrics endpoints.
 */
#include "bamboomoor/gateway/readiness.hpp"

#include <utility>

namespace bamboomoor::gateway
{

namespace
{

constexpr int OK = 200;
constexpr int NOT_FOUND = 404;
constexpr int UNAVAILABLE = 503;

http::Response plain(int status, std::string_view text)
{
    return {status, {{"Content-Type", "text/plain; charset=utf-8"}}, std::string(text) + '\n'};
}

} // namespace

Readiness::Readiness(std::function<std::string_view()> unready, std::function<std::string()> metrics)
    : m_unready(std::move(unready))
    , m_metrics(std::move(metrics))
{
}

void Readiness::handle(http::Request request, std::shared_ptr<http::Responder> responder)
{
    if (request.path == "/readyz") {
        const std::string_view reason = m_unready();
        responder->respond(reason.empty() ? plain(OK, "ready") : plain(UNAVAILABLE, reason));
    } else if (request.path == "/healthz") {
        responder->respond(plain(OK, "live"));
    } else if (request.path == "/metrics") {
        responder->respond({OK, {{"Content-Type", "text/plain; version=0.0.4"}}, m_metrics()});
    } else {
        responder->respond(plain(NOT_FOUND, "unknown path"));
    }
}

} // namespace bamboomoor::gateway
