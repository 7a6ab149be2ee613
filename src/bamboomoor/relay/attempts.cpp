/**
 * Attempts at upstreams: selection and queueing, response handling, and the retry decision after a failure.
 */
#include "bamboomoor/quarantine/partlimits.hpp"
#include "bamboomoor/relay/core.hpp"

#include "bamboomoor/http/answermemory.hpp"

#include <algorithm>
#include <array>
#include <cstdint>
#include <utility>

namespace bamboomoor::relay
{

namespace
{

constexpr int OK_FIRST = 200;
constexpr int OK_LAST = 299;
constexpr int SERVER_ERROR = 500;
constexpr std::int64_t LAST_PRIORITY = 9;
constexpr std::int64_t PERCENT = 100;
// A first event that takes longer than this many inter-event objectives indicates an overloaded engine.
constexpr std::int64_t FIRST_EVENT_PAUSES = 3;
// Callers give up a stream after a gap of the longest of these: a time, objectives, and inter-event objectives.
constexpr base::Millis MIN_EVENT_PATIENCE{2'000};
constexpr std::int64_t PATIENCE_OBJECTIVES = 4;
constexpr std::int64_t PATIENCE_PAUSES = 8;
// Number of distinct retry times over which callers of a closed upstream are spread.
constexpr std::int64_t RETRY_SPREAD_STEPS = 16;

using quarantine::SURVIVED_EVENTS;

bool isSuccess(int status) noexcept
{
    return status >= OK_FIRST && status <= OK_LAST;
}

/** @brief Tells whether a status implies that a request was not executed; valid only if the upstream confirms it. */
bool promisesNotRun(int status) noexcept
{
    static constexpr std::array<int, 4> STATUSES{408, 421, 429, 503};
    return std::find(STATUSES.begin(), STATUSES.end(), status) != STATUSES.end();
}

} // namespace

void Core::dispatch(base::Millis now, Exchange &exchange, bool fromQueue)
{
    if (const auto left = quarantinedFor(now, exchange)) {
        leaveQueue(exchange);
        giveUp(now, exchange, Reason::Quarantined, *left);
        return;
    }
    pinReported(exchange);
    const auto queue = m_queues.find(queueOf(exchange));
    const bool othersWait = queue != m_queues.end() && !fromQueue && !exchange.headSent;
    const auto choice = othersWait ? std::nullopt : m_fleet.choose(now, exchange.requirements);
    if (!choice) {
        const UnavailableReason lack = m_fleet.unavailableReason(now, exchange.requirements);
        if (lack == UnavailableReason::Loading && !exchange.queuedUntil) {
            ++m_demand[{exchange.request.model, exchange.request.adapter}].missed;
            m_urgent = true;
        }
        const bool comes = lack == UnavailableReason::Loading
            && m_fleet.loadedIn(now, exchange.requirements) < queueTimeout(now, exchange);
        const bool opens = lack == UnavailableReason::Closed
            && m_fleet.opensIn(now, exchange.requirements) < queueTimeout(now, exchange);
        if (othersWait || lack == UnavailableReason::Busy || comes || opens) {
            enqueue(now, exchange);
            return;
        }
    }
    leaveQueue(exchange);
    if (!choice) {
        rejectUnavailable(now, exchange);
        return;
    }
    const base::Millis left = exchange.deadline - now;
    if (isStream(exchange) && exchange.sent == 0 && choice->expectedWait > left) {
        giveUp(now, exchange, Reason::TooLate, std::min(choice->expectedWait - left, m_options.minLoadRetryDelay));
        return;
    }
    send(now, exchange, *choice);
}

void Core::rejectUnavailable(base::Millis now, Exchange &exchange)
{
    const UnavailableReason lack = m_fleet.unavailableReason(now, exchange.requirements);
    if (lack == UnavailableReason::NotHeld) {
        ++m_demand[{exchange.request.model, exchange.request.adapter}].missed;
    }
    if (exchange.mayHaveRun) {
        giveUp(now, exchange, Reason::UpstreamFailed, {});
        return;
    }
    switch (lack) {
    case UnavailableReason::AllTried:
        giveUp(now, exchange, Reason::UpstreamRefused, closedRetryDelay(now, exchange));
        return;
    case UnavailableReason::Closed:
        giveUp(now, exchange, Reason::Closed, closedRetryDelay(now, exchange));
        return;
    case UnavailableReason::Busy:
        giveUp(now, exchange, Reason::Busy,
            busyRetryDelay(now, exchange, m_fleet.predictedWait(now, exchange.requirements, 0, 0)));
        return;
    case UnavailableReason::Loading:
        giveUp(now, exchange, Reason::NotHeld,
            std::max(m_fleet.loadedIn(now, exchange.requirements), m_options.defaultRetryDelay));
        return;
    case UnavailableReason::NotHeld:
        giveUp(now, exchange, Reason::NotHeld, loadRetryDelay(now, exchange));
        return;
    case UnavailableReason::NoUpstream:
        giveUp(now, exchange, Reason::NoUpstream, m_options.minLoadRetryDelay);
        return;
    }
}

base::Millis Core::loadRetryDelay(base::Millis now, const Exchange &exchange) const
{
    // Most callers retry only once, which is wasted if the model is not loaded by then.
    const base::Millis followed = (exchange.deadline - now) / m_options.retryDelayDivisor;
    return std::max(std::min(followed, m_options.maxLoadRetryDelay), m_options.minLoadRetryDelay);
}

base::Millis Core::closedRetryDelay(base::Millis now, const Exchange &exchange) const
{
    // The caller's retry is a new request, for which no upstream is excluded.
    Requirements again = exchange.requirements;
    again.excluded.clear();
    const base::Millis opens = m_fleet.opensIn(now, again);
    if (opens == base::Millis{}) {
        const bool lost = !again.holding.empty() && m_fleet.unavailableReason(now, again) == UnavailableReason::NotHeld;
        return lost ? loadRetryDelay(now, exchange) : m_options.defaultRetryDelay;
    }
    // Staggers the retries of callers that were rejected at the same time.
    const auto place = static_cast<std::int64_t>(exchange.id % RETRY_SPREAD_STEPS);
    return std::max(opens, m_options.defaultRetryDelay) + m_options.retrySpread * place / RETRY_SPREAD_STEPS;
}

base::Millis Core::busyRetryDelay(base::Millis now, const Exchange &exchange, base::Millis wait) const
{
    // While demand exceeds the engines' capacity, only another replica adds some.
    return std::max({wait, m_fleet.nextReplicaIn(now, exchange.requirements), m_options.minBusyRetryDelay});
}

base::Millis Core::resumePatience(const Exchange &exchange)
{
    const config::Relay &route = *exchange.route;
    return std::max(
        {MIN_EVENT_PATIENCE, route.objective * PATIENCE_OBJECTIVES, route.pauseObjective * PATIENCE_PAUSES});
}

base::Millis Core::queueTimeout(base::Millis now, const Exchange &exchange) const
{
    if (exchange.headSent) {
        return exchange.deadline - now;
    }
    // The caller of a resumed stream has its first event already.
    const bool isResumed = isResumable(exchange) && !exchange.request.lastEventId.empty();
    const base::Millis patience =
        isResumed ? resumePatience(exchange) : exchange.route->objective * m_options.queuePercent / PERCENT;
    return std::min(exchange.deadline, exchange.arrivedAt + patience) - now;
}

Core::QueueKey Core::queueOf(const Exchange &exchange)
{
    return {exchange.service, exchange.requirements.holding, exchange.requirements.software,
        exchange.requirements.recordedSoftware};
}

Requirements Core::requirementsOf(const QueueKey &key)
{
    Requirements common;
    common.service = key.service;
    common.holding = key.holding;
    common.software = key.software;
    common.recordedSoftware = key.recordedSoftware;
    return common;
}

void Core::pinReported(Exchange &exchange) const
{
    if (exchange.requirements.software) {
        return;
    }
    if (auto origin = m_journal.reported(exchange.request.id)) {
        exchange.requirements.software = std::move(origin->software);
    }
}

void Core::enqueue(base::Millis now, Exchange &exchange)
{
    const QueueKey key = queueOf(exchange);
    admission::FairQueue &queue = m_queues.try_emplace(key, admission::FairQueueOptions{}).first->second;
    const base::Millis patience = queueTimeout(now, exchange);
    const base::Millis until = now + patience;
    const base::Millis wait =
        m_fleet.predictedWait(now, exchange.requirements, queue.backlog(), static_cast<std::int64_t>(queue.size()));
    const auto queued = queue.push(now,
        {exchange.id, exchange.organisation, std::max<std::int64_t>(1, exchange.requirements.promptTokens), until,
            -static_cast<int>(std::min<std::int64_t>(exchange.priority, INT16_MAX))},
        wait);
    if (!queued) {
        if (queue.size() == 0) {
            m_queues.erase(key);
        }
        giveUp(now, exchange, exchange.mayHaveRun ? Reason::UpstreamFailed : Reason::Busy,
            busyRetryDelay(now, exchange, wait - patience));
        return;
    }
    exchange.queuedUntil = until;
    exchange.queue = key;
    scheduleCheck(exchange, until);
    note(now, exchange, Step::Queued, {});
}

void Core::leaveQueue(Exchange &exchange)
{
    if (!exchange.queuedUntil) {
        return;
    }
    exchange.queuedUntil.reset();
    const auto queue = m_queues.find(exchange.queue);
    if (queue == m_queues.end()) {
        return;
    }
    queue->second.cancel(exchange.id);
    if (queue->second.size() == 0) {
        m_queues.erase(queue);
    }
}

void Core::dispatchQueued(base::Millis now)
{
    std::vector<QueueKey> keys;
    for (const auto &[key, queue] : m_queues) {
        keys.push_back(key);
    }
    // Interrupted streams first: few upstreams may go on with them, and their callers have waited already.
    std::stable_partition(keys.begin(), keys.end(), [](const QueueKey &it) {
        return it.software.has_value();
    });
    for (const QueueKey &key : keys) {
        const Requirements common = requirementsOf(key);
        // Bounds the attempts to one for each queued request, as a dispatched request may be queued again.
        for (std::size_t n = m_queues.at(key).size(); n > 0 && m_queues.contains(key); --n) {
            const UnavailableReason lack = m_fleet.unavailableReason(now, common);
            const bool gone = lack != UnavailableReason::Busy && lack != UnavailableReason::Loading
                && lack != UnavailableReason::Closed;
            const bool proceeds = gone || m_fleet.hasRoom(now, common);
            if (!proceeds) {
                m_fleet.addPermitDemand(now, common, static_cast<std::int64_t>(n));
            }
            const auto item = proceeds ? m_queues.at(key).pop(now) : std::nullopt;
            Exchange *exchange = item ? find(item->id) : nullptr;
            if (exchange == nullptr) {
                break;
            }
            leaveQueue(*exchange);
            dispatch(now, *exchange, true);
        }
    }
}

void Core::send(base::Millis now, Exchange &exchange, Choice choice)
{
    exchange.choice = std::move(choice);
    exchange.requirements.excluded.insert(exchange.choice.id);
    exchange.sentAt = now;
    exchange.lastProgressAt = now;
    exchange.started = false;
    exchange.stalled = false;
    exchange.head.reset();
    static_cast<void>(takeBody(exchange));
    exchange.splitter = EventSplitter(exchange.headSent ? exchange.lastEventId : std::string());
    Attempt &attempt = exchange.attempt;
    attempt.id = ++m_lastAttempt;
    attempt.exchange = exchange.id;
    attempt.upstream = exchange.choice.id;
    attempt.address = exchange.choice.address;
    attempt.organisation = exchange.organisation;
    attempt.priority = std::clamp<std::int64_t>(exchange.priority, 0, LAST_PRIORITY);
    attempt.remaining = exchange.deadline - now;
    attempt.lastEventId = exchange.lastEventId;
    const bool isRetry = exchange.sent + exchange.unreached > 0;
    attempt.freshConnection = !isRepeatable(exchange) || exchange.choice.freshConnection || isRetry;
    attempt.charge = exchange.retryCharged ? Charge::Retry
        : exchange.unreached > 0           ? Charge::NoneArrived
                                           : Charge::First;
    if (isResumable(exchange) && !exchange.requirements.software && exchange.choice.isCurrent) {
        recordOrigin(now, exchange, exchange.choice.software);
    }
    selectPath(now, exchange);
    exchange.choice.freshConnection = attempt.freshConnection;
    ++exchange.sent;
    m_byAttempt.emplace(attempt.id, exchange.id);
    attempt.permit = m_fleet.onSent(now, exchange.choice, exchange.requirements);
    note(now, exchange, Step::Sent, {});
    scheduleCheck(exchange, std::min(exchange.deadline, now + stallTimeout(exchange)));
    m_effects.send(attempt, exchange.request);
}

void Core::onResponseHead(base::Millis now, std::uint64_t attempt, ResponseHead head)
{
    Exchange *exchange = findByAttempt(attempt);
    if (exchange == nullptr) {
        return;
    }
    exchange->lastProgressAt = now;
    noteReached(now, *exchange);
    if (exchange->attempt.via.empty() && head.owner != ResponseOwner::Other && !head.misdirected) {
        m_guard.onAnswered({exchange->choice.id, exchange->choice.incarnation}, exchange->sentAt);
    }
    settleRetry(now, *exchange, true);
    if (mayBeForeign(head, exchange->attempt.freshConnection)) {
        m_effects.cancel(attempt);
        const bool pooled = readmitAfterPooled(*exchange);
        fail(now, *exchange, pooled ? AttemptResult::Stray : AttemptResult::Failed, false, true,
            head.owner == ResponseOwner::Other ? "foreign_answer" : "unidentified_answer");
        return;
    }
    applySignal(now, *exchange, head);
    const bool success = isSuccess(head.status);
    if (success && (!head.isSigned || head.owner == ResponseOwner::Unknown)) {
        m_effects.cancel(attempt);
        fail(now, *exchange, AttemptResult::Failed, false, true, "unsigned_answer");
        return;
    }
    if (success && exchange->headSent && !head.isEventStream) {
        m_effects.cancel(attempt);
        fail(now, *exchange, AttemptResult::Failed, false, true, "no_event_stream");
        return;
    }
    exchange->head = std::move(head);
}

bool Core::readmitAfterPooled(Exchange &exchange)
{
    if (exchange.attempt.freshConnection) {
        return false;
    }
    exchange.requirements.excluded.erase(exchange.choice.id);
    return true;
}

void Core::applySignal(base::Millis now, const Exchange &exchange, const ResponseHead &head)
{
    const bool ran = !head.notRun && !head.misdirected;
    for (const standing::Change it : m_fleet.onSignal(now, exchange.choice, head.signal, exchange.sentAt, ran)) {
        m_effects.logSignal({it, exchange.request.id, exchange.attempt.upstream, head.signal});
    }
}

void Core::onResponseData(base::Millis now, std::uint64_t attempt, std::string_view bytes)
{
    Exchange *exchange = findByAttempt(attempt);
    if (exchange == nullptr || !exchange->head) {
        return;
    }
    if (isStream(*exchange) && isSuccess(exchange->head->status)) {
        relayEvents(now, *exchange, bytes);
        return;
    }
    exchange->lastProgressAt = now;
    if (!bufferBody(*exchange, bytes)) {
        m_effects.cancel(attempt);
        fail(now, *exchange, AttemptResult::Failed, false, true, "answer_too_long");
    }
}

bool Core::bufferBody(Exchange &exchange, std::string_view bytes)
{
    const bool fits = exchange.body.size() + bytes.size() <= bufferLimit();
    if (fits) {
        exchange.body += bytes;
        m_bufferedBytes += bytes.size();
    }
    return fits;
}

std::size_t Core::bufferLimit() const
{
    return http::answerLimit(m_options.maxResponseBytes, m_options.maxBufferedBytes, m_bufferedBytes);
}

std::string Core::takeBody(Exchange &exchange)
{
    m_bufferedBytes -= exchange.body.size() + std::exchange(exchange.bufferedEventBytes, 0);
    return std::exchange(exchange.body, {});
}

void Core::relayEvents(base::Millis now, Exchange &exchange, std::string_view bytes)
{
    const std::size_t eventsBefore = exchange.splitter.events();
    const std::string_view events = exchange.splitter.feed(bytes);
    const std::size_t pending = exchange.splitter.pending();
    m_bufferedBytes += pending - std::exchange(exchange.bufferedEventBytes, pending);
    if (const EventFault fault = exchange.splitter.fault(); fault != EventFault::None) {
        m_effects.cancel(exchange.attempt.id);
        fail(now, exchange, AttemptResult::Failed, false, true, EVENT_FAULT_NAMES.name(fault));
        return;
    }
    if (pending > bufferLimit()) {
        m_effects.cancel(exchange.attempt.id);
        fail(now, exchange, AttemptResult::Failed, false, true, "answer_too_long");
        return;
    }
    if (events.empty()) {
        return;
    }
    // Bytes that complete no event do not count as progress.
    exchange.lastProgressAt = now;
    if (!exchange.started) {
        exchange.started = true;
        m_fleet.onFirstEvent(now, exchange.choice, exchange.sentAt);
        m_fleet.onPause(now, exchange.choice, now - exchange.sentAt,
            std::min(exchange.route->objective, exchange.route->pauseObjective * FIRST_EVENT_PAUSES));
        note(now, exchange, Step::FirstEvent, {}, exchange.head->status);
    } else if (exchange.route->pauseObjective > base::Millis{}) {
        m_fleet.onPause(now, exchange.choice, now - exchange.lastEventAt, exchange.route->pauseObjective);
    }
    if (eventsBefore < SURVIVED_EVENTS && exchange.splitter.events() >= SURVIVED_EVENTS) {
        noteSurvival(now, exchange);
    }
    exchange.lastEventAt = now;
    exchange.mayHaveRun = true;
    if (!exchange.headSent) {
        exchange.headSent = true;
        exchange.requirements.software = exchange.choice.software;
        exchange.requirements.softwareUncertain = !exchange.choice.isCurrent;
        m_effects.beginStream(exchange.id, exchange.head->status, exchange.head->headers);
    }
    if (!exchange.splitter.lastId().empty()) {
        exchange.lastEventId = exchange.splitter.lastId();
    }
    if (!m_effects.write(exchange.id, events)) {
        onCallerDisconnected(now, exchange.id);
    }
}

void Core::onAttemptEnded(base::Millis now, std::uint64_t attempt, const AttemptEnd &end)
{
    Exchange *exchange = findByAttempt(attempt);
    if (exchange == nullptr) {
        return;
    }
    if (end.peerFailed) {
        onPeerFailed(now, *exchange, end);
        return;
    }
    if (!end.complete || !exchange->head) {
        const bool reached = end.bytesSent || exchange->head.has_value();
        const bool lost = end.lostConnection && !exchange->head;
        if (lost) {
            static_cast<void>(readmitAfterPooled(*exchange));
        }
        const bool stray = end.malformed && !exchange->head && readmitAfterPooled(*exchange);
        if (!exchange->head && end.truncated && exchange->attempt.via.empty()) {
            noteReached(now, *exchange);
        } else if (!exchange->head && !stray) {
            noteUnanswered(now, *exchange, reached ? ReachFailure::NoAnswer : ReachFailure::NotConnected);
        }
        if (!reached && forwardInstead(now, *exchange, end.reason)) {
            return;
        }
        // A forwarded answer is also truncated when the forwarding entry ends.
        const bool truncated = end.truncated && exchange->attempt.via.empty();
        if (end.truncated && !truncated) {
            exchange->requirements.excluded.erase(exchange->choice.id);
        }
        const bool inPartition = lostInPartition(now, *exchange);
        // A crash closes pooled connections too; whether there was one is left to the analysis.
        if ((truncated || lost) && exchange->splitter.events() < SURVIVED_EVENTS) {
            noteLoss(now, *exchange);
        } else if (!reached && !end.connectTimedOut && !inPartition) {
            m_guard.onUnreachable(now, exchange->choice.id);
        }
        const bool unanswered = !reached && end.connectTimedOut;
        if (unanswered) {
            // It may be paused and the only one; otherwise its back-off gives way to the others.
            exchange->requirements.excluded.erase(exchange->choice.id);
            ++exchange->unanswered;
        }
        const AttemptResult result = inPartition ? AttemptResult::Cancelled
            : lost                               ? AttemptResult::Lost
            : stray                              ? AttemptResult::Stray
            : reached                            ? AttemptResult::Failed
            : unanswered                         ? AttemptResult::Unanswered
                                                 : AttemptResult::NotReached;
        fail(now, *exchange, result, !reached, reached, end.reason);
        return;
    }
    if (isStream(*exchange) && isSuccess(exchange->head->status)) {
        endStream(now, *exchange, end.delimited);
    } else {
        endResponse(now, *exchange);
    }
}

void Core::endStream(base::Millis now, Exchange &exchange, bool delimited)
{
    // A resumed stream may have no events left, but without a length or chunks a crash before the first looks the same.
    if (!delimited && exchange.splitter.events() == 0) {
        noteLoss(now, exchange);
        fail(now, exchange, AttemptResult::Failed, false, true, "no_events");
        return;
    }
    if (!exchange.splitter.atBoundary()) {
        if (exchange.splitter.events() < SURVIVED_EVENTS) {
            noteLoss(now, exchange);
        }
        fail(now, exchange, AttemptResult::Failed, false, true, "cut_in_event");
        return;
    }
    if (!exchange.headSent) {
        exchange.headSent = true;
        m_effects.beginStream(exchange.id, exchange.head->status, exchange.head->headers);
    }
    exchange.mayHaveRun = true;
    // Without a length or chunks, a crash after the first event looks like the end.
    if (exchange.splitter.events() >= (delimited ? 1 : SURVIVED_EVENTS)) {
        noteSurvival(now, exchange);
    }
    note(now, exchange, Step::Answered, {}, exchange.head->status);
    closeAttempt(now, exchange, AttemptResult::Answered);
    m_effects.endStream(exchange.id);
    finish(now, exchange);
}

void Core::endResponse(base::Millis now, Exchange &exchange)
{
    const ResponseHead &head = *exchange.head;
    if (head.misdirected) {
        m_fleet.onMissingHolding(exchange.choice.id, exchange.requirements.holding);
    }
    if (head.notRun || head.misdirected) {
        fail(now, exchange, AttemptResult::Refused, true, true, head.misdirected ? "misdirected" : "refused");
        return;
    }
    exchange.mayHaveRun = true;
    const bool retries = head.status >= SERVER_ERROR && isRepeatable(exchange);
    if (exchange.headSent || retries || promisesNotRun(head.status)) {
        fail(now, exchange, AttemptResult::ErrorResponse, false, true, "error_answer");
        return;
    }
    deliver(now, exchange);
}

void Core::deliver(base::Millis now, Exchange &exchange)
{
    ResponseHead &head = *exchange.head;
    if (!exchange.started) {
        exchange.started = true;
        m_fleet.onFirstEvent(now, exchange.choice, exchange.sentAt);
    }
    if (isSuccess(head.status)) {
        noteSurvival(now, exchange);
    }
    note(now, exchange, Step::Answered, {}, head.status);
    closeAttempt(now, exchange, head.status >= SERVER_ERROR ? AttemptResult::ErrorResponse : AttemptResult::Answered);
    m_effects.respond(exchange.id, {head.status, std::move(head.headers), takeBody(exchange)});
    finish(now, exchange);
}

bool Core::hasOtherUpstream(base::Millis now, const Exchange &exchange) const
{
    return m_fleet.unavailableReason(now, exchange.requirements) == UnavailableReason::Busy;
}

bool Core::isRepeatable(const Exchange &exchange) const
{
    switch (exchange.route->repeat) {
    case config::Repeat::Idempotent:
        return true;
    case config::Repeat::AtMostOnce:
        return false;
    case config::Repeat::Stream:
        // Without an id to resume after, another attempt would begin the stream again.
        return exchange.route->resumable && (!exchange.headSent || !exchange.lastEventId.empty());
    }
    return false;
}

void Core::fail(
    base::Millis now, Exchange &exchange, AttemptResult result, bool notRun, bool reached, std::string_view how)
{
    exchange.mayHaveRun = exchange.mayHaveRun || !notRun;
    if (reached) {
        settleRetry(now, exchange, true);
    } else {
        --exchange.sent;
        ++exchange.unreached;
    }
    if (reached && notRun && exchange.headSent) {
        // Giving up would abort the stream, and the upstream has not run it.
        --exchange.sent;
    }
    const RetryDecision next = decideRetry(now, exchange);
    const bool keepsAnswer = exchange.head && exchange.head->status >= SERVER_ERROR && !notRun && !exchange.headSent
        && !promisesNotRun(exchange.head->status);
    if (next != RetryDecision::Retry && keepsAnswer && how == "error_answer") {
        deliver(now, exchange);
        return;
    }
    note(now, exchange, Step::AttemptFailed, how, exchange.head ? exchange.head->status : 0, next);
    closeAttempt(now, exchange, result);
    if (next == RetryDecision::Retry) {
        dispatch(now, exchange);
        return;
    }
    giveUp(now, exchange, exchange.mayHaveRun ? Reason::UpstreamFailed : Reason::UpstreamRefused,
        exchange.mayHaveRun ? base::Millis{} : closedRetryDelay(now, exchange));
}

RetryDecision Core::decideRetry(base::Millis now, Exchange &exchange)
{
    pinReported(exchange);
    if (!isRepeatable(exchange) && exchange.mayHaveRun) {
        return RetryDecision::MayHaveRun;
    }
    if (now >= exchange.deadline) {
        return RetryDecision::NoTime;
    }
    if (exchange.sent >= exchange.route->attempts
        || exchange.unreached - exchange.unanswered >= m_options.maxUnreachedAttempts) {
        return RetryDecision::NoAttempts;
    }
    if (!hasOtherUpstream(now, exchange)) {
        return RetryDecision::NoOtherUpstream;
    }
    return takeRetry(now, exchange) ? RetryDecision::Retry : RetryDecision::NoBudget;
}

bool Core::takeRetry(base::Millis now, Exchange &exchange)
{
    // An attempt counts as a retry only if an earlier one may have arrived.
    if (exchange.sent > 0 && !exchange.retryCharged) {
        exchange.retryCharged = m_retries.takeRetry(now, exchange.service);
        return exchange.retryCharged;
    }
    return true;
}

void Core::settleRetry(base::Millis now, Exchange &exchange, bool arrived)
{
    if (exchange.retryCharged) {
        m_retries.settle(now, exchange.service, arrived);
        exchange.retryCharged = false;
    }
}

void Core::closeAttempt(base::Millis now, Exchange &exchange, AttemptResult result)
{
    if (exchange.attempt.id == 0) {
        return;
    }
    m_fleet.onEnded(now, exchange.choice, exchange.started, result);
    m_byAttempt.erase(exchange.attempt.id);
    exchange.attempt.id = 0;
}

void Core::cancelAttempt(base::Millis now, Exchange &exchange)
{
    if (exchange.attempt.id != 0) {
        exchange.mayHaveRun = true;
        m_effects.cancel(exchange.attempt.id);
        settleRetry(now, exchange, true);
        closeAttempt(now, exchange, AttemptResult::Cancelled);
    }
}

} // namespace bamboomoor::relay
