/**
 * Keeps texts that repeat from being logged each time.
 */
#pragma once

#include "bamboomoor/base/clock.hpp"

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

namespace bamboomoor::base
{

/** @brief Tells which texts were seen lately; for one thread. */
class RepeatFilter
{
public:
    /**
     * @brief Constructs an empty filter.
     * @param span For how long a text counts as a repeat of the one that was let through.
     * @param most The most texts that are remembered; above 0.
     */
    RepeatFilter(Millis span, std::size_t most)
        : m_span(span)
        , m_most(most)
    {
    }

    /**
     * @brief Asks whether a text is new.
     * @param now Current time.
     * @param text The text.
     * @return False if it was let through less than the span ago, or as many others were as are remembered.
     */
    [[nodiscard]] bool isNew(Millis now, std::string_view text)
    {
        std::erase_if(m_seen, [this, now](const auto &it) {
            return now - it.second >= m_span;
        });
        return m_seen.size() < m_most && m_seen.emplace(text, now).second;
    }

private:
    Millis m_span;
    std::size_t m_most;
    // When each text was let through; at most m_most.
    std::map<std::string, Millis, std::less<>> m_seen;
};

} // namespace bamboomoor::base
