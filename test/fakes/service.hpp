/**
 * A stand-in plain service: it echoes each request and remembers that it ran it.
 */
#pragma once

#include "fakes/upstream.hpp"

#include <deque>
#include <string>

namespace bamboomoor::fakes
{

/** @brief A stand-in plain service. */
class Service final : public Upstream
{
public:
    Service(Surroundings &surroundings, unsigned index);

protected:
    void serve(
        const http::Request &request, const std::shared_ptr<http::Responder> &responder, FaultKind fault) override;
    void describe(nlohmann::json &document) const override;
    void report(nlohmann::json &document) const override;
    [[nodiscard]] nlohmann::json runs() const override;
    void restart() override;

private:
    struct Run {
        std::string requestId;
        std::string method;
        std::string path;
        std::string body;
    };

    const std::string m_name;
    mutable absl::Mutex m_serviceMutex;
    std::int64_t m_count ABSL_GUARDED_BY(m_serviceMutex) = 0;
    // The latest runs, at most MAX_RUNS.
    std::deque<Run> m_runs ABSL_GUARDED_BY(m_serviceMutex);
};

} // namespace bamboomoor::fakes
