/**
 * Sums the prompt tokens that the entries have waiting at upstreams, so that each entry learns the load added by
 * others.
 */
#pragma once

#include "bamboomoor/base/clock.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace bamboomoor::gateway
{

/** @brief Sums by upstream over all entries; the report of an entry expires after a fixed lifetime. */
class WaitingTotals
{
public:
    /** @brief Prompt tokens by upstream. */
    using Tokens = std::map<std::string, std::int64_t>;

    /** @brief Creates empty totals. @param lifetime Lifetime of an entry's report. */
    explicit WaitingTotals(base::Millis lifetime) noexcept
        : m_lifetime(lifetime)
    {
    }

    /** @brief Replaces an entry's report. @param now The current time. @param entry The entry. @param waiting The
     * report.
     */
    void set(base::Millis now, const std::string &entry, Tokens waiting);

    /** @brief Removes expired reports. @param now The current time. */
    void expire(base::Millis now);

    /** @brief Sums the reports of all other entries. @param entry The entry to exclude. @return Only totals above 0. */
    [[nodiscard]] Tokens others(const std::string &entry) const;

    /** @brief Visits the sums of the reports of all other entries. @param entry The entry to exclude. @param visit
     * Called with each upstream whose total is above 0, and the total. */
    template<typename Visit>
    void forOthers(const std::string &entry, Visit visit) const
    {
        static const Tokens NONE;
        const auto own = m_reports.find(entry);
        const Tokens &excluded = own == m_reports.end() ? NONE : own->second.waiting;
        auto it = excluded.begin();
        for (const auto &[upstream, tokens] : m_totals) {
            // Both are sorted, and the totals have all upstreams of each report.
            const bool isOwn = it != excluded.end() && it->first == upstream;
            const std::int64_t others = isOwn ? tokens - (it++)->second : tokens;
            if (others > 0) {
                visit(upstream, others);
            }
        }
    }

private:
    struct Report {
        base::Millis at;
        Tokens waiting;
    };

    void subtract(const Tokens &waiting);

    base::Millis m_lifetime;
    std::map<std::string, Report> m_reports;
    // Totals over m_reports; all values are above 0, as are those of each report.
    Tokens m_totals;
};

} // namespace bamboomoor::gateway
