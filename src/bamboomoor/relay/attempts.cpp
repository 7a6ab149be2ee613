/**
 * Attempts at upstreams: selection and queueing, response handling, and the retry decision after a failure.
 */
#include "bamboomoor/relay/core.hpp"

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
// Number of distinct retry times over which callers of a closed upstream are spread.
constexpr std::int64_t COMEBACK_STEPS = 16;

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
    const auto queue = m_queues.find({exchange.service, exchange.wanted.holding});
    const bool othersWait = queue != m_queues.end() && !fromQueue && !exchange.begun;
    const auto choice = othersWait ? std::nullopt : m_fleet.choose(now, exchange.wanted);
    if (!choice) {
        const Lack lack = m_fleet.lackOf(now, exchange.wanted);
        if (lack == Lack::Coming && !exchange.queuedUntil) {
            ++m_demand[{exchange.request.model, exchange.request.adapter}].missed;
            m_urgent = true;
        }
        const bool comes =
            lack == Lack::Coming && m_fleet.comingIn(now, exchange.wanted) < queuePatience(now, exchange);
        const bool opens = lack == Lack::Closed && m_fleet.opensIn(now, exchange.wanted) < queuePatience(now, exchange);
        if (othersWait || lack == Lack::Busy || comes || opens) {
            enqueue(now, exchange);
            return;
        }
    }
    leaveQueue(exchange);
    if (!choice) {
        refuseForLack(now, exchange);
        return;
    }
    const base::Millis left = exchange.deadline - now;
    if (isStream(exchange) && exchange.sent == 0 && choice->expectedWait > left) {
        giveUp(now, exchange, Reason::TooLate, std::min(choice->expectedWait - left, m_options.loadRetry));
        return;
    }
    send(now, exchange, *choice);
}

void Core::refuseForLack(base::Millis now, Exchange &exchange)
{
    const Lack lack = m_fleet.lackOf(now, exchange.wanted);
    if (lack == Lack::NotHeld) {
        ++m_demand[{exchange.request.model, exchange.request.adapter}].missed;
    }
    if (exchange.mayHaveRun) {
        giveUp(now, exchange, Reason::UpstreamFailed, {});
        return;
    }
    switch (lack) {
    case Lack::AllTried:
        giveUp(now, exchange, Reason::UpstreamRefused, closedRetry(now, exchange));
        return;
    case Lack::Closed:
        giveUp(now, exchange, Reason::Closed, closedRetry(now, exchange));
        return;
    case Lack::Busy:
        giveUp(now, exchange, Reason::Busy, busyRetry(now, exchange, m_fleet.waitFor(now, exchange.wanted, 0, 0)));
        return;
    case Lack::Coming:
        giveUp(now, exchange, Reason::NotHeld, std::max(m_fleet.comingIn(now, exchange.wanted), m_options.shortRetry));
        return;
    case Lack::NotHeld:
        giveUp(now, exchange, Reason::NotHeld, lostRetry(now, exchange));
        return;
    case Lack::NoUpstream:
        giveUp(now, exchange, Reason::NoUpstream, m_options.loadRetry);
        return;
    }
}

base::Millis Core::lostRetry(base::Millis now, const Exchange &exchange) const
{
    // Most callers retry only once, which is wasted if the model is not loaded by then.
    const base::Millis followed = (exchange.deadline - now) / m_options.followedPart;
    return std::max(std::min(followed, m_options.lostRetry), m_options.loadRetry);
}

base::Millis Core::closedRetry(base::Millis now, const Exchange &exchange) const
{
    // The caller's retry is a new request, for which no upstream is excluded.
    Wanted again = exchange.wanted;
    again.except.clear();
    const base::Millis opens = m_fleet.opensIn(now, again);
    if (opens == base::Millis{}) {
        const bool lost = !again.holding.empty() && m_fleet.lackOf(now, again) == Lack::NotHeld;
        return lost ? lostRetry(now, exchange) : m_options.shortRetry;
    }
    // Staggers the retries of callers that were rejected at the same time.
    const auto place = static_cast<std::int64_t>(exchange.id % COMEBACK_STEPS);
    return std::max(opens, m_options.shortRetry) + m_options.comebackSpread * place / COMEBACK_STEPS;
}

base::Millis Core::busyRetry(base::Millis now, const Exchange &exchange, base::Millis wait) const
{
    // While demand exceeds the engines' capacity, only another replica adds some.
    return std::max({wait, m_fleet.nextCopyIn(now, exchange.wanted), m_options.busyRetry});
}

