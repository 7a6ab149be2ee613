/**
 * Ceilings of the budget authority: which records it replicates, and what they allow it to grant. A record contains the
 * bucket's level and the maximum number of tokens that holders may have been granted. A deposed authority that does not
 * know of its successor grants no more than its latest committed record reserves, and nothing once that record has
 * expired. The successor counts the whole reserve as outstanding until the last grant has expired.
 */
#include "bamboomoor/budget/authority.hpp"

#include <algorithm>

namespace bamboomoor::budget
{

namespace
{
// The lower bound of a reserve is the burst divided by this.
constexpr Tokens RESERVE_DIVISOR = 16;
// The upper bound of a reserve is the burst divided by this, since a successor counts it as spent until it expires;
// only slow commits raise it.
constexpr Tokens EXPOSURE_DIVISOR = 4;
// A record whose level is too low by more than the burst divided by this is renewed.
constexpr Tokens LAG_DIVISOR = 8;

// A reserve lasts for this many commits, so that the next one is committed before it is used up.
constexpr std::int64_t COMMITS_COVERED = 2;
constexpr std::int64_t MILLIS_PER_SECOND = 1'000;
} // namespace

Tokens Authority::usualReserve(const Limit &limit) const
{
    const Tokens least = limit.burst / RESERVE_DIVISOR;
    const Tokens most = limit.burst / EXPOSURE_DIVISOR;
    const Tokens usual = std::clamp<Tokens>(limit.rate, std::max<Tokens>(least, 1), std::max<Tokens>(most, 1));
    const Tokens covering = limit.rate * COMMITS_COVERED * m_commitTime.count / MILLIS_PER_SECOND;
    return std::max(usual, std::min(covering, limit.burst));
}

bool Authority::isConfirmed(base::Millis now) const noexcept
{
    return m_confirmedAt && now < *m_confirmedAt + m_options.authorityLease;
}

Tokens Authority::grantable(base::Millis now, const std::string &organisation, const Account &account) const
{
    return isConfirmed(now) ? reserved(organisation, account) : 0;
}

Tokens Authority::reserved(const std::string &organisation, const Account &account) const
{
    Tokens least = account.reserve;
    for (const Proposal &it : m_proposals) {
        const auto found = it.reserves.find(organisation);
        if (found != it.reserves.end()) {
            least = std::min(least, found->second);
        }
    }
    return least;
}

bool Authority::needsCeiling(base::Millis now, const std::string &organisation, const Account &account) const
{
    const Tokens free = std::max<Tokens>(ungranted(now, account), 0);
    if (account.recorded && free < *account.recorded) {
        return true;
    }
    const Tokens usual = std::min(usualReserve(account.bucket->limit()), free);
    if (account.used && free > 0) {
        const Tokens left = reserved(organisation, account);
        if (!account.proposed || account.uncoveredNeed > left || left < usual / 2) {
            return true;
        }
    }
    const Tokens lag = account.recorded ? free - usual - *account.recorded : 0;
    return lag > account.bucket->limit().burst / LAG_DIVISOR && now >= account.proposedAt + m_options.ceilingInterval;
}

std::optional<Ceiling> Authority::nextCeiling(base::Millis now)
{
    tick(now);
    if (m_proposalPending) {
        return std::nullopt;
    }
    Ceiling ceiling{m_lastNumber + 1, {}};
    Proposal proposal{ceiling.number, {}};
    for (auto &[name, account] : m_accounts) {
        if (!account.configured || !needsCeiling(m_now, name, account)) {
            continue;
        }
        const Tokens free = std::max<Tokens>(ungranted(m_now, account), 0);
        const Tokens usual = usualReserve(account.bucket->limit());
        const Tokens reserve = std::min(usual + account.uncoveredNeed, free);
        account.recorded = free - reserve;
        account.proposed = true;
        account.uncoveredNeed = 0;
        account.proposedAt = m_now;
        proposal.reserves[name] = reserve;
        ceiling.entries.push_back({name, account.bucket->level(m_now), account.outstanding + reserve});
    }
    const bool renewal = m_renewalNeeded && !isConfirmed(m_now + m_options.authorityLease / 2);
    if (ceiling.entries.empty() && !renewal) {
        return std::nullopt;
    }
    m_renewalNeeded = false;
    m_lastNumber = ceiling.number;
    m_lastProposedAt = m_now;
    m_proposalPending = true;
    m_proposals.push_back(std::move(proposal));
    return ceiling;
}

void Authority::onLeadershipConfirmed(base::Millis at)
{
    m_confirmedAt = std::max(at, m_confirmedAt.value_or(at));
}

void Authority::onCeilingCommitted(base::Millis now, std::uint64_t number)
{
    if (number == m_lastNumber) {
        m_proposalPending = false;
        m_commitTime = std::max(now - m_lastProposedAt, m_commitTime / 2);
        onLeadershipConfirmed(m_lastProposedAt);
    }
    for (const Proposal &it : m_proposals) {
        if (it.number > number) {
            break;
        }
        for (const auto &[name, reserve] : it.reserves) {
            m_accounts[name].reserve = reserve;
        }
    }
    std::erase_if(m_proposals, [number](const Proposal &it) {
        return it.number <= number;
    });
}

void Authority::onCeilingUnknown(std::uint64_t number)
{
    if (number == m_lastNumber) {
        m_proposalPending = false;
    }
    if (m_proposals.size() < 2) {
        return;
    }
    // Two proposals of unknown outcome are merged into one with the smaller reserve.
    const Proposal last = std::move(m_proposals.back());
    m_proposals.pop_back();
    Proposal &merged = m_proposals.back();
    merged.number = last.number;
    for (const auto &[name, reserve] : last.reserves) {
        const auto it = merged.reserves.try_emplace(name, reserve).first;
        it->second = std::min(it->second, reserve);
    }
}

} // namespace bamboomoor::budget
