/**
 * Estimates how fast the engines of a service process prompts (prefill), from the time to first event of their
 * responses. All predictions of waits use this estimate, so that no constant of one deployment's engines is needed
 * elsewhere.
 *
 * The estimate must work for engines without a benchmark and for prompts of any length. Queueing before the prompt is
 * processed makes an engine look slower than it is, and a prefix cache hit that this entry does not know of makes it
 * look faster. The upper quartile of recent responses errs towards faster: a wait predicted too short sends a request
 * whose response corrects the estimate, whereas one predicted too long rejects the request and yields no observation.
 */
#pragma once

#include "bamboomoor/base/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace bamboomoor::relay
{

/** @brief The settings of an engine profile. */
struct ProfileOptions {
    // Prompt tokens per millisecond that are assumed before enough responses were observed.
    double initialRate = 19;
    // The greatest factors by which the estimate may be slower or faster than initialRate.
    double maxSlowdown = 4;
    double maxSpeedup = 8;
    // Observations of fewer tokens are ignored, as network latency and engine steps dominate them.
    std::int64_t minTokens = 500;
    // The number of observations that are kept, and of those required before the estimate is used.
    std::size_t maxObservations = 48;
    std::size_t minObservations = 3;
};

/** @brief The prefill rate of the engines of one service. */
class EngineProfile
{
public:
    /** @brief Creates a profile without observations. @param options The settings. */
    explicit EngineProfile(const ProfileOptions &options = {});

    /**
     * @brief Records the response to a prompt that was not queued behind another prompt of this entry.
     * @param tokens The prompt tokens that the engine had to process.
     * @param took The time from sending the request to its first event.
     */
    void addObservation(std::int64_t tokens, base::Millis took);

    /** @brief Returns the estimated rate. @return Prompt tokens per millisecond. */
    [[nodiscard]] double tokensPerMilli() const noexcept
    {
        return m_rate;
    }

private:
    ProfileOptions m_options;
    // Ring buffer of the most recently observed rates.
    std::vector<double> m_rates;
    std::size_t m_next = 0;
    double m_rate;
};

} // namespace bamboomoor::relay
