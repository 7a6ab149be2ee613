/**
 * The path of attempts: directly to the upstream, or through another entry while this one is partitioned from all
 * upstreams.
 */
#include "bamboomoor/relay/core.hpp"

#include <utility>

namespace bamboomoor::relay
{

void Core::selectPath(base::Millis now, Exchange &exchange)
{
    Attempt &attempt = exchange.attempt;
    attempt.via.clear();
    if (!m_reach.isCutOff()) {
        return;
    }
    const bool peersFail = exchange.peerFailures >= m_options.peerFailuresBeforeDirect;
    const bool isTrial = !exchange.avoidsDirect && (peersFail || m_reach.takeTrial(now, isRepeatable(exchange)));
    if (isTrial) {
        // Only an answer over a new connection ends the partition.
        attempt.freshConnection = true;
    } else {
        attempt.via = m_reach.selectPeer(now).value_or(std::string());
    }
}

void Core::evaluateReach(base::Millis now)
{
    const auto change = m_reach.evaluate(now);
    if (!change) {
        return;
    }
    if (!change->cutOff) {
        m_fleet.restoreFailures();
    } else if (m_reach.hasPeer(now)) {
        m_fleet.setFailuresAside();
    }
    m_urgent = true;
    m_effects.logReach(*change);
}

void Core::noteUnanswered(base::Millis now, const Exchange &exchange, ReachFailure failure)
{
    if (exchange.attempt.via.empty()) {
        m_reach.onFailed(now, exchange.attempt.upstream, failure);
        evaluateReach(now);
    } else if (failure == ReachFailure::NotConnected) {
        m_reach.onPeerMissed(now, exchange.attempt.via);
    }
}

void Core::noteReached(base::Millis now, const Exchange &exchange)
{
    if (exchange.attempt.via.empty()) {
        m_guard.onReached(exchange.sentAt, exchange.attempt.freshConnection);
        m_reach.onAnswered(now, exchange.sentAt, exchange.attempt.freshConnection);
        evaluateReach(now);
    } else {
        m_reach.onPeerAnswered(exchange.attempt.via);
    }
}

bool Core::lostInPartition(base::Millis now, const Exchange &exchange) const
{
    return m_reach.isCutOff() && m_reach.hasPeer(now) && exchange.attempt.via.empty();
}

bool Core::forwardInstead(base::Millis now, Exchange &exchange, std::string_view how)
{
    if (!lostInPartition(now, exchange) || now >= exchange.deadline) {
        return false;
    }
    --exchange.sent;
    exchange.avoidsDirect = true;
    exchange.requirements.excluded.erase(exchange.choice.id);
    note(now, exchange, Step::AttemptFailed, how, 0, RetryDecision::Retry);
    closeAttempt(now, exchange, AttemptResult::Cancelled);
    dispatch(now, exchange);
    return true;
}

void Core::onPeerFailed(base::Millis now, Exchange &exchange, const AttemptEnd &end)
{
    m_reach.onPeerFailed(now, exchange.attempt.via);
    exchange.requirements.excluded.erase(exchange.choice.id);
    if (end.bytesSent) {
        fail(now, exchange, AttemptResult::Cancelled, false, true, end.reason);
        return;
    }
    --exchange.sent;
    const bool goesOn = ++exchange.peerFailures < m_options.maxPeerFailures && now < exchange.deadline;
    note(now, exchange, Step::AttemptFailed, end.reason, 0, goesOn ? RetryDecision::Retry : RetryDecision::NoAttempts);
    closeAttempt(now, exchange, AttemptResult::Cancelled);
    if (goesOn) {
        dispatch(now, exchange);
        return;
    }
    giveUp(now, exchange, exchange.mayHaveRun ? Reason::UpstreamFailed : Reason::UpstreamRefused,
        exchange.mayHaveRun ? base::Millis{} : m_options.defaultRetryDelay);
}

} // namespace bamboomoor::relay
