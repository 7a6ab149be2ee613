/**
 * The size of a reply to ask for, so that it arrives before its timeout over a link of unknown width.
 */
#pragma once

#include "bamboomoor/base/clock.hpp"

#include <algorithm>
#include <cstddef>

namespace bamboomoor::entry
{

/** @brief A size that halves with each timeout and doubles while replies arrive quickly. */
class AdaptiveSize
{
public:
    /**
     * @brief Starts with a size.
     * @param least The least size, at least 1; it has to fit the timeout over any link.
     * @param initial The first size.
     * @param most The largest size.
     */
    constexpr AdaptiveSize(std::size_t least, std::size_t initial, std::size_t most) noexcept
        : m_least(least)
        , m_most(most)
        , m_value(initial)
    {
    }

    [[nodiscard]] std::size_t value() const noexcept
    {
        return m_value;
    }

    /** @brief Takes into account a reply of the full size. @param elapsed The time since it was asked for. */
    void onArrived(base::Millis elapsed) noexcept
    {
        constexpr base::Millis QUICK{100};
        if (elapsed < QUICK) {
            m_value = std::min(m_value * 2, m_most);
        }
    }

    /** @brief Takes into account that a reply did not arrive before its timeout. */
    void onTimeout() noexcept
    {
        m_value = std::max(m_value / 2, m_least);
    }

private:
    std::size_t m_least;
    std::size_t m_most;
    std::size_t m_value;
};

} // namespace bamboomoor::entry
