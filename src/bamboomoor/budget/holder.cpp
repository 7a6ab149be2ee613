/**
 * The holder of token grants: admission, settlement and handling of replies.
 */
#include "bamboomoor/budget/holder.hpp"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <utility>

namespace bamboomoor::budget
{

namespace
{
constexpr std::int64_t PERMILLE = 1'000;
constexpr std::int64_t PERCENT = 100;
constexpr std::int64_t REPLY_TIME_DECAY_PERCENT = 90;
// The time constant of the exponential decay of recent use, in milliseconds.
constexpr double USE_DECAY_MILLIS = 100;
// Spends within this interval are reported as one, in milliseconds.
constexpr base::Millis SPEND_MERGE_INTERVAL{2};
// The Retry-After of refusals caused by a missing reply or a full queue, in milliseconds.
constexpr base::Millis NO_REPLY_RETRY_AFTER{1'000};
} // namespace

Holder::Holder(HolderOptions options)
    : m_options(std::move(options))
    , m_session{m_options.incarnation, 1}
{
}

Admission Holder::admit(base::Millis now, const std::string &organisation, Tokens estimate)
{
    assert(estimate > 0);
    expireLease(now);
    Pool &pool = m_pools[organisation];
    const std::uint64_t id = ++m_lastReservation;
    if (pool.waiting.empty() && (pool.previousSession >= estimate || pool.tokens >= estimate)) {
        spend(now, pool, organisation, id, estimate);
        return {id, AdmissionDecision::Admitted, {}};
    }
    if (estimate > MAX_TOKENS) {
        return {id, AdmissionDecision::Refused, base::NEVER};
    }
    if (pool.waiting.size() >= m_options.maxWaiting) {
        return {id, AdmissionDecision::Refused, NO_REPLY_RETRY_AFTER, false};
    }
    pool.waiting.push_back({id, estimate, now, now});
    return {id, AdmissionDecision::Waiting, {}};
}

void Holder::spend(base::Millis now, Pool &pool, const std::string &organisation, std::uint64_t id, Tokens tokens)
{
    Reservation reservation{organisation, tokens, Stage::Unreported, m_session, 0, false, 0};
    pool.recentUse = static_cast<double>(recentUse(now, pool) + tokens);
    pool.lastSpend = now;
    if (pool.previousSession >= tokens) {
        pool.previousSession -= tokens;
        reservation.stage = Stage::PreviousSession;
    } else {
        assert(pool.tokens >= tokens);
        pool.tokens -= tokens;
        reservation.mark = recordSpend(now, pool, tokens);
        pool.unreportedBy.push_back(id);
    }
    m_reservations.emplace(id, std::move(reservation));
}

std::uint64_t Holder::recordSpend(base::Millis now, Pool &pool, Tokens tokens)
{
    if (pool.unreported.empty() || pool.unreported.back().first + SPEND_MERGE_INTERVAL <= now) {
        pool.unreported.push_back({now, now, 0});
    }
    pool.unreported.back().latest = now;
    pool.unreported.back().tokens += tokens;
    return pool.unreported.size() - 1;
}

void Holder::settle(base::Millis now, std::uint64_t reservation, Tokens actual)
{
    expireLease(now);
    const auto found = m_reservations.find(reservation);
    if (found == m_reservations.end() || found->second.settled) {
        return;
    }
    Pool &pool = m_pools[found->second.organisation];
    const Tokens excess = actual - found->second.estimate;
    if (excess <= 0) {
        settleRefund(reservation, found->second, pool, -excess);
        return;
    }
    settleExcess(now, pool, excess);
    m_reservations.erase(found);
}

void Holder::settleExcess(base::Millis now, Pool &pool, Tokens excess)
{
    const Tokens covered = std::min(excess, pool.tokens);
    if (covered > 0) {
        pool.tokens -= covered;
        recordSpend(now, pool, covered);
        pool.lastSpend = now;
    }
    pool.debt += excess - covered;
}

void Holder::settleRefund(std::uint64_t id, Reservation &reservation, Pool &pool, Tokens refund)
{
    const bool current = reservation.session == m_session;
    if (current && reservation.stage == Stage::InFlight) {
        reservation.settled = true;
        reservation.refund = refund;
        return;
    }
    if (current && reservation.stage == Stage::Unreported) {
        pool.tokens += refund;
        pool.unreported[reservation.mark].tokens -= refund;
    }
    if (current && reservation.stage == Stage::Reported && refund > 0) {
        pool.refunds[reservation.mark] += refund;
    }
    m_reservations.erase(id);
}

void Holder::cancel(std::uint64_t reservation)
{
    for (auto &[name, pool] : m_pools) {
        std::erase_if(pool.waiting, [reservation](const Waiter &it) {
            return it.reservation == reservation;
        });
    }
}

std::vector<Admission> Holder::onReply(base::Millis now, const TokenReply &reply)
{
    std::vector<Admission> decided;
    expireLease(now);
    if (!m_inFlight || reply.session != m_session || reply.sequence != m_sequence || reply.term < m_term
        || reply.status == TokenRequestStatus::Outdated) {
        return decided;
    }
    m_term = reply.term;
    if (reply.status == TokenRequestStatus::UnknownSession) {
        openSession(m_sessionTerm != reply.term);
        return decided;
    }
    const base::Millis start = m_inFlight->firstSent;
    m_lease = reply.lease;
    if (hasExpired(now, start)) {
        openSession(false);
        return decided;
    }
    m_sessionTerm = reply.term;
    m_leaseStart = start;
    m_replyTime = std::max(now - start, m_replyTime * REPLY_TIME_DECAY_PERCENT / PERCENT);
    m_inFlight.reset();
    for (const TokenReplyEntry &it : reply.entries) {
        applyEntry(now, it, decided);
    }
    return decided;
}

void Holder::applyEntry(base::Millis now, const TokenReplyEntry &entry, std::vector<Admission> &decided)
{
    Pool &pool = m_pools[entry.organisation];
    closeReported(entry, pool);
    pool.tokens += entry.granted;
    pool.recall = entry.recall;
    for (std::size_t n = 0; n < std::min(entry.needs.size(), pool.requested.size()); ++n) {
        decideWaiter(now, entry, n, pool, decided);
    }
    pool.requested.clear();
}

void Holder::closeReported(const TokenReplyEntry &entry, Pool &pool)
{
    for (const std::uint64_t id : pool.reportedBy) {
        const auto found = m_reservations.find(id);
        if (found == m_reservations.end()) {
            continue;
        }
        found->second.stage = Stage::Reported;
        found->second.mark += entry.firstMark;
        if (!found->second.settled) {
            continue;
        }
        if (found->second.refund > 0) {
            pool.refunds[found->second.mark] += found->second.refund;
        }
        m_reservations.erase(found);
    }
    pool.reportedBy.clear();
}

void Holder::decideWaiter(
    base::Millis now, const TokenReplyEntry &entry, std::size_t n, Pool &pool, std::vector<Admission> &decided)
{
    const std::uint64_t id = pool.requested[n];
    const auto found = std::find_if(pool.waiting.begin(), pool.waiting.end(), [id](const Waiter &it) {
        return it.reservation == id;
    });
    if (found == pool.waiting.end()) {
        return;
    }
    const NeedReply &result = entry.needs[n];
    if (result.decision == AdmissionDecision::Waiting) {
        found->notBefore = now + m_options.retryDelay;
        return;
    }
    if (result.decision == AdmissionDecision::Admitted) {
        spend(now, pool, entry.organisation, id, found->estimate);
    }
    decided.push_back({id, result.decision, result.retryAfter});
    pool.waiting.erase(found);
}

std::vector<Admission> Holder::tick(base::Millis now)
{
    expireLease(now);
    std::vector<Admission> decided;
    for (auto &[name, pool] : m_pools) {
        while (!pool.waiting.empty() && now >= pool.waiting.front().arrival + m_options.waitTimeout) {
            decided.push_back(
                {pool.waiting.front().reservation, AdmissionDecision::Refused, NO_REPLY_RETRY_AFTER, false});
            pool.waiting.pop_front();
        }
    }
    return decided;
}

bool Holder::hasExpired(base::Millis now, base::Millis start) const noexcept
{
    const std::int64_t n = (now - start).count + 1;
    return n * (PERMILLE + m_options.driftPermille) >= m_lease.count * (PERMILLE - m_options.driftPermille);
}

void Holder::expireLease(base::Millis now)
{
    if (hasExpired(now, m_previousLeaseStart)) {
        for (auto &[name, pool] : m_pools) {
            pool.previousSession = 0;
        }
    }
    if (m_sessionTerm == 0 || !hasExpired(now, m_leaseStart)) {
        return;
    }
    const bool holds = std::any_of(m_pools.begin(), m_pools.end(), [](const auto &it) {
        return it.second.tokens > 0 || !it.second.unreported.empty();
    });
    if (holds || (m_inFlight && hasExpired(now, m_inFlight->firstSent))) {
        openSession(false);
    }
}

void Holder::openSession(bool keepFormer)
{
    // A new authority counts the grants of the previous one as spent, so they stay usable until their lease expires.
    for (auto &[name, pool] : m_pools) {
        pool.previousSession = keepFormer ? pool.tokens : 0;
        pool.tokens = 0;
        pool.unreported.clear();
        pool.unreportedBy.clear();
        pool.reportedBy.clear();
        pool.requested.clear();
        pool.refunds.clear();
        pool.recall = false;
    }
    if (m_inFlight) {
        for (const TokenRequestEntry &it : m_inFlight->request.entries) {
            m_pools[it.organisation].debt += it.debt;
        }
    }
    m_previousLeaseStart = m_leaseStart;
    m_session.number += 1;
    m_sessionTerm = 0;
    m_sequence = 0;
    m_inFlight.reset();
    std::erase_if(m_reservations, [](const auto &it) {
        return it.second.settled;
    });
}

Tokens Holder::recentUse(base::Millis now, const Pool &pool)
{
    const auto n = static_cast<double>((now - pool.lastSpend).count);
    return static_cast<Tokens>(pool.recentUse * std::exp(-n / USE_DECAY_MILLIS));
}

Tokens Holder::available(const std::string &organisation) const
{
    const auto found = m_pools.find(organisation);
    return found == m_pools.end() ? 0 : found->second.tokens + found->second.previousSession;
}

} // namespace bamboomoor::budget
