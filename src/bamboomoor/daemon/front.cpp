/**
 * The daemon's face towards callers, operators, upstreams and the balancer.
 */
#include "bamboomoor/daemon/front.hpp"
#include "bamboomoor/membership/codec.hpp"

#include <nlohmann/json.hpp>

namespace bamboomoor::daemon
{

namespace
{

constexpr std::string_view OPERATOR_PREFIX = "/operator/v1/";

http::Response plain(int status, std::string_view text)
{
    return {status, {{"Content-Type", "text/plain; charset=utf-8"}}, std::string(text) + '\n'};
}

http::Response refuseAnnouncement(int status, std::string_view code, const std::string &message)
{
    const nlohmann::json body{{"error", {{"type", "announcement"}, {"code", code}, {"message", message}}}};
    return {status, {{"Content-Type", "application/json"}}, body.dump() + '\n'};
}

} // namespace

void Front::handle(http::Request request, std::shared_ptr<http::Responder> responder)
{
    if (request.path == "/healthz") {
        responder->respond(plain(200, "live"));
    } else if (request.path == "/readyz") {
        const std::string_view reason = unready();
        responder->respond(reason.empty() ? plain(200, "ready") : plain(503, reason));
    } else if (request.path == "/metrics") {
        responder->respond({200, {{"Content-Type", "text/plain; version=0.0.4"}}, m_context.metrics.text()});
    } else if (request.path == "/upstream/v1/announce" && request.method == "POST") {
        responder->respond(announce(request));
    } else if (request.path.compare(0, OPERATOR_PREFIX.size(), OPERATOR_PREFIX) == 0) {
        m_context.operators.handle(std::move(request), responder);
    } else {
        m_context.desk.handle(std::move(request), responder);
    }
}

std::string_view Front::unready() const
{
    if (m_draining) {
        return "draining";
    }
    if (m_context.clock.now() >= m_context.inForce.freshUntil()) {
        return "not_fresh";
    }
    return m_context.sync.synced() ? "" : "upstreams_unknown";
}

http::Response Front::announce(const http::Request &request)
{
    auto announcement = membership::parse(request.body);
    if (!announcement) {
        const auto &error = announcement.error();
        m_context.metrics.announced("malformed");
        return refuseAnnouncement(400, membership::PARSE_ERROR_KIND_NAMES.name(error.kind), error.field);
    }
    const base::Millis now = m_context.clock.now();
    m_context.heard.announce(now, announcement.value());
    const membership::AnnounceOutcome verdict = m_context.book.announce(now, std::move(announcement.value()));
    const std::string_view name = membership::ANNOUNCE_OUTCOME_NAMES.name(verdict);
    m_context.metrics.announced(name);
    if (now >= m_context.inForce.freshUntil()) {
        // It is known here only; the upstream is sent to an entry that the voters hear.
        return refuseAnnouncement(503, "not_fresh", "this entry is cut off from the voters; announce to another one");
    }
    if (verdict == membership::AnnounceOutcome::OlderIncarnation) {
        return refuseAnnouncement(409, name, "a later incarnation has announced itself");
    }
    const nlohmann::json body{{"verdict", name}};
    return {200, {{"Content-Type", "application/json"}}, body.dump() + '\n'};
}

} // namespace bamboomoor::daemon