base::Millis Core::queuePatience(base::Millis now, const Exchange &exchange) const
{
    const base::Millis until = exchange.begun
        ? exchange.deadline
        : exchange.arrivedAt + exchange.route->objective * m_options.queuePercent / PERCENT;
    return std::min(exchange.deadline, until) - now;
}

void Core::enqueue(base::Millis now, Exchange &exchange)
{
    const auto key = std::make_pair(exchange.service, exchange.wanted.holding);
    admission::FairQueue &queue = m_queues.try_emplace(key, admission::FairQueueOptions{}).first->second;
    const base::Millis patience = queuePatience(now, exchange);
    const base::Millis until = now + patience;
    const base::Millis wait =
        m_fleet.waitFor(now, exchange.wanted, queue.backlog(), static_cast<std::int64_t>(queue.size()));
    const auto queued = queue.push(now,
        {exchange.id, exchange.organisation, std::max<std::int64_t>(1, exchange.wanted.promptTokens), until,
            -static_cast<int>(std::min<std::int64_t>(exchange.priority, INT16_MAX))},
        wait);
    if (!queued) {
        if (queue.size() == 0) {
            m_queues.erase(key);
        }
        giveUp(now, exchange, exchange.mayHaveRun ? Reason::UpstreamFailed : Reason::Busy,
            busyRetry(now, exchange, wait - patience));
        return;
    }
    exchange.queuedUntil = until;
    lookAt(exchange, until);
    note(now, exchange, Step::Queued, {});
}

void Core::leaveQueue(Exchange &exchange)
{
    if (!exchange.queuedUntil) {
        return;
    }
    exchange.queuedUntil.reset();
    const auto queue = m_queues.find({exchange.service, exchange.wanted.holding});
    if (queue == m_queues.end()) {
        return;
    }
    queue->second.cancel(exchange.id);
    if (queue->second.size() == 0) {
        m_queues.erase(queue);
    }
}

