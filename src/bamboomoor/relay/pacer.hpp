/**
 * Adaptive rate control for the prompts that one entry sends to one engine.
 *
 * It handles an overload in which several entries, which do not see each other's requests, send more prompts for a
 * model than its engines can process. An engine interleaves prefill with the decoding of its running streams, so that a
 * backlog of prompts stretches the pauses between the events of all its streams. Every entry observes these pauses in
 * its own streams; each lowers its rate while they approach the objective and raises it while they are short
 * (multiplicative increase and decrease). Together the entries thus converge on the engine's rate without coordination.
 *
 * A token bucket counts prompt tokens. It may be overdrawn by one prompt, so that a long prompt is delayed no more than
 * short ones of the same total length.
 */
#pragma once

#include "bamboomoor/base/clock.hpp"

#include <cstdint>
#include <optional>

namespace bamboomoor::relay
{

/** @brief The settings of a pacer; rates are in prompt tokens per millisecond. */
struct PacerOptions {
    // The initial rate: a sixth of the rate of a typical engine, as several entries start at the same time.
    double initialRate = 3;
    // The lower bound: one prompt of 2,000 tokens in 4 s.
    double minRate = 0.5;
    // The upper bound: the rate of a typical engine.
    double maxRate = 19;
    // The bucket size in tokens: a short prompt. A few entries that send one each fill one step of an engine.
    double burst = 1'500;
    // A pause of at least decreaseThreshold of the objective lowers the rate, one of at most increaseThreshold raises
    // it.
    double decreaseThreshold = 0.5;
    double increaseThreshold = 0.275;
    // The factors of one decrease and of one increase.
    double decreaseFactor = 0.7;
    double increaseFactor = 1.12;
    // The recovery of a lowered rate per millisecond, as an engine without streams gives no feedback.
    double recoveryRate = 0.0003;
    // The least interval between two decreases and between two increases, after which sent prompts show their effect.
    base::Millis decreaseInterval{400};
    base::Millis increaseInterval{200};
    // An engine counts as overloaded for this time after a decrease; about the duration of a stream.
    base::Millis overloadMemory{3'000};
};

/** @brief Controls the rate of prompts from one entry to one engine. */
class Pacer
{
public:
    /** @brief Creates a pacer with a full bucket. @param options The settings. */
    explicit Pacer(const PacerOptions &options = {}) noexcept
        : m_options(options)
        , m_rate(options.initialRate)
        , m_tokens(options.burst)
    {
    }

    /** @brief Tells whether a prompt may be sent. @param now The current time. @return True if the bucket is not empty.
     */
    [[nodiscard]] bool canSend(base::Millis now) const noexcept
    {
        return tokensAt(now) > 0;
    }

    /**
     * @brief Charges a prompt that was sent.
     * @param now The current time.
     * @param tokens The tokens that the engine has to process.
     */
    void sent(base::Millis now, std::int64_t tokens) noexcept;

    /** @brief Refunds a prompt that the engine did not process. @param tokens As passed to sent(). */
    void refund(std::int64_t tokens) noexcept;

    /**
     * @brief Adjusts the rate to a pause between two events of a stream, or to the wait for its first event.
     * @param now The current time.
     * @param pause The observed duration.
     * @param objective The greatest acceptable duration.
     */
    void onPause(base::Millis now, base::Millis pause, base::Millis objective) noexcept;

    /**
     * @brief Tells whether the engine has recently been overloaded.
     * @param now The current time.
     * @return False if its streams show no long pauses; its prompts then need no pacing.
     */
    [[nodiscard]] bool isOverloaded(base::Millis now) const noexcept
    {
        return m_decreasedAt && now - *m_decreasedAt < m_options.overloadMemory;
    }

    /** @brief Returns the current rate. @return Prompt tokens per millisecond. */
    [[nodiscard]] double rate() const noexcept
    {
        return m_rate;
    }

    /** @brief Returns the deficit of the bucket. @param now The current time. @return Tokens; 0 if it is not overdrawn.
     */
    [[nodiscard]] double deficit(base::Millis now) const noexcept;

private:
    void recover(base::Millis now) noexcept;
    [[nodiscard]] double tokensAt(base::Millis now) const noexcept;

    PacerOptions m_options;
    double m_rate;
    // The bucket level at m_updatedAt; overdrawn by at most one prompt.
    double m_tokens;
    base::Millis m_updatedAt;
    // Unset before the first decrease.
    std::optional<base::Millis> m_decreasedAt;
    base::Millis m_increasedAt;
    base::Millis m_recoveredAt;
};

} // namespace bamboomoor::relay
