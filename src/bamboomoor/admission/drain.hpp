/**
 * Graceful shutdown: when to fail the readiness check, when to refuse, and when to leave.
 */
#pragma once

#include "bamboomoor/base/clock.hpp"
#include "bamboomoor/base/nametable.hpp"

#include <cstddef>
#include <optional>

namespace bamboomoor::admission
{

/** @brief The stages of a graceful shutdown. */
enum class DrainStage {
    // No shutdown was asked for.
    Serving,
    // Not ready, and requests are still accepted until the balancer must have seen it.
    Announcing,
    // New requests are refused, running ones go on.
    Finishing,
    // Every request has ended, or the limit has passed.
    Done
};

/** @brief The names of the stages. */
inline constexpr auto DRAIN_STAGE_NAMES = base::makeNames<DrainStage>("serving", "announcing", "finishing", "done");

/** @brief The settings of a shutdown. */
struct DrainOptions {
    // How long requests are accepted after the readiness check began to fail, in milliseconds.
    base::Millis announce{5'000};
    // The longest time from the first signal to the exit, in milliseconds.
    base::Millis limit{300'000};
};

/** @brief Tells the stage of a graceful shutdown. */
class Drain
{
public:
    /**
     * @brief Makes one that serves.
     * @param options The settings.
     */
    explicit Drain(const DrainOptions &options) noexcept
        : m_options(options)
    {
    }

    /**
     * @brief Begins the shutdown; a further call changes nothing.
     * @param now The present time.
     */
    void begin(base::Millis now) noexcept
    {
        m_begun = m_begun.value_or(now);
    }

    /**
     * @brief Tells the stage.
     * @param now The present time.
     * @param running The number of requests that have not ended.
     * @return The stage.
     */
    [[nodiscard]] DrainStage stage(base::Millis now, std::size_t running) const noexcept
    {
        if (!m_begun) {
            return DrainStage::Serving;
        }
        if (now >= *m_begun + m_options.limit) {
            return DrainStage::Done;
        }
        if (now < *m_begun + m_options.announce) {
            return DrainStage::Announcing;
        }
        return running > 0 ? DrainStage::Finishing : DrainStage::Done;
    }

    /**
     * @brief Tells what the readiness check answers, freshness apart.
     * @return False from begin() on.
     */
    [[nodiscard]] bool ready() const noexcept
    {
        return !m_begun;
    }

private:
    DrainOptions m_options;
    std::optional<base::Millis> m_begun;
};

} // namespace bamboomoor::admission
