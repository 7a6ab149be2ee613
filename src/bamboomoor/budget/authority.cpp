/**
 * The budget authority: processing of reports, grants and session leases.
 */
#include "bamboomoor/budget/authority.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace bamboomoor::budget
{

namespace
{
// A holder is granted at most 1/SLICE_DIVISOR of the available tokens beyond its waiting requests.
constexpr Tokens SLICE_DIVISOR = 4;
constexpr std::int64_t PERMILLE = 1'000;
} // namespace

Authority::Authority(const AuthorityOptions &options, base::Millis now, const std::vector<CeilingEntry> &ceilings)
    : m_options(options)
    , m_now(now)
{
    assert(options.term > 0);
    for (const CeilingEntry &it : ceilings) {
        m_inherited[it.organisation] = it;
    }
    const std::int64_t n = (options.authorityLease + options.lease).count;
    m_inheritedUntil = now + base::Millis{n + 4 + 3 * n * options.driftPermille / PERMILLE};
}

void Authority::setLimits(base::Millis now, const std::vector<Limit> &limits)
{
    tick(now);
    for (auto &[name, account] : m_accounts) {
        account.configured = false;
    }
    for (const Limit &limit : limits) {
        Account &account = m_accounts[limit.organisation];
        account.configured = true;
        if (account.bucket) {
            account.bucket->setLimit(m_now, limit);
        } else {
            openAccount(limit);
        }
    }
}

void Authority::openAccount(const Limit &limit)
{
    Account &account = m_accounts[limit.organisation];
    const auto found = m_inherited.find(limit.organisation);
    if (found == m_inherited.end()) {
        account.bucket.emplace(m_now, limit, m_options.driftPermille, MAX_TOKENS);
        return;
    }
    const CeilingEntry &entry = found->second;
    account.bucket.emplace(m_now, limit, m_options.driftPermille, entry.level);
    account.outstanding = entry.exposure;
    account.inherited = entry.exposure;
    account.recorded = entry.level - entry.exposure;
    m_orphans.push_back({{}, 0, true, m_inheritedUntil, {{limit.organisation, entry.exposure}}, {}});
}

TokenReply Authority::onRequest(base::Millis now, const TokenRequest &request)
{
    tick(now);
    TokenReply reply{request.holder, request.session, m_options.term, request.sequence,
        TokenRequestStatus::UnknownSession, m_options.lease, {}};
    auto found = m_sessions.find(request.holder);
    const bool foreign = request.term != 0 && request.term != m_options.term;
    if (!foreign && request.sequence == 1 && (found == m_sessions.end() || found->second.id < request.session)) {
        if (found != m_sessions.end() && found->second.id.incarnation == request.session.incarnation) {
            // The holder itself has closed the previous session.
            chargeOutstanding(m_now, found->second);
        } else if (found != m_sessions.end()) {
            m_orphans.push_back(std::move(found->second));
        }
        found = m_sessions.insert_or_assign(request.holder, Session{request.session, 0, false, m_now, {}, {}}).first;
    }
    if (foreign || found == m_sessions.end() || found->second.id != request.session || found->second.closed) {
        return reply;
    }
    Session &session = found->second;
    if (request.sequence == session.sequence) {
        return session.reply;
    }
    if (request.sequence < session.sequence) {
        reply.status = TokenRequestStatus::Outdated;
        return reply;
    }
    if (request.sequence != session.sequence + 1) {
        return reply;
    }
    reply.status = TokenRequestStatus::Processed;
    for (const TokenRequestEntry &it : request.entries) {
        reply.entries.push_back(processEntry(m_now, session, it));
    }
    session.sequence = request.sequence;
    session.expiry = m_now + m_options.lease;
    session.reply = reply;
    return reply;
}

TokenReplyEntry Authority::processEntry(base::Millis now, Session &session, const TokenRequestEntry &entry)
{
    TokenReplyEntry reply;
    reply.organisation = entry.organisation;
    const auto found = m_accounts.find(entry.organisation);
    if (found == m_accounts.end()) {
        reply.needs.resize(entry.needs.size());
        return reply;
    }
    Account &account = found->second;
    account.used = true;
    applyReport(now, session, account, entry, reply);
    decideNeeds(now, account, entry, reply);
    session.outstanding[entry.organisation] += reply.granted;
    reply.recall = now < account.scarceUntil;
    return reply;
}

void Authority::applyReport(
    base::Millis now, Session &session, Account &account, const TokenRequestEntry &entry, TokenReplyEntry &reply)
{
    Tokens &held = session.outstanding[entry.organisation];
    Tokens spent = 0;
    for (const Spend &it : entry.spends) {
        const Tokens tokens = std::max<Tokens>(it.tokens, 0);
        const std::uint64_t mark = account.bucket->spend(now, minElapsed(it.age), tokens);
        reply.firstMark = reply.firstMark == 0 ? mark : reply.firstMark;
        spent += tokens;
    }
    const Tokens closed = std::min(spent + std::max<Tokens>(entry.returned, 0), held);
    held -= closed;
    account.outstanding -= closed;
    for (const Refund &it : entry.refunds) {
        account.bucket->refund(it.mark, it.tokens);
    }
    if (entry.debt > 0) {
        account.bucket->spend(now, {0}, entry.debt);
    }
}

void Authority::decideNeeds(base::Millis now, Account &account, const TokenRequestEntry &entry, TokenReplyEntry &reply)
{
    // Tokens set aside for earlier needs of this request that still wait.
    Tokens promised = 0;
    for (const Tokens need : entry.needs) {
        const NeedReply result = decideNeed(now, account, entry.organisation, need, promised);
        if (result.decision == AdmissionDecision::Admitted) {
            reply.granted += need;
        }
        reply.needs.push_back(result);
    }
    m_renewalNeeded = m_renewalNeeded || entry.desired > 0;
    if (entry.desired <= 0 || promised > 0 || now < account.scarceUntil || !account.configured) {
        return;
    }
    const Tokens most = std::min(ungranted(now, account), grantable(now, entry.organisation, account)) / SLICE_DIVISOR;
    const Tokens slice = std::min(entry.desired, most);
    if (slice > 0) {
        grant(account, entry.organisation, slice);
        reply.granted += slice;
    }
}

NeedReply Authority::decideNeed(
    base::Millis now, Account &account, const std::string &organisation, Tokens need, Tokens &promised)
{
    const Tokens burst = account.configured ? account.bucket->limit().burst : 0;
    if (need > burst) {
        return {AdmissionDecision::Refused, base::NEVER};
    }
    const Tokens free = ungranted(now, account) - promised;
    if (free >= need && grantable(now, organisation, account) >= need) {
        grant(account, organisation, need);
        return {AdmissionDecision::Admitted, {}};
    }
    if (free >= need) {
        account.uncoveredNeed = std::max(account.uncoveredNeed, need);
        m_renewalNeeded = true;
        promised += need;
        return {AdmissionDecision::Waiting, {}};
    }
    account.scarceUntil = now + m_options.scarcityPeriod;
    if (account.bucket->level(now) - account.inherited - promised >= need) {
        // Other holders may return enough tokens.
        promised += need;
        return {AdmissionDecision::Waiting, {}};
    }
    return {AdmissionDecision::Refused, std::max(account.bucket->refillTime(need - free), base::Millis{1})};
}

void Authority::grant(Account &account, const std::string &organisation, Tokens tokens)
{
    account.outstanding += tokens;
    account.reserve -= tokens;
    for (Proposal &it : m_proposals) {
        const auto found = it.reserves.find(organisation);
        if (found != it.reserves.end()) {
            found->second -= tokens;
        }
    }
}

void Authority::tick(base::Millis now)
{
    m_now = std::max(m_now, now);
    for (auto &[holder, session] : m_sessions) {
        if (session.expiry <= m_now && chargeOutstanding(m_now, session)) {
            // The closed session is kept so that its delayed requests are rejected.
            session.outstanding.clear();
            session.closed = true;
        }
    }
    if (m_now >= m_inheritedUntil) {
        for (auto &[name, account] : m_accounts) {
            account.inherited = 0;
        }
    }
    std::erase_if(m_orphans, [this](Session &it) {
        if (it.expiry <= m_now) {
            chargeOutstanding(m_now, it);
        }
        return it.expiry <= m_now;
    });
}

bool Authority::chargeOutstanding(base::Millis now, const Session &session)
{
    bool charged = false;
    for (const auto &[name, tokens] : session.outstanding) {
        if (tokens > 0) {
            Account &account = m_accounts[name];
            account.outstanding -= tokens;
            account.bucket->spend(now, {0}, tokens);
            charged = true;
        }
    }
    return charged;
}

Tokens Authority::ungranted(base::Millis now, const Account &account) const
{
    return account.bucket->level(now) - account.outstanding;
}

base::Millis Authority::minElapsed(base::Millis age) const noexcept
{
    const std::int64_t n = std::max<std::int64_t>(age.count - 1, 0);
    return {n * (PERMILLE - m_options.driftPermille) / (PERMILLE + m_options.driftPermille)};
}

Tokens Authority::available(base::Millis now, const std::string &organisation) const
{
    const auto found = m_accounts.find(organisation);
    return found == m_accounts.end() ? 0 : std::max<Tokens>(ungranted(std::max(now, m_now), found->second), 0);
}

Tokens Authority::outstanding(const std::string &organisation) const
{
    const auto found = m_accounts.find(organisation);
    return found == m_accounts.end() ? 0 : found->second.outstanding;
}

} // namespace bamboomoor::budget
