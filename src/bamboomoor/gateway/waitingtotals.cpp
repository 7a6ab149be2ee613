/**
 * Implements the totals of the tokens that entries have waiting at upstreams.
 */
#include "bamboomoor/gateway/waitingtotals.hpp"

#include <utility>

namespace bamboomoor::gateway
{

void WaitingTotals::set(base::Millis now, const std::string &entry, Tokens waiting)
{
    std::erase_if(waiting, [](const auto &it) {
        return it.second <= 0;
    });
    Report &report = m_reports[entry];
    subtract(report.waiting);
    report = {now, std::move(waiting)};
    for (const auto &[upstream, tokens] : report.waiting) {
        m_totals[upstream] += tokens;
    }
}

void WaitingTotals::expire(base::Millis now)
{
    std::erase_if(m_reports, [&](const auto &it) {
        const bool old = now - it.second.at > m_lifetime;
        if (old) {
            subtract(it.second.waiting);
        }
        return old;
    });
}

WaitingTotals::Tokens WaitingTotals::others(const std::string &entry) const
{
    Tokens sums;
    forOthers(entry, [&sums](const std::string &upstream, std::int64_t tokens) {
        sums.emplace(upstream, tokens);
    });
    return sums;
}

void WaitingTotals::subtract(const Tokens &waiting)
{
    for (const auto &[upstream, tokens] : waiting) {
        const auto it = m_totals.find(upstream);
        it->second -= tokens;
        if (it->second == 0) {
            m_totals.erase(it);
        }
    }
}

} // namespace bamboomoor::gateway
