/**
 * How fast one entry sends prompts to one engine.
 *
 * The load that it answers: more prompts for a model than its engines can read, from entries that do not see one
 * another's. An engine reads prompts between the tokens of its running streams, so that one that never runs out of
 * prompts stretches the pauses of every stream on it. All entries see these pauses in the events of their own streams;
 * each slows down while they come near the objective and speeds up while they are short, so that together they find
 * the engine's rate without a word between them.
 *
 * Prompts are counted in tokens by a bucket that may go below zero by one prompt: long prompts are not held back more
 * than short ones of the same length together.
 */
#pragma once

#include "bamboomoor/base/clock.hpp"

#include <cstdint>
#include <optional>

namespace bamboomoor::relay
{

/** @brief The settings of a pacer; rates are prompt tokens a millisecond. */
struct PacerOptions {
    // A sixth of what an engine of today reads, as several entries begin at once.
    double firstRate = 3;
    // One prompt of 2,000 tokens in 4 s.
    double leastRate = 0.5;
    // What an engine of today reads.
    double mostRate = 19;
    // A short prompt; a few entries that send one each fill one step of an engine.
    double burst = 1'500;
    // Pauses above this part of the objective slow down, below the other one speed up.
    double slowPart = 0.5;
    double quickPart = 0.275;
    // The factor of one step down, and of one step up.
    double slowFactor = 0.7;
    double quickFactor = 1.12;
    // What a rate gains in a millisecond by itself, as an engine without streams shows no pauses.
    double regained = 0.0003;
    // Between two steps down, and between two steps up; prompts that are sent show their effect by then.
    base::Millis slowInterval{400};
    base::Millis quickInterval{200};
    // An engine counts as strained for this time after a step down; about the time of a stream.
    base::Millis strainMemory{3'000};
};

/** @brief The rate of one entry to one engine. */
class Pacer
{
public:
    /** @brief Makes a pacer with a full bucket. @param options The settings. */
    explicit Pacer(const PacerOptions &options = {}) noexcept
        : m_options(options)
        , m_rate(options.firstRate)
        , m_tokens(options.burst)
    {
    }

    /** @brief Tells whether a prompt may be sent. @param now The present time. @return True when one may. */
    [[nodiscard]] bool open(base::Millis now) const noexcept
    {
        return tokensAt(now) > 0;
    }

    /**
     * @brief Notes a prompt that was sent.
     * @param now The present time.
     * @param tokens What the engine has to read of it.
     */
    void sent(base::Millis now, std::int64_t tokens) noexcept;

    /** @brief Gives back a prompt that the engine did not read. @param tokens As in sent(). */
    void unsent(std::int64_t tokens) noexcept;

    /**
     * @brief Takes the pause between two events of a stream, or the wait for a first event.
     * @param now The present time.
     * @param pause How long it was.
     * @param objective How long it may be.
     */
    void paused(base::Millis now, base::Millis pause, base::Millis objective) noexcept;

    /**
     * @brief Tells whether the engine has shown lately that it has more to read than it can.
     * @param now The present time.
     * @return False for one whose streams do not pause; its prompts need no pace.
     */
    [[nodiscard]] bool strained(base::Millis now) const noexcept
    {
        return m_slowedAt && now - *m_slowedAt < m_options.strainMemory;
    }

    /** @brief Gives the present rate. @return Prompt tokens a millisecond. */
    [[nodiscard]] double rate() const noexcept
    {
        return m_rate;
    }

    /** @brief Gives what is missing to a prompt. @param now The present time. @return Tokens, 0 when it is open. */
    [[nodiscard]] double missing(base::Millis now) const noexcept;

private:
    void recover(base::Millis now) noexcept;
    [[nodiscard]] double tokensAt(base::Millis now) const noexcept;

    PacerOptions m_options;
    double m_rate;
    // As of m_at; below zero by one prompt at most.
    double m_tokens;
    base::Millis m_at;
    // Nothing before the first step down.
    std::optional<base::Millis> m_slowedAt;
    base::Millis m_quickenedAt;
    base::Millis m_recoveredAt;
};

} // namespace bamboomoor::relay
