/**
 * The entry's thread: requests that crash upstreams, the evidence for them, and what becomes of them.
 */
#include "bamboomoor/base/eventlog.hpp"
#include "bamboomoor/entry/crashevidence.hpp"
#include "bamboomoor/entry/desk.hpp"

#include <glog/logging.h>

#include <utility>

namespace bamboomoor::entry
{

namespace
{

constexpr base::Millis REVIEW_INTERVAL{100};
// The leader decides within a second after a crash or wants another one.
constexpr base::Millis DECISION_TIME{2'000};
constexpr std::string_view MESSAGE = "upstreams crash on this request or on a part of its prompt";

std::string joinSharedParts(const std::vector<std::string> &parts)
{
    constexpr std::size_t MAX_LOGGED = 8;
    std::string joined;
    for (std::size_t n = 0; n + 1 < parts.size() && n < MAX_LOGGED; ++n) {
        joined += (n == 0 ? "" : ",") + parts[n];
    }
    return joined;
}

base::LogLine lineOf(const char *event, const Exchange &exchange, std::string_view reason)
{
    base::LogLine line(event);
    line.add("id", exchange.requestId).add("org", exchange.organisation).add("reason", reason);
    if (exchange.traits) {
        line.add("parts", joinSharedParts(exchange.traits->parts)).add("request", exchange.traits->fingerprint);
    }
    return line;
}

const quarantine::RequestTraits &traitsIn(Exchange &exchange)
{
    if (!exchange.traits) {
        exchange.traits = traitsOf(exchange.request, exchange.resolved, exchange.organisation);
    }
    return *exchange.traits;
}

} // namespace

void Desk::on(News &event)
{
    enforceQuarantine(m_guard.onLeaderReply(m_context.clock.now(), event.quarantine), true);
}

void Desk::reviewQuarantine()
{
    const base::Millis now = m_context.clock.now();
    enforceQuarantine(m_guard.evaluate(now), false);
    const bool urgent = m_guard.takeUrgent();
    if (!urgent && now < m_nextGuardReview) {
        return;
    }
    m_nextGuardReview = now + REVIEW_INTERVAL;
    if (m_guard.isWatching()) {
        std::vector<standing::Run> runs;
        for (const membership::Entry &it : m_context.upstreams.list(now)) {
            runs.push_back({it.announcement.id, it.announcement.incarnation});
        }
        m_guard.onRuns(now, runs);
    }
    {
        const absl::MutexLock lock(&m_mutex);
        m_quarantineReport = m_guard.takeReport(now);
    }
    if (m_urgentReport && (urgent || now < m_askLeaderUntil)) {
        m_urgentReport();
    }
}

void Desk::enforceQuarantine(const std::vector<quarantine::Finding> &findings, bool byLeader)
{
    if (findings.empty()) {
        return;
    }
    const base::Millis now = m_context.clock.now();
    for (const quarantine::Finding &it : findings) {
        m_context.metrics.quarantined(byLeader);
        LOG(INFO) << base::LogLine("part_quarantined")
                         .add("part", it.part)
                         .add("decided_by", byLeader ? "leader" : "entry")
                         .add("crashes", static_cast<std::int64_t>(it.crashes))
                         .add("left_ms", it.until - now)
                         .text();
    }
    std::vector<std::uint64_t> affected;
    for (const auto &[id, exchange] : m_exchanges) {
        const bool waits = exchange->phase == Phase::Budgeting || exchange->phase == Phase::Queued
            || exchange->phase == Phase::BackingOff;
        // What may run once only is let finish, so that its outcome is known; a stream that has begun survives.
        const bool isCancellable = exchange->phase == Phase::Running && exchange->resolved.generation
            && exchange->claimId == 0 && exchange->attempt.events == 0;
        if ((waits || isCancellable) && quarantinedFor(*exchange)) {
            affected.push_back(id);
        }
    }
    for (const std::uint64_t id : affected) {
        Exchange &exchange = *m_exchanges.at(id);
        endQuarantined(exchange, quarantinedFor(exchange).value_or(base::Millis{1'000}));
    }
}

std::optional<base::Millis> Desk::quarantinedFor(Exchange &exchange) const
{
    if (m_guard.isEmpty()) {
        return std::nullopt;
    }
    const auto found = m_guard.quarantined(m_context.clock.now(), traitsIn(exchange));
    return found ? std::optional(found->second) : std::nullopt;
}

void Desk::endQuarantined(Exchange &exchange, base::Millis left)
{
    using admission::Refusal;
    const bool running = exchange.phase == Phase::Running;
    const bool tried = exchange.delivery.attempts() > 0;
    LOG(INFO) << lineOf(tried ? "failed" : "refused", exchange, "quarantined").add("left_ms", left).text();
    if (tried) {
        m_context.metrics.gaveUp("quarantined");
    }
    if (running) {
        cancelAttempt(exchange);
        const bool ran = exchange.delivery.deliveredTokens() > 0;
        endWithError(exchange, ran ? Refusal::UpstreamFailed : Refusal::OutcomeUnknown, std::string(MESSAGE),
            ran ? admission::Execution::Run : admission::Execution::Unknown);
        return;
    }
    const routing::Decision decision = exchange.delivery.giveUp();
    if (decision == routing::Decision::FailNotRun) {
        endWithError(exchange, Refusal::Quarantined, std::string(MESSAGE), admission::Execution::NotRun, left);
    } else {
        giveUp(exchange, decision, std::string(MESSAGE));
    }
}

void Desk::noteFailure(Exchange &exchange, routing::FailureKind failure)
{
    using routing::FailureKind;
    const base::Millis now = m_context.clock.now();
    const Attempt &attempt = exchange.attempt;
    if (failure == FailureKind::ConnectRefused || failure == FailureKind::ConnectTimeout) {
        m_guard.onUnreachable(now, attempt.upstream);
    }
    if (!mayBeCrash(failure, attempt.events)) {
        return;
    }
    m_guard.onLost(now, {attempt.upstream, attempt.incarnation}, traitsIn(exchange), attempt.sentAt);
    m_askLeaderUntil = now + DECISION_TIME;
    LOG(INFO) << lineOf("attempt_failed", exchange, routing::FAILURE_KIND_NAMES.name(failure))
                     .add("upstream", attempt.upstream)
                     .add("attempt", static_cast<std::int64_t>(attempt.id))
                     .add("events", static_cast<std::int64_t>(attempt.events))
                     .text();
}

void Desk::noteSurvival(Exchange &exchange)
{
    if (m_guard.isWatching()) {
        m_guard.onSurvival(m_context.clock.now(), traitsIn(exchange));
    }
}

quarantine::Report Desk::takeQuarantineReport()
{
    const absl::MutexLock lock(&m_mutex);
    return m_quarantineReport;
}

void Desk::takeNews(LeaderNews news)
{
    // The next reply repeats what a full ring drops.
    if (!m_ring.push(News{std::move(news.quarantine)})) {
        m_context.metrics.dropped("ring_full");
    }
}

} // namespace bamboomoor::entry
