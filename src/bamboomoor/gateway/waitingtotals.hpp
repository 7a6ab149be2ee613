/**
 * What all entries have waiting at upstreams, so that each learns what the others add.
 */
#pragma once

#include "bamboomoor/base/clock.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace bamboomoor::gateway
{

/** @brief Sums over entries, by upstream; an entry that reports no more is left out after a while. */
class WaitingTotals
{
public:
    /** @brief Prompt tokens by upstream. */
    using Tokens = std::map<std::string, std::int64_t>;

    /** @brief Makes empty sums. @param lifetime How long an entry's report counts. */
    explicit WaitingTotals(base::Millis lifetime) noexcept
        : m_lifetime(lifetime)
    {
    }

    /** @brief Replaces an entry's report. @param now The present time. @param entry Whose. @param waiting The report.
     */
    void set(base::Millis now, const std::string &entry, Tokens waiting);

    /** @brief Leaves out the reports that are too old. @param now The present time. */
    void expire(base::Millis now);

    /** @brief Sums the reports of all other entries. @param entry The one left out. @return Sums above 0. */
    [[nodiscard]] Tokens others(const std::string &entry) const;

private:
    struct Report {
        base::Millis at;
        Tokens waiting;
    };

    void subtract(const Tokens &waiting);

    base::Millis m_lifetime;
    std::map<std::string, Report> m_reports;
    // The sums of m_reports; all above 0, as is each part.
    Tokens m_totals;
};

} // namespace bamboomoor::gateway