void Core::pump(base::Millis now)
{
    std::vector<std::pair<std::string, std::string>> keys;
    for (const auto &[key, queue] : m_queues) {
        keys.push_back(key);
    }
    for (const auto &key : keys) {
        // Bounds the attempts to one for each queued request, as a dispatched request may be queued again.
        for (std::size_t n = m_queues.at(key).size(); n > 0 && m_queues.contains(key); --n) {
            const Lack lack = m_fleet.lackOf(now, {key.first, key.second, {}, 0, {}});
            const bool gone = lack != Lack::Busy && lack != Lack::Coming && lack != Lack::Closed;
            const bool proceeds = gone || m_fleet.hasRoom(now, key.first, key.second);
            if (!proceeds) {
                m_fleet.wish(now, key.first, key.second, static_cast<std::int64_t>(n));
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
    exchange.wanted.except.insert(exchange.choice.id);
    exchange.sentAt = now;
    exchange.heardAt = now;
    exchange.started = false;
    exchange.silent = false;
    exchange.head.reset();
    static_cast<void>(takeBody(exchange));
    exchange.cutter = {};
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
    attempt.freshConnection = !mayRunAgain(exchange) || exchange.choice.freshConnection || isRetry;
    attempt.charge = exchange.holdsRetry ? Charge::Retry : exchange.unreached > 0 ? Charge::NoneArrived : Charge::First;
    exchange.choice.freshConnection = attempt.freshConnection;
    ++exchange.sent;
    m_byAttempt.emplace(attempt.id, exchange.id);
    attempt.permit = m_fleet.began(now, exchange.choice, exchange.wanted);
    note(now, exchange, Step::Sent, {});
    lookAt(exchange, std::min(exchange.deadline, now + silenceLimit(exchange)));
    m_effects.send(attempt, exchange.request);
}

void Core::head(base::Millis now, std::uint64_t attempt, AnswerHead head)
{
    Exchange *exchange = findByAttempt(attempt);
    if (exchange == nullptr) {
        return;
    }
    exchange->heardAt = now;
    settleRetry(now, *exchange, true);
    if (head.owner == AnswerOwner::Other) {
        m_effects.cancel(attempt);
        fail(now, *exchange, Result::Failed, false, true, "foreign_answer");
        return;
    }
    takeWord(now, *exchange, head);
    const bool success = isSuccess(head.status);
    if (success && (!head.isSigned || head.owner == AnswerOwner::Unknown)) {
        m_effects.cancel(attempt);
        fail(now, *exchange, Result::Failed, false, true, "unsigned_answer");
        return;
    }
    exchange->head = std::move(head);
}

void Core::takeWord(base::Millis now, const Exchange &exchange, const AnswerHead &head)
{
    const bool ran = !head.notRun && !head.misdirected;
    for (const standing::Change it : m_fleet.heard(now, exchange.choice, head.word, exchange.sentAt, ran)) {
        m_effects.noteWord({it, exchange.request.id, exchange.attempt.upstream, head.word});
    }
}

void Core::data(base::Millis now, std::uint64_t attempt, std::string_view bytes)
{
    Exchange *exchange = findByAttempt(attempt);
    if (exchange == nullptr || !exchange->head) {
        return;
    }
    if (isStream(*exchange) && isSuccess(exchange->head->status)) {
        relayEvents(now, *exchange, bytes);
        return;
    }
    exchange->heardAt = now;
    if (!hold(*exchange, bytes)) {
        m_effects.cancel(attempt);
        fail(now, *exchange, Result::Failed, false, true, "answer_too_long");
    }
}

bool Core::hold(Exchange &exchange, std::string_view bytes)
{
    const bool fits = exchange.body.size() + bytes.size() <= m_options.maxAnswerBytes
        && m_heldBytes + bytes.size() <= m_options.maxHeldBytes;
    if (fits) {
        exchange.body += bytes;
        m_heldBytes += bytes.size();
    }
    return fits;
}

std::string Core::takeBody(Exchange &exchange)
{
    m_heldBytes -= exchange.body.size();
    return std::exchange(exchange.body, {});
}

void Core::relayEvents(base::Millis now, Exchange &exchange, std::string_view bytes)
{
    const std::string_view events = exchange.cutter.feed(bytes);
    if (exchange.cutter.failed()) {
        m_effects.cancel(exchange.attempt.id);
        fail(now, exchange, Result::Failed, false, true, "event_too_long");
        return;
    }
    if (events.empty()) {
        return;
    }
    // Bytes that complete no event do not count as progress.
    exchange.heardAt = now;
    if (!exchange.started) {
        exchange.started = true;
        m_fleet.started(now, exchange.choice, exchange.sentAt);
        m_fleet.paused(now, exchange.choice, now - exchange.sentAt,
            std::min(exchange.route->objective, exchange.route->pauseObjective * FIRST_EVENT_PAUSES));
        note(now, exchange, Step::FirstEvent, {}, exchange.head->status);
    } else if (exchange.route->pauseObjective > base::Millis{}) {
        m_fleet.paused(now, exchange.choice, now - exchange.eventAt, exchange.route->pauseObjective);
    }
    exchange.eventAt = now;
    exchange.mayHaveRun = true;
    if (!exchange.begun) {
        exchange.begun = true;
        m_effects.begin(exchange.id, exchange.head->status, exchange.head->headers);
    }
    if (!exchange.cutter.lastId().empty()) {
        exchange.lastEventId = exchange.cutter.lastId();
    }
    if (!m_effects.write(exchange.id, events)) {
        leave(now, exchange.id);
    }
}

void Core::ended(base::Millis now, std::uint64_t attempt, const AttemptEnd &end)
{
    Exchange *exchange = findByAttempt(attempt);
    if (exchange == nullptr) {
        return;
    }
    if (!end.complete || !exchange->head) {
        const bool reached = end.bytesSent || exchange->head.has_value();
        const bool lost = end.lostConnection && !exchange->head;
        if (lost && !exchange->attempt.freshConnection) {
            // The pooled connection was stale, which does not indicate a failed upstream; a new connection will show.
            exchange->wanted.except.erase(exchange->choice.id);
        }
        const Result result = lost ? Result::Lost : reached ? Result::Failed : Result::NotReached;
        fail(now, *exchange, result, !reached, reached, end.how);
        return;
    }
    if (isStream(*exchange) && isSuccess(exchange->head->status)) {
        endStream(now, *exchange);
    } else {
        endWhole(now, *exchange);
    }
}

void Core::endStream(base::Millis now, Exchange &exchange)
{
    if (!exchange.cutter.atBoundary()) {
        fail(now, exchange, Result::Failed, false, true, "cut_in_event");
        return;
    }
    if (!exchange.begun) {
        exchange.begun = true;
        m_effects.begin(exchange.id, exchange.head->status, exchange.head->headers);
    }
    exchange.mayHaveRun = true;
    note(now, exchange, Step::Answered, {}, exchange.head->status);
    closeAttempt(now, exchange, Result::Answered);
    m_effects.end(exchange.id);
    finish(now, exchange);
}

void Core::endWhole(base::Millis now, Exchange &exchange)
{
    const AnswerHead &head = *exchange.head;
    if (head.misdirected) {
        m_fleet.lacks(exchange.choice.id, exchange.wanted.holding);
    }
    if (head.notRun || head.misdirected) {
        fail(now, exchange, Result::Refused, true, true, head.misdirected ? "misdirected" : "refused");
        return;
    }
    exchange.mayHaveRun = true;
    const bool retries = head.status >= SERVER_ERROR && mayRunAgain(exchange);
    if (exchange.begun || retries || promisesNotRun(head.status)) {
        fail(now, exchange, Result::ErrorAnswer, false, true, "error_answer");
        return;
    }
    deliver(now, exchange);
}

void Core::deliver(base::Millis now, Exchange &exchange)
{
    AnswerHead &head = *exchange.head;
    if (!exchange.started) {
        exchange.started = true;
        m_fleet.started(now, exchange.choice, exchange.sentAt);
    }
    note(now, exchange, Step::Answered, {}, head.status);
    closeAttempt(now, exchange, head.status >= SERVER_ERROR ? Result::ErrorAnswer : Result::Answered);
    m_effects.respond(exchange.id, {head.status, std::move(head.headers), takeBody(exchange)});
    finish(now, exchange);
}

bool Core::hasOther(base::Millis now, const Exchange &exchange) const
{
    return m_fleet.lackOf(now, exchange.wanted) == Lack::Busy;
}

bool Core::mayRunAgain(const Exchange &exchange) const
{
    switch (exchange.route->repeat) {
    case config::Repeat::Idempotent:
        return true;
    case config::Repeat::AtMostOnce:
        return false;
    case config::Repeat::Stream:
        return exchange.route->resumable;
    }
    return false;
}

void Core::fail(base::Millis now, Exchange &exchange, Result result, bool notRun, bool reached, std::string_view how)
{
    exchange.mayHaveRun = exchange.mayHaveRun || !notRun;
    if (reached) {
        settleRetry(now, exchange, true);
    } else {
        --exchange.sent;
        ++exchange.unreached;
    }
    const Next next = whatNext(now, exchange);
    const bool keepsAnswer = exchange.head && exchange.head->status >= SERVER_ERROR && !notRun && !exchange.begun
        && !promisesNotRun(exchange.head->status);
    if (next != Next::Again && keepsAnswer && how == "error_answer") {
        deliver(now, exchange);
        return;
    }
    note(now, exchange, Step::AttemptFailed, how, exchange.head ? exchange.head->status : 0, next);
    closeAttempt(now, exchange, result);
    if (next == Next::Again) {
        dispatch(now, exchange);
        return;
    }
    giveUp(now, exchange, exchange.mayHaveRun ? Reason::UpstreamFailed : Reason::UpstreamRefused,
        exchange.mayHaveRun ? base::Millis{} : closedRetry(now, exchange));
}

Next Core::whatNext(base::Millis now, Exchange &exchange)
{
    if (!mayRunAgain(exchange) && exchange.mayHaveRun) {
        return Next::MayHaveRun;
    }
    if (now >= exchange.deadline) {
        return Next::NoTime;
    }
    if (exchange.sent >= exchange.route->attempts || exchange.unreached >= m_options.unreached) {
        return Next::NoAttempts;
    }
    if (!hasOther(now, exchange)) {
        return Next::NoOther;
    }
    return takeRetry(now, exchange) ? Next::Again : Next::NoAllowance;
}

bool Core::takeRetry(base::Millis now, Exchange &exchange)
{
    // An attempt counts as a retry only if an earlier one may have arrived.
    if (exchange.sent > 0 && !exchange.holdsRetry) {
        exchange.holdsRetry = m_retries.takeRetry(now, exchange.service);
        return exchange.holdsRetry;
    }
    return true;
}

void Core::settleRetry(base::Millis now, Exchange &exchange, bool arrived)
{
    if (exchange.holdsRetry) {
        m_retries.settle(now, exchange.service, arrived);
        exchange.holdsRetry = false;
    }
}

void Core::closeAttempt(base::Millis now, Exchange &exchange, Result result)
{
    if (exchange.attempt.id == 0) {
        return;
    }
    m_fleet.ended(now, exchange.choice, exchange.started, result);
    m_byAttempt.erase(exchange.attempt.id);
    exchange.attempt.id = 0;
}

void Core::cancelAttempt(base::Millis now, Exchange &exchange)
{
    if (exchange.attempt.id != 0) {
        exchange.mayHaveRun = true;
        m_effects.cancel(exchange.attempt.id);
        settleRetry(now, exchange, true);
        closeAttempt(now, exchange, Result::Cancelled);
    }
}

} // namespace bamboomoor::relay
