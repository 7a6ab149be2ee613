/**
 * When a thread that takes many events decides: soon after news, yet not once for each of them, so that its load does
 * not grow with the number of those who report.
 */
#pragma once

#include "bamboomoor/base/clock.hpp"

namespace bamboomoor::gateway
{

/** @brief The times of decisions. */
class DecisionPace
{
public:
    /**
     * @brief Makes a pace.
     * @param spacing Between two decisions at least.
     * @param interval Between two decisions at most.
     */
    DecisionPace(base::Millis spacing, base::Millis interval) noexcept
        : m_spacing(spacing)
        , m_interval(interval)
    {
    }

    /** @brief Notes something new to decide on. */
    void noteNews() noexcept
    {
        m_hasNews = true;
    }

    /** @brief Notes a decision. @param now The present time. */
    void decided(base::Millis now) noexcept
    {
        m_decidedAt = now;
        m_hasNews = false;
    }

    /** @brief Tells when the next decision is due. @return The time. */
    [[nodiscard]] base::Millis dueAt() const noexcept
    {
        return m_decidedAt + (m_hasNews ? m_spacing : m_interval);
    }

private:
    base::Millis m_spacing;
    base::Millis m_interval;
    base::Millis m_decidedAt;
    bool m_hasNews = false;
};

} // namespace bamboomoor::gateway
