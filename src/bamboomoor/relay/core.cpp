/**
 * The request lifecycle: arrival, admission, timers and completion. attempts.cpp implements the attempts at upstreams.
 */
#include "bamboomoor/relay/core.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace bamboomoor::relay
{

namespace
{

// Interval of budget checks while requests wait for a budget decision.
constexpr base::Millis BUDGET_TICK{20};
// Interval of capacity checks while requests are queued.
constexpr base::Millis QUEUE_TICK{15};
// Bounds of the prompt parts in a log line.
constexpr std::size_t MAX_LOGGED_PARTS = 8;
constexpr std::size_t MAX_LOGGED_PART_LENGTH = 32;

/** @brief Joins the ids of all parts but the last, which no other request shares. */
std::string joinSharedParts(const std::vector<PromptPart> &parts)
{
    std::string joined;
    for (std::size_t n = 0; n + 1 < parts.size() && n < MAX_LOGGED_PARTS; ++n) {
        joined += (n == 0 ? "" : "+") + parts[n].id.substr(0, MAX_LOGGED_PART_LENGTH);
    }
    return joined;
}

} // namespace

Core::Core(CoreOptions options, Effects &effects)
    : m_options(std::move(options))
    , m_effects(effects)
    , m_fleet(m_options.fleet)
    , m_retries(m_options.retries)
    , m_budgetHolder(m_options.budget)
    , m_guard(m_options.quarantine)
    , m_reach(m_options.reach)
    , m_journal(m_options.journal)
{
}

void Core::setTable(std::shared_ptr<const RouteTable> table)
{
    assert(table != nullptr);
    m_table = std::move(table);
}

void Core::setWorkers(std::vector<Worker> workers)
{
    m_listed.clear();
    for (const Worker &it : workers) {
        m_listed.push_back({it.id, it.incarnation});
    }
    m_reach.setUpstreamCount(workers.size());
    m_fleet.update(std::move(workers));
}

Core::Exchange *Core::find(std::uint64_t exchange)
{
    const auto it = m_exchanges.find(exchange);
    return it == m_exchanges.end() ? nullptr : it->second.get();
}

Core::Exchange *Core::findByAttempt(std::uint64_t attempt)
{
    const auto it = m_byAttempt.find(attempt);
    return it == m_byAttempt.end() ? nullptr : find(it->second);
}

void Core::onRequest(base::Millis now, std::uint64_t id, Request request)
{
    auto owned = std::make_unique<Exchange>();
    Exchange &exchange = *owned;
    exchange.id = id;
    exchange.request = std::move(request);
    exchange.table = m_table;
    exchange.arrivedAt = now;
    exchange.checkAt = base::NEVER;
    exchange.lastEventId = exchange.request.lastEventId;
    m_exchanges.emplace(id, std::move(owned));
    if (!m_table) {
        giveUp(now, exchange, Reason::NotConfigured, m_options.minLoadRetryDelay);
        return;
    }
    if (m_isOutdated) {
        giveUp(now, exchange, Reason::Outdated, m_options.defaultRetryDelay);
        return;
    }
    exchange.route = m_table->find(exchange.request.host, exchange.request.path);
    if (exchange.route == nullptr) {
        giveUp(now, exchange, Reason::UnknownRoute, {});
        return;
    }
    if (outlastsDrain(now, exchange)) {
        giveUp(now, exchange, Reason::Stopping, m_options.defaultRetryDelay);
        return;
    }
    admit(now, exchange);
}

bool Core::outlastsDrain(base::Millis now, const Exchange &exchange) const
{
    if (m_draining && isStream(exchange)) {
        return true;
    }
    const config::Relay &route = *exchange.route;
    const base::Millis deadline = now + std::min(route.timeout, exchange.request.timeout.value_or(route.timeout));
    return deadline > m_drainUntil && (m_draining || !isRepeatable(exchange));
}

void Core::admit(base::Millis now, Exchange &exchange)
{
    const config::Relay &route = *exchange.route;
    const Request &request = exchange.request;
    exchange.deadline = now + std::min(route.timeout, request.timeout.value_or(route.timeout));
    // A resumed stream goes on at the service that began it.
    exchange.service = RouteTable::serviceOf(route, streamOf(exchange));
    exchange.priority = route.priority;
    exchange.requirements.service = exchange.service;
    exchange.requirements.promptTokens = request.promptTokens.value_or(0);
    exchange.requirements.parts = request.parts;
    exchange.requirements.recordedSoftware = isResumable(exchange);
    const bool needsKey = !route.open;
    const config::Organisation *organisation = exchange.table->organisationOf(request.key);
    if (needsKey && organisation == nullptr) {
        giveUp(now, exchange, Reason::UnknownKey, {});
        return;
    }
    if (const auto left = quarantinedFor(now, exchange)) {
        giveUp(now, exchange, Reason::Quarantined, *left);
        return;
    }
    const config::Service *service = exchange.table->service(exchange.service);
    if (service != nullptr && service->engine && !request.model.empty()) {
        exchange.requirements.holding = holdingOf(request.model, request.adapter);
        HoldingDemand &demand = m_demand[{request.model, request.adapter}];
        demand.model = request.model;
        demand.adapter = request.adapter;
        ++demand.requests;
        demand.tokens += exchange.requirements.promptTokens;
    }
    m_retries.countRequest(now, exchange.service);
    scheduleCheck(exchange, exchange.deadline);
    if (!needsKey) {
        begin(now, exchange);
        return;
    }
    exchange.organisation = organisation->name;
    exchange.priority = organisation->priority.value_or(route.priority);
    if (organisation->unlimited) {
        begin(now, exchange);
        return;
    }
    const bool sized = request.promptTokens || request.maxTokens;
    exchange.cost =
        sized ? request.promptTokens.value_or(0) + request.maxTokens.value_or(0) : organisation->plainTokens;
    const budget::Admission admission =
        m_budgetHolder.admit(now, organisation->name, std::max<std::int64_t>(1, exchange.cost));
    exchange.reservation = admission.reservation;
    m_byReservation.emplace(admission.reservation, exchange.id);
    onAdmission(now, admission);
}

void Core::onAdmission(base::Millis now, const budget::Admission &admission)
{
    const auto it = m_byReservation.find(admission.reservation);
    Exchange *exchange = it == m_byReservation.end() ? nullptr : find(it->second);
    if (exchange == nullptr || admission.decision == budget::AdmissionDecision::Waiting) {
        return;
    }
    if (admission.decision == budget::AdmissionDecision::Admitted) {
        begin(now, *exchange);
        return;
    }
    m_byReservation.erase(it);
    exchange->reservation = 0;
    if (!admission.isDecided || now - m_lastBudgetReplyAt > m_options.budgetTimeout) {
        giveUp(now, *exchange, Reason::RateUnknown, m_options.minLoadRetryDelay);
        return;
    }
    giveUp(now, *exchange, Reason::RateExceeded,
        admission.retryAfter == base::NEVER ? base::Millis{} : admission.retryAfter);
}

const std::string &Core::streamOf(const Exchange &exchange) noexcept
{
    const Request &request = exchange.request;
    return request.lastEventId.empty() || request.resumedId.empty() ? request.id : request.resumedId;
}

bool Core::isResumable(const Exchange &exchange) const
{
    return isStream(exchange) && exchange.route->resumable;
}

void Core::begin(base::Millis now, Exchange &exchange)
{
    const Request &request = exchange.request;
    if (!isStream(exchange) || request.lastEventId.empty()) {
        dispatch(now, exchange);
        return;
    }
    if (const auto origin = m_journal.find(now, request.resumedId)) {
        if (origin->service == exchange.service) {
            pinSoftware(now, exchange, origin->software);
        } else {
            giveUp(now, exchange, Reason::OriginUnknown, {});
        }
        return;
    }
    exchange.resolvingUntil = now + m_options.originTimeout;
    scheduleCheck(exchange, std::min(exchange.deadline, *exchange.resolvingUntil));
    m_effects.resolveOrigin(exchange.id, {exchange.service, request.resumedId});
}

void Core::pinSoftware(base::Millis now, Exchange &exchange, std::string software)
{
    exchange.resolvingUntil.reset();
    scheduleCheck(exchange, exchange.deadline);
    recordOrigin(now, exchange, software);
    exchange.requirements.software = std::move(software);
    dispatch(now, exchange);
}

void Core::onOriginResolved(base::Millis now, std::uint64_t id, OriginVerdict verdict, const std::string &software)
{
    Exchange *exchange = find(id);
    if (exchange == nullptr || !exchange->resolvingUntil) {
        return;
    }
    if (verdict == OriginVerdict::Known) {
        pinSoftware(now, *exchange, software);
        return;
    }
    // Without a leader the answer may be known later; an unknown origin stays unknown.
    giveUp(now, *exchange, Reason::OriginUnknown,
        verdict == OriginVerdict::NoLeader ? m_options.minLoadRetryDelay : base::Millis{});
}

void Core::recordOrigin(base::Millis now, const Exchange &exchange, const std::string &software)
{
    const std::string &stream = streamOf(exchange);
    if (!stream.empty()) {
        const base::Millis life =
            std::max(exchange.route->timeout, exchange.request.timeout.value_or(exchange.route->timeout));
        static_cast<void>(m_journal.record(
            now, {stream, {exchange.service, software}, exchange.arrivedAt + life + m_options.streamRetention}));
    }
}

void Core::onBudgetReply(base::Millis now, const budget::TokenReply &reply)
{
    m_lastBudgetReplyAt = now;
    for (const budget::Admission &it : m_budgetHolder.onReply(now, reply)) {
        onAdmission(now, it);
    }
}

std::optional<budget::TokenRequest> Core::takeBudgetRequest(base::Millis now)
{
    return m_budgetHolder.takeRequest(now);
}

void Core::tick(base::Millis now)
{
    for (const budget::Admission &it : m_budgetHolder.tick(now)) {
        onAdmission(now, it);
    }
    while (!m_checks.empty() && m_checks.begin()->first <= now) {
        Exchange *exchange = find(m_checks.begin()->second);
        assert(exchange != nullptr);
        scheduleCheck(*exchange, base::NEVER);
        checkTimers(now, *exchange);
    }
    evaluateReach(now);
    m_guard.onRuns(now, std::exchange(m_listed, {}));
    enforceQuarantine(now, m_guard.evaluate(now), false);
    dispatchQueued(now);
    m_urgent = m_urgent || m_fleet.permitRequestDue(now) || m_journal.isDue(now);
}

void Core::onLeaderReports(base::Millis now, const std::vector<standing::LeaderReport> &reports)
{
    for (const standing::LeaderReport &it : reports) {
        m_fleet.onLeaderReport(now, it);
    }
}

const std::string &Core::fingerprintOf(const Exchange &exchange)
{
    if (exchange.fingerprint.empty()) {
        // Independent of which of its keys an organisation uses.
        const config::Organisation *organisation =
            exchange.table ? exchange.table->organisationOf(exchange.request.key) : nullptr;
        exchange.fingerprint =
            fingerprint(exchange.request, organisation == nullptr ? exchange.request.key : organisation->name);
    }
    return exchange.fingerprint;
}

quarantine::RequestTraits Core::traitsOf(const Exchange &exchange)
{
    quarantine::RequestTraits traits;
    traits.parts.reserve(exchange.request.parts.size());
    for (const PromptPart &it : exchange.request.parts) {
        traits.parts.push_back(it.id);
    }
    traits.fingerprint = fingerprintOf(exchange);
    return traits;
}

std::optional<base::Millis> Core::quarantinedFor(base::Millis now, const Exchange &exchange) const
{
    if (m_guard.isEmpty()) {
        return std::nullopt;
    }
    const auto found = m_guard.quarantined(now, traitsOf(exchange));
    return found ? std::optional(found->second) : std::nullopt;
}

void Core::enforceQuarantine(base::Millis now, const std::vector<quarantine::Finding> &findings, bool byLeader)
{
    if (findings.empty()) {
        return;
    }
    for (const quarantine::Finding &it : findings) {
        m_effects.logQuarantine(it, byLeader);
    }
    std::vector<std::uint64_t> affected;
    for (const auto &[id, exchange] : m_exchanges) {
        const bool begun = exchange->attempt.id != 0 && exchange->started;
        if (!begun && quarantinedFor(now, *exchange)) {
            affected.push_back(id);
        }
    }
    for (const std::uint64_t id : affected) {
        Exchange &exchange = *find(id);
        const base::Millis left = quarantinedFor(now, exchange).value_or(m_options.defaultRetryDelay);
        cancelAttempt(now, exchange);
        giveUp(now, exchange, Reason::Quarantined, left);
    }
}

void Core::onQuarantineReply(base::Millis now, const quarantine::LeaderReply &reply)
{
    enforceQuarantine(now, m_guard.onLeaderReply(now, reply), true);
}

quarantine::Report Core::takeQuarantineReport(base::Millis now)
{
    return m_guard.takeReport(now);
}

std::vector<standing::Report> Core::takeReports(base::Millis now)
{
    return m_fleet.takeReports(now);
}

void Core::setRemoteLoad(base::Millis now, const std::map<std::string, std::int64_t> &waiting)
{
    m_fleet.setRemoteLoad(now, waiting);
}

void Core::setPlacements(base::Millis now, const std::vector<PlacedHolding> &placed)
{
    m_fleet.setPlacements(now, placed);
}

std::vector<std::string> Core::unreachable(base::Millis now) const
{
    return m_fleet.unreachable(now);
}

std::map<std::string, std::int64_t> Core::queuedTokens() const
{
    return m_fleet.queuedTokens();
}

base::Millis Core::nextDeadline(base::Millis now) const noexcept
{
    const base::Millis look = m_checks.empty() ? base::NEVER : m_checks.begin()->first;
    const base::Millis queue = m_queues.empty() ? base::NEVER : now + QUEUE_TICK;
    return std::min({look, queue, m_journal.dueAt(), m_byReservation.empty() ? base::NEVER : now + BUDGET_TICK});
}

void Core::scheduleCheck(Exchange &exchange, base::Millis at)
{
    m_checks.erase({exchange.checkAt, exchange.id});
    exchange.checkAt = at;
    if (at != base::NEVER) {
        m_checks.emplace(at, exchange.id);
    }
}

bool Core::isStream(const Exchange &exchange) const
{
    return exchange.route != nullptr && exchange.route->repeat == config::Repeat::Stream;
}

base::Millis Core::stallTimeout(const Exchange &exchange) const
{
    const config::Relay &route = *exchange.route;
    const bool hasBegun = isStream(exchange) && (exchange.started || exchange.headSent);
    const base::Millis objective = exchange.started && hasBegun ? route.pauseObjective * 3 : route.objective * 2;
    return std::max(hasBegun ? m_options.minStreamStallTimeout : m_options.minStallTimeout, objective);
}

void Core::checkTimers(base::Millis now, Exchange &exchange)
{
    if (now >= exchange.deadline) {
        cancelAttempt(now, exchange);
        giveUp(now, exchange, Reason::TimedOut, m_options.defaultRetryDelay);
        return;
    }
    if (exchange.resolvingUntil && now >= *exchange.resolvingUntil) {
        giveUp(now, exchange, Reason::OriginUnknown, m_options.minLoadRetryDelay);
        return;
    }
    if (exchange.queuedUntil && now >= *exchange.queuedUntil) {
        rejectUnavailable(now, exchange);
        return;
    }
    if (exchange.attempt.id == 0) {
        scheduleCheck(exchange, exchange.deadline);
        return;
    }
    const base::Millis silentAt = exchange.lastProgressAt + stallTimeout(exchange);
    if (now < silentAt) {
        scheduleCheck(exchange, std::min(silentAt, exchange.deadline));
        return;
    }
    const bool isNews = !std::exchange(exchange.stalled, true);
    if (isNews) {
        noteUnanswered(now, exchange, ReachFailure::NoAnswer);
    }
    if (isNews && !lostInPartition(now, exchange)) {
        m_fleet.onStall(now, exchange.choice);
    }
    settleRetry(now, exchange, true);
    if (!isRepeatable(exchange)) {
        note(now, exchange, Step::Stalled, {}, 0, RetryDecision::MayHaveRun);
        scheduleCheck(exchange, exchange.deadline);
        return;
    }
    pinReported(exchange);
    // A stalled attempt may still complete; it is abandoned only for an upstream that takes the request now.
    auto choice = quarantinedFor(now, exchange) ? std::nullopt : m_fleet.choose(now, exchange.requirements);
    const RetryDecision next = choice ? decideRetry(now, exchange) : RetryDecision::NoOtherUpstream;
    if (next != RetryDecision::Retry) {
        if (isNews) {
            note(now, exchange, Step::Stalled, {}, 0, next);
        }
        scheduleCheck(exchange, std::min(exchange.deadline, now + m_options.stallCheckInterval));
        return;
    }
    note(now, exchange, Step::AttemptFailed, "silent", 0, next);
    m_effects.cancel(exchange.attempt.id);
    exchange.mayHaveRun = true;
    closeAttempt(now, exchange, lostInPartition(now, exchange) ? AttemptResult::Cancelled : AttemptResult::Failed);
    send(now, exchange, std::move(*choice));
}

void Core::onCallerDisconnected(base::Millis now, std::uint64_t id)
{
    Exchange *exchange = find(id);
    if (exchange == nullptr) {
        return;
    }
    note(now, *exchange, Step::Cancelled, REASON_NAMES.name(Reason::CallerGone));
    cancelAttempt(now, *exchange);
    finish(now, *exchange);
}

void Core::stop(base::Millis now)
{
    while (!m_exchanges.empty()) {
        Exchange &exchange = *m_exchanges.begin()->second;
        cancelAttempt(now, exchange);
        giveUp(now, exchange, Reason::Stopping, m_options.defaultRetryDelay);
    }
}

void Core::giveUp(base::Millis now, Exchange &exchange, Reason reason, base::Millis retryAfter)
{
    const std::string_view name = REASON_NAMES.name(reason);
    if (exchange.headSent) {
        note(now, exchange, Step::Aborted, name);
        m_effects.abortStream(exchange.id);
    } else {
        note(now, exchange, exchange.mayHaveRun ? Step::Failed : Step::Refused, name);
        m_effects.sendLocalReply(exchange.id, {reason, !exchange.mayHaveRun, retryAfter});
    }
    finish(now, exchange);
}

void Core::noteLoss(base::Millis now, const Exchange &exchange)
{
    const standing::Run run{exchange.choice.id, exchange.choice.incarnation};
    m_guard.onLost(now, run, traitsOf(exchange), exchange.sentAt);
}

void Core::noteSurvival(base::Millis now, const Exchange &exchange)
{
    if (m_guard.isWatching()) {
        m_guard.onSurvival(now, traitsOf(exchange));
    }
}

void Core::finish(base::Millis now, Exchange &exchange)
{
    if (exchange.reservation != 0) {
        m_budgetHolder.settle(now, exchange.reservation, exchange.mayHaveRun ? exchange.cost : 0);
        m_budgetHolder.cancel(exchange.reservation);
        m_byReservation.erase(exchange.reservation);
    }
    settleRetry(now, exchange, false);
    static_cast<void>(takeBody(exchange));
    leaveQueue(exchange);
    scheduleCheck(exchange, base::NEVER);
    m_exchanges.erase(exchange.id);
}

std::vector<HoldingDemand> Core::takeDemand()
{
    std::vector<HoldingDemand> demand;
    for (auto &[key, it] : m_demand) {
        demand.push_back(std::move(it));
    }
    m_demand.clear();
    return demand;
}

void Core::note(base::Millis now, const Exchange &exchange, Step step, std::string_view reason, int status,
    std::optional<RetryDecision> next) const
{
    Decision decision;
    decision.step = step;
    decision.request = exchange.request.id;
    decision.route = exchange.route == nullptr ? std::string_view() : std::string_view(exchange.route->name);
    decision.organisation = exchange.organisation;
    decision.upstream = exchange.attempt.upstream;
    decision.holding = exchange.requirements.holding;
    decision.reason = reason;
    decision.status = status;
    decision.attempt = exchange.attempt.id;
    decision.via = exchange.attempt.via;
    decision.software = exchange.choice.software;
    if (step == Step::Sent) {
        decision.charge = exchange.attempt.charge;
        decision.freshConnection = exchange.attempt.freshConnection;
        decision.permit = exchange.attempt.permit;
    }
    if (step == Step::AttemptFailed) {
        decision.events = exchange.splitter.events();
    }
    if (step == Step::AttemptFailed || reason == REASON_NAMES.name(Reason::Quarantined)) {
        decision.sharedParts = joinSharedParts(exchange.request.parts);
        decision.fingerprint = fingerprintOf(exchange);
    }
    decision.retryDecision = next;
    decision.age = now - exchange.arrivedAt;
    decision.version = exchange.table ? exchange.table->version() : 0;
    decision.expectedWait = exchange.choice.expectedWait;
    decision.tokens = exchange.cost;
    m_effects.logDecision(decision);
}

} // namespace bamboomoor::relay
