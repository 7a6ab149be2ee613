/**
 * The daemon's face towards callers, operators, upstreams and the balancer: it passes requests on by their path.
 */
#pragma once

#include "bamboomoor/daemon/operatordesk.hpp"
#include "bamboomoor/entry/desk.hpp"
#include "bamboomoor/entry/upstreamsync.hpp"
#include "bamboomoor/http/server.hpp"

#include <atomic>

namespace bamboomoor::daemon
{

/** @brief What the front works with; all outlives it. */
struct FrontContext {
    const base::Clock &clock;
    const entry::InForce &inForce;
    entry::UpstreamBook &heard;
    entry::UpstreamBook &book;
    const entry::UpstreamSync &sync;
    entry::Metrics &metrics;
    entry::Desk &desk;
    OperatorDesk &operators;
};

/** @brief Takes every HTTP request of the daemon. */
class Front final : public http::Handler
{
public:
    /** @brief Makes the front. @param context What it works with. */
    explicit Front(FrontContext context) noexcept
        : m_context(context)
    {
    }

    void handle(http::Request request, std::shared_ptr<http::Responder> responder) override;

    /** @brief Lets readiness fail from now on. */
    void drain() noexcept
    {
        m_draining = true;
    }

    /**
     * @brief Tells why this daemon is not ready.
     * @return A word for the balancer's log, or an empty text when it is ready.
     */
    [[nodiscard]] std::string_view unready() const;

private:
    [[nodiscard]] http::Response announce(const http::Request &request);

    FrontContext m_context;
    std::atomic<bool> m_draining{false};
};

} // namespace bamboomoor::daemon
