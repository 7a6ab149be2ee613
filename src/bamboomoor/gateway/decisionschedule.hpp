/**
 * Computes when an event-driven thread makes its next decision: soon after a change, but rate-limited, so that the load
 * does not grow with the number of reporting entries.
 */
#pragma once

#include "bamboomoor/base/clock.hpp"

namespace bamboomoor::gateway
{

/** @brief Schedules decisions with a minimum and a maximum interval. */
class DecisionSchedule
{
public:
    /**
     * @brief Creates a schedule.
     * @param spacing Minimum time between two decisions.
     * @param interval Maximum time between two decisions.
     */
    DecisionSchedule(base::Millis spacing, base::Millis interval) noexcept
        : m_spacing(spacing)
        , m_interval(interval)
    {
    }

    /** @brief Records that the input of the decision has changed. */
    void noteChange() noexcept
    {
        m_hasChanges = true;
    }

    /** @brief Records that a decision was made. @param now The current time. */
    void decided(base::Millis now) noexcept
    {
        m_decidedAt = now;
        m_hasChanges = false;
    }

    /** @brief Returns when the next decision is due. */
    [[nodiscard]] base::Millis dueAt() const noexcept
    {
        return m_decidedAt + (m_hasChanges ? m_spacing : m_interval);
    }

private:
    base::Millis m_spacing;
    base::Millis m_interval;
    base::Millis m_decidedAt;
    bool m_hasChanges = false;
};

} // namespace bamboomoor::gateway
