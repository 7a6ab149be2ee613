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

std::optional<TokenRequest> Holder::takeRequest(base::Millis now)
{
    expireLease(now);
    if (m_inFlight) {
        if (now < m_inFlight->resendAt) {
            return std::nullopt;
        }
        m_inFlight->resendTimeout = std::min(m_inFlight->resendTimeout * 2, m_options.maxResendTimeout);
        m_inFlight->resendAt = now + m_inFlight->resendTimeout;
        return m_inFlight->request;
    }
    const bool due = std::any_of(m_pools.begin(), m_pools.end(), [this, now](const auto &it) {
        return mustRequest(now, it.second);
    });
    if (!due) {
        return std::nullopt;
    }
    TokenRequest request{m_options.name, m_session, m_sessionTerm, ++m_sequence, {}};
    for (auto &[name, pool] : m_pools) {
        TokenRequestEntry entry = makeEntry(now, name, pool);
        if (!entry.spends.empty() || entry.returned > 0 || entry.debt > 0 || !entry.refunds.empty()
            || !entry.needs.empty() || pool.tokens > 0 || entry.desired > 0) {
            request.entries.push_back(std::move(entry));
        }
    }
    const base::Millis timeout = std::clamp(m_replyTime * 2, m_options.resendTimeout, m_options.maxResendTimeout);
    m_inFlight = InFlightRequest{request, now, now + timeout, timeout};
    return request;
}

bool Holder::mustRequest(base::Millis now, const Pool &pool) const
{
    const bool needs = std::any_of(pool.waiting.begin(), pool.waiting.end(), [now](const Waiter &it) {
        return now >= it.notBefore;
    });
    const bool news = !pool.unreported.empty() || pool.debt > 0 || !pool.refunds.empty() || pool.tokens > 0;
    const bool awaited = pool.recall && !pool.unreported.empty();
    return needs || awaited || mustReturn(now, pool) || (news && now >= pool.lastRequest + m_options.reportInterval);
}

bool Holder::mustReturn(base::Millis now, const Pool &pool) const
{
    return pool.tokens > 0 && (pool.recall || !pool.waiting.empty() || now >= pool.lastSpend + m_options.idleTimeout);
}

TokenRequestEntry Holder::makeEntry(base::Millis now, const std::string &organisation, Pool &pool)
{
    TokenRequestEntry entry;
    entry.organisation = organisation;
    for (const TimedSpend &it : std::exchange(pool.unreported, {})) {
        entry.spends.push_back({it.tokens, now - it.latest});
    }
    entry.debt = std::exchange(pool.debt, 0);
    pool.reportedBy = std::exchange(pool.unreportedBy, {});
    for (const std::uint64_t id : pool.reportedBy) {
        const auto found = m_reservations.find(id);
        if (found != m_reservations.end()) {
            found->second.stage = Stage::InFlight;
        }
    }
    for (const auto &[mark, tokens] : std::exchange(pool.refunds, {})) {
        entry.refunds.push_back({mark, tokens});
    }
    if (mustReturn(now, pool)) {
        entry.returned = std::exchange(pool.tokens, 0);
    }
    for (const Waiter &it : pool.waiting) {
        if (now >= it.notBefore && pool.requested.size() < MAX_NEEDS) {
            pool.requested.push_back(it.reservation);
            entry.needs.push_back(it.estimate);
        }
    }
    const Tokens usual = recentUse(now, pool);
    const bool idle = now >= pool.lastSpend + m_options.idleTimeout;
    if (!pool.recall && !idle && pool.tokens < usual / 2) {
        entry.desired = usual - pool.tokens;
    }
    pool.lastRequest = now;
    return entry;
}

} // namespace bamboomoor::budget
