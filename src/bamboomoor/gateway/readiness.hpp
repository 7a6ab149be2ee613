/**
 * What the balancer and the metrics collector ask a daemon at its own address.
 */
#pragma once

#include "bamboomoor/http/server.hpp"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace bamboomoor::gateway
{

/** @brief Answers /readyz, /healthz and /metrics. */
class Readiness final : public http::Handler
{
public:
    /**
     * @brief Makes the answers.
     * @param unready Gives one word that says why the daemon is not ready, or an empty text.
     * @param metrics Gives the metrics in the Prometheus text format.
     */
    Readiness(std::function<std::string_view()> unready, std::function<std::string()> metrics);

    void handle(http::Request request, std::shared_ptr<http::Responder> responder) override;

private:
    std::function<std::string_view()> m_unready;
    std::function<std::string()> m_metrics;
};

} // namespace bamboomoor::gateway
