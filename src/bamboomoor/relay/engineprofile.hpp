/**
 * How fast the engines of a service read prompts, learned from their answers. Whatever predicts a wait asks here, so
 * that no figure of one deployment's engines stands elsewhere.
 *
 * The load that it answers: engines that nobody measured, with prompts of any length. A wait before the prompt is read
 * makes an engine look slower than it is, and a kept prompt that this entry does not know of makes it look faster. The
 * upper quartile of the last answers errs towards the faster one: a prediction that is too short sends a request whose
 * answer corrects it, one that is too long refuses it and learns nothing.
 */
#pragma once

#include "bamboomoor/base/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace bamboomoor::relay
{

/** @brief The settings of a profile. */
struct ProfileOptions {
    // Prompt tokens that an engine is assumed to read in a millisecond before its first answers.
    double firstRate = 19;
    // How much slower and faster than that it may be taken for.
    double mostSlower = 4;
    double mostFaster = 8;
    // Shorter prompts tell more of the network and of steps than of reading.
    std::int64_t leastTokens = 500;
    // Answers that are remembered, and those that are needed before they count.
    std::size_t remembered = 48;
    std::size_t needed = 3;
};

/** @brief The engines of one service. */
class EngineProfile
{
public:
    /** @brief Makes a profile that has seen nothing. @param options The settings. */
    explicit EngineProfile(const ProfileOptions &options = {});

    /**
     * @brief Takes an answer to a prompt that waited behind none of this entry's.
     * @param tokens What was to be read.
     * @param took From the sending of the request to its first event.
     */
    void answered(std::int64_t tokens, base::Millis took);

    /** @brief Tells the rate. @return Prompt tokens a millisecond. */
    [[nodiscard]] double tokensPerMilli() const noexcept
    {
        return m_rate;
    }

private:
    ProfileOptions m_options;
    // The rates that the last answers showed, oldest replaced first.
    std::vector<double> m_rates;
    std::size_t m_next = 0;
    double m_rate;
};

} // namespace bamboomoor::relay
