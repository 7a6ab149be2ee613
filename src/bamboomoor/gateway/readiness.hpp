/**
 * Serves the health checks of the load balancer and the metrics on a separate address.
 */
#pragma once

#include "bamboomoor/http/server.hpp"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace bamboomoor::gateway
{

/** @brief Handles /readyz, /healthz and /metrics. */
class Readiness final : public http::Handler
{
public:
    /**
     * @brief Creates the handler.
     * @param unready Returns a one-word reason why the daemon is not ready, or an empty string.
     * @param metrics Returns the metrics in the Prometheus text format.
     */
    Readiness(std::function<std::string_view()> unready, std::function<std::string()> metrics);

    void handle(http::Request request, std::shared_ptr<http::Responder> responder) override;

private:
    std::function<std::string_view()> m_unready;
    std::function<std::string()> m_metrics;
};

} // namespace bamboomoor::gateway
