/**
 * Token requests of a holder: when to send one, and its content.
 */
#include "bamboomoor/budget/holder.hpp"

#include <algorithm>
#include <utility>

namespace bamboomoor::budget
{

namespace
{
// The maximum number of waiting requests of one organisation in one token request.
constexpr std::size_t MAX_NEEDS = 64;
} // namespace

std::optional<Ask> Holder::takeAsk(base::Millis now)
{
    endLease(now);
    if (m_underWay) {
        if (now < m_underWay->lastSent + m_options.resend) {
            return std::nullopt;
        }
        m_underWay->lastSent = now;
        return m_underWay->request;
    }
    const bool due = std::any_of(m_pools.begin(), m_pools.end(), [this, now](const auto &it) {
        return mustAsk(now, it.second);
    });
    if (!due) {
        return std::nullopt;
    }
    Ask request{m_options.name, m_session, m_sessionTerm, ++m_sequence, {}};
    for (auto &[name, pool] : m_pools) {
        AskEntry entry = makeEntry(now, name, pool);
        if (!entry.spends.empty() || entry.returned > 0 || entry.debt > 0 || !entry.refunds.empty()
            || !entry.needs.empty() || pool.tokens > 0 || entry.wanted > 0) {
            request.entries.push_back(std::move(entry));
        }
    }
    m_underWay = UnderWay{request, now, now};
    return request;
}

bool Holder::mustAsk(base::Millis now, const Pool &pool) const
{
    const bool needs = std::any_of(pool.waiting.begin(), pool.waiting.end(), [now](const Waiter &it) {
        return now >= it.notBefore;
    });
    const bool news = !pool.unreported.empty() || pool.debt > 0 || !pool.refunds.empty() || pool.tokens > 0;
    const bool awaited = pool.recall && !pool.unreported.empty();
    return needs || awaited || mustReturn(now, pool) || (news && now >= pool.lastAsk + m_options.report);
}

bool Holder::mustReturn(base::Millis now, const Pool &pool) const
{
    return pool.tokens > 0 && (pool.recall || !pool.waiting.empty() || now >= pool.lastSpend + m_options.idle);
}

AskEntry Holder::makeEntry(base::Millis now, const std::string &organisation, Pool &pool)
{
    AskEntry entry;
    entry.organisation = organisation;
    for (const TimedSpend &it : std::exchange(pool.unreported, {})) {
        entry.spends.push_back({it.tokens, now - it.latest});
    }
    entry.debt = std::exchange(pool.debt, 0);
    pool.reportedBy = std::exchange(pool.unreportedBy, {});
    for (const std::uint64_t id : pool.reportedBy) {
        const auto found = m_reservations.find(id);
        if (found != m_reservations.end()) {
            found->second.stage = Stage::UnderWay;
        }
    }
    for (const auto &[mark, tokens] : std::exchange(pool.refunds, {})) {
        entry.refunds.push_back({mark, tokens});
    }
    if (mustReturn(now, pool)) {
        entry.returned = std::exchange(pool.tokens, 0);
    }
    for (const Waiter &it : pool.waiting) {
        if (now >= it.notBefore && pool.asked.size() < MAX_NEEDS) {
            pool.asked.push_back(it.reservation);
            entry.needs.push_back(it.estimate);
        }
    }
    const Tokens usual = recentUse(now, pool);
    const bool idle = now >= pool.lastSpend + m_options.idle;
    if (!pool.recall && !idle && pool.tokens < usual / 2) {
        entry.wanted = usual - pool.tokens;
    }
    pool.lastAsk = now;
    return entry;
}

} // namespace bamboomoor::budget
