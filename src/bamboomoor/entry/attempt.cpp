/**
 * The entry's thread: attempts at upstreams, and the way of their answers back to the callers.
 */
#include "bamboomoor/base/eventlog.hpp"
#include "bamboomoor/base/json.hpp"
#include "bamboomoor/entry/desk.hpp"
#include "bamboomoor/entry/upstreamaccess.hpp"
#include "bamboomoor/http/forwarding.hpp"
#include "bamboomoor/quarantine/partlimits.hpp"

#include <glog/logging.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace bamboomoor::entry
{

namespace
{

constexpr base::Millis DEFAULT_RETRY_DELAY{1'000};
constexpr int HTTP_OK = 200;
constexpr int HTTP_REDIRECT = 300;
constexpr int HTTP_BAD_REQUEST = 400;
constexpr int HTTP_NOT_FOUND = 404;
constexpr int HTTP_SERVER_ERROR = 500;

using Json = nlohmann::json;
using routing::FailureKind;

FailureKind failureOf(const http::Ending &ending)
{
    switch (ending.kind) {
    case http::EndKind::Unusable:
    case http::EndKind::ConnectFailed:
        return ending.bytesSent ? FailureKind::ResetBeforeResponse : FailureKind::ConnectRefused;
    case http::EndKind::ConnectTimeout:
        return FailureKind::ConnectTimeout;
    case http::EndKind::Stale:
        return FailureKind::SentNothing;
    case http::EndKind::ResetBeforeAnswer:
        return ending.bytesSent ? FailureKind::ResetBeforeResponse : FailureKind::SentNothing;
    case http::EndKind::ResetDuring:
        return FailureKind::ResetDuringResponse;
    case http::EndKind::Truncated:
        return FailureKind::Truncated;
    case http::EndKind::Silent:
    case http::EndKind::TimedOut:
    case http::EndKind::Cancelled:
        return FailureKind::Stalled;
    case http::EndKind::Complete:
    case http::EndKind::Malformed:
    case http::EndKind::TooLarge:
        return FailureKind::Malformed;
    }
    return FailureKind::Malformed;
}

/** @brief Tells whether an upstream's error answer says that the request was not run. */
bool saysNotRun(const std::string &body)
{
    const Json json = base::parseJson(body);
    const auto error = json.is_object() ? json.find("error") : json.end();
    if (!json.is_object() || error == json.end() || !error->is_object()) {
        return false;
    }
    const auto flag = error->find("not_run");
    return flag != error->end() && flag->is_boolean() && flag->get<bool>();
}

http::Headers answerHeaders(const http::Headers &headers, const std::string &requestId)
{
    http::Headers kept;
    for (const http::Header &it : http::forwardHeaders(headers)) {
        if (!http::equalsIgnoringCase(it.name, "X-Request-Id")) {
            kept.push_back(it);
        }
    }
    kept.push_back({"X-Request-Id", requestId});
    return kept;
}

std::string attemptName(const Exchange &exchange)
{
    return exchange.requestId + '.' + std::to_string(exchange.attempt.id);
}

/** @brief Tells whether an answer names another attempt than the one that it came for. */
bool isCrossed(const http::Headers &headers, std::string_view attempt)
{
    const std::string_view echoed = http::headerValue(headers, "X-Request-Id");
    return !echoed.empty() && echoed != attempt;
}

} // namespace

/** @brief Passes what the client's thread receives on to the desk's ring. */
class Desk::AttemptListener final : public http::Listener
{
public:
    AttemptListener(base::Ring<Event> &ring, Metrics &metrics, const Exchange &exchange)
        : m_ring(ring)
        , m_metrics(metrics)
        , m_exchange(exchange.id)
        , m_attempt(exchange.attempt.id)
        , m_name(attemptName(exchange))
        , m_memory(exchange.attempt.memory)
    {
    }

    bool onHead(int status, http::Headers headers) override
    {
        const bool isOwn = !isCrossed(headers, m_name);
        m_ring.deliver(AnswerHead{m_exchange, m_attempt, status, std::move(headers)});
        return isOwn;
    }

    bool onData(std::string_view bytes) override
    {
        if (!m_memory->take(bytes.size())) {
            m_metrics.dropped("answer_too_large");
            return false;
        }
        const bool fits = m_ring.push(AnswerData{m_exchange, m_attempt, std::string(bytes), m_memory});
        if (!fits) {
            m_metrics.dropped("ring_full");
        }
        return fits;
    }

    void onEnd(http::Ending ending) override
    {
        m_ring.deliver(AnswerEnd{m_exchange, m_attempt, std::move(ending)});
    }

private:
    base::Ring<Event> &m_ring;
    Metrics &m_metrics;
    const std::uint64_t m_exchange;
    const std::uint64_t m_attempt;
    const std::string m_name;
    const std::shared_ptr<http::AnswerMemory::Share> m_memory;
};

bool Desk::dispatch(Exchange &exchange)
{
    const base::Millis now = m_context.clock.now();
    if (const auto refusal = checkKey(exchange)) {
        const bool notRun = exchange.delivery.giveUp() == routing::Decision::FailNotRun;
        endWithError(exchange, notRun ? *refusal : admission::Refusal::OutcomeUnknown,
            "the key or the configuration changed while the request waited",
            notRun ? admission::Execution::NotRun : admission::Execution::Unknown);
        return true;
    }
    if (const auto left = quarantinedFor(exchange)) {
        endQuarantined(exchange, *left);
        return true;
    }
    const Resolved &resolved = exchange.resolved;
    auto known = m_context.upstreams.candidates(now, resolved.target);
    std::erase_if(known, [&exchange](const routing::Candidate &it) {
        return exchange.software && it.software != *exchange.software;
    });
    const auto candidates = selectOpen(now, m_standing, known);
    if (candidates.empty() && !known.empty()) {
        return rejectClosed(now, exchange, known);
    }
    routing::Request request;
    request.model = resolved.target.model;
    request.adapter = resolved.target.adapter;
    request.version = resolved.target.version;
    if (resolved.generation) {
        request.promptTokens = static_cast<std::uint64_t>(resolved.generation->promptTokens);
        request.prefixChain = {resolved.generation->prefixHash};
        request.priority = static_cast<int>(resolved.generation->priority);
    }
    const routing::Choice choice = m_router.begin(now, request, candidates, exchange.delivery.excluded());
    if (choice.kind == routing::ChoiceKind::Wait && now < exchange.deadline) {
        return false;
    }
    const auto place =
        choice.kind == routing::ChoiceKind::Chosen ? m_context.upstreams.placeOf(now, choice.upstream) : std::nullopt;
    // It may have started anew since the candidates were listed.
    const bool isOtherVersion = place && exchange.software && place->software != *exchange.software;
    if (!place || isOtherVersion) {
        m_router.cancelled(choice.attempt);
        m_context.metrics.gaveUp(routing::GIVE_UP_REASON_NAMES.name(routing::GiveUpReason::NoUpstream));
        giveUp(exchange, exchange.delivery.giveUp(), "no upstream serves this at present");
        return true;
    }
    if (exchange.delivery.attempts() == 0) {
        m_retries.request(now, exchange.organisation, choice.upstream);
    }
    exchange.attempt = Attempt{};
    exchange.attempt.id = choice.attempt;
    exchange.attempt.upstream = choice.upstream;
    exchange.attempt.incarnation = place->incarnation;
    exchange.attempt.software = place->software;
    exchange.attempt.sentAt = now;
    send(exchange, place->address);
    return true;
}

bool Desk::rejectClosed(base::Millis now, Exchange &exchange, const std::vector<routing::Candidate> &candidates)
{
    const base::Millis opening = earliestOpening(now, m_standing, candidates);
    if (exchange.streaming && opening < exchange.deadline - now) {
        return false;
    }
    m_context.metrics.gaveUp(routing::GIVE_UP_REASON_NAMES.name(routing::GiveUpReason::Closed));
    const routing::Decision decision = exchange.delivery.giveUp();
    const char *const message = "every upstream of this is closed at present";
    if (decision != routing::Decision::FailNotRun) {
        giveUp(exchange, decision, message);
        return true;
    }
    const base::Millis retryAfter =
        opening == base::NEVER ? DEFAULT_RETRY_DELAY : spreadRetry(std::max(opening, DEFAULT_RETRY_DELAY), exchange.id);
    endWithError(exchange, admission::Refusal::NoUpstream, message, admission::Execution::NotRun, retryAfter);
    return true;
}

void Desk::send(Exchange &exchange, const std::string &address)
{
    Attempt &attempt = exchange.attempt;
    attempt.memory = std::make_shared<http::AnswerMemory::Share>(m_answerMemory);
    exchange.phase = Phase::Running;
    exchange.delivery.start(attempt.id, attempt.upstream);
    {
        const absl::MutexLock lock(&m_mutex);
        ++m_running[{attempt.upstream, exchange.resolved.target}];
    }
    http::Call call = makeCall(exchange, address);
    attempt.freshConnection = call.freshConnection;
    exchange.delivery.sent(attempt.id, call.body.size() + 1);
    attempt.call =
        m_context.client.start(std::move(call), std::make_shared<AttemptListener>(m_ring, m_context.metrics, exchange));
}

http::Call Desk::makeCall(const Exchange &exchange, const std::string &address) const
{
    const http::Request &request = exchange.request;
    http::Call call;
    call.method = request.method;
    const std::string query = http::stripQuery(request.query);
    call.url = "http://" + address + request.path + (query.empty() ? "" : "?" + query);
    call.headers = http::forwardHeaders(request.headers);
    std::erase_if(call.headers, [](const http::Header &it) {
        return http::equalsIgnoringCase(it.name, "X-Request-Id");
    });
    call.headers.push_back({"X-Request-Id", attemptName(exchange)});
    if (!exchange.organisation.empty()) {
        call.headers.push_back({"X-Bamboomoor-Organisation", exchange.organisation});
    }
    call.body = exchange.resolved.generation ? makeBody(exchange) : request.body;
    call.firstByteTimeout = m_options.progressTimeout;
    call.progressTimeout = m_options.progressTimeout;
    // A retry goes over a new connection, and so does a request that may not run twice.
    call.freshConnection =
        !exchange.resolved.idempotent || !exchange.claimKey.empty() || exchange.delivery.attempts() > 1;
    return call;
}

std::string Desk::makeBody(const Exchange &exchange) const
{
    Json body = exchange.resolved.generation->body;
    body["model"] = exchange.resolved.target.model;
    body.erase("max_completion_tokens");
    body["max_tokens"] = exchange.resolved.maxTokens;
    if (!exchange.resolved.target.adapter.empty()) {
        body["adapter"] = exchange.resolved.target.adapter;
    }
    if (exchange.resolved.generation->stream) {
        body["stream_options"] = {{"include_usage", true}};
    }
    if (exchange.delivery.deliveredTokens() > 0) {
        body["resume_from"] = exchange.delivery.deliveredTokens();
    }
    return body.dump(-1, ' ', false, Json::error_handler_t::replace);
}

void Desk::on(AnswerHead &event)
{
    Exchange *exchange = find(event.exchange);
    if (exchange == nullptr || exchange->attempt.id != event.attempt || exchange->phase != Phase::Running) {
        m_context.metrics.dropped("late_answer");
        return;
    }
    exchange->attempt.status = event.status;
    exchange->attempt.headers = std::move(event.headers);
    m_router.firstByte(m_context.clock.now(), event.attempt);
    const Attempt &attempt = exchange->attempt;
    m_guard.onReached(attempt.sentAt, attempt.freshConnection);
    if (isCrossed(attempt.headers, attemptName(*exchange))) {
        m_context.metrics.dropped("crossed_answer");
        failAttempt(*exchange, FailureKind::Malformed);
        return;
    }
    m_guard.onAnswered({attempt.upstream, attempt.incarnation}, attempt.sentAt);
    noteSignal(*exchange);
}

void Desk::noteSignal(const Exchange &exchange)
{
    const base::Millis now = m_context.clock.now();
    const Attempt &attempt = exchange.attempt;
    const standing::UpstreamSignal signal = readSignal(attempt.status, attempt.headers);
    for (const standing::Change it :
        m_standing.onSignal(now, {attempt.upstream, attempt.incarnation}, signal, now, false)) {
        m_context.metrics.upstreamSaid(standing::CHANGE_NAMES.name(it));
        base::LogLine line("upstream_word");
        line.add("id", exchange.requestId).add("upstream", attempt.upstream);
        line.add("change", standing::CHANGE_NAMES.name(it));
        if (signal.closedFor) {
            line.add("closed_ms", std::min(*signal.closedFor, m_options.maxClosure));
        }
        LOG(INFO) << line.text();
    }
}

void Desk::on(AnswerData &event)
{
    Exchange *exchange = find(event.exchange);
    if (exchange == nullptr || exchange->attempt.id != event.attempt || exchange->phase != Phase::Running) {
        m_context.metrics.dropped("late_answer");
        return;
    }
    const bool streamed = exchange->resolved.generation && exchange->resolved.generation->stream;
    if (streamed && exchange->attempt.status == HTTP_OK) {
        relay(*exchange, event);
    } else {
        exchange->attempt.body += event.bytes;
    }
}

void Desk::relay(Exchange &exchange, const AnswerData &event)
{
    const std::uint64_t id = exchange.id;
    const std::uint64_t attempt = exchange.attempt.id;
    if (const auto failure = judgeAnswer(exchange)) {
        m_context.client.cancel(exchange.attempt.call);
        failAttempt(exchange, *failure);
        return;
    }
    const std::vector<std::string> events = exchange.attempt.parser.feed(event.bytes);
    const std::size_t parsing = exchange.attempt.parser.pending();
    event.memory->release(exchange.attempt.parsing + event.bytes.size() - parsing);
    exchange.attempt.parsing = parsing;
    for (const std::string &data : events) {
        relayEvent(exchange, data);
        if (find(id) == nullptr || exchange.attempt.id != attempt || exchange.phase != Phase::Running) {
            return;
        }
    }
    if (exchange.attempt.parser.failed()) {
        m_context.client.cancel(exchange.attempt.call);
        failAttempt(exchange, FailureKind::Malformed);
    }
}

void Desk::relayEvent(Exchange &exchange, const std::string &data)
{
    if (data == http::SSE_DONE) {
        exchange.attempt.sawDone = true;
        return;
    }
    const auto progress = readProgress(data);
    if (!progress || exchange.attempt.sawDone) {
        m_context.client.cancel(exchange.attempt.call);
        failAttempt(exchange, FailureKind::Malformed);
        return;
    }
    if (++exchange.attempt.events == quarantine::SURVIVED_EVENTS) {
        noteSurvival(exchange);
    }
    if (progress->promptTokens || progress->completionTokens) {
        exchange.usedTokens = progress->promptTokens.value_or(exchange.resolved.generation->promptTokens)
            + std::max(progress->completionTokens.value_or(0), exchange.generatedTokens + progress->tokens);
    }
    Json chunk = base::parseJson(data);
    const bool onlyUsage = chunk.contains("choices") && chunk["choices"].empty();
    if (onlyUsage && !exchange.resolved.generation->includeUsage) {
        return;
    }
    beginStream(exchange);
    if (chunk.contains("id") && chunk["id"].is_string()) {
        // All chunks of one stream carry the same id, also after a resume.
        exchange.streamId = exchange.streamId.empty() ? chunk["id"].get<std::string>() : exchange.streamId;
        chunk["id"] = exchange.streamId;
    }
    const std::string text = "data: " + chunk.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n\n";
    exchange.delivery.delivered(exchange.attempt.id, static_cast<std::uint64_t>(progress->tokens), text.size());
    countToken(exchange, progress->tokens);
    if (!exchange.responder->write(text)) {
        cancelAttempt(exchange);
        endWithError(
            exchange, admission::Refusal::Cancelled, "the caller stopped reading", admission::Execution::Unknown);
    }
}

void Desk::beginStream(Exchange &exchange)
{
    if (exchange.streaming) {
        return;
    }
    exchange.streaming = true;
    exchange.software = exchange.attempt.software;
    exchange.responder->begin(HTTP_OK,
        {{"Content-Type", "text/event-stream"}, {"Cache-Control", "no-cache"}, {"X-Request-Id", exchange.requestId}});
}

void Desk::countToken(Exchange &exchange, std::int64_t tokens)
{
    if (tokens == 0) {
        return;
    }
    const base::Millis now = m_context.clock.now();
    if (exchange.generatedTokens == 0) {
        m_context.metrics.firstToken(now - exchange.arrivedAt);
    } else {
        m_context.metrics.betweenTokens(now - exchange.lastTokenAt);
    }
    exchange.lastTokenAt = now;
    exchange.generatedTokens += tokens;
}

std::optional<FailureKind> Desk::judgeAnswer(Exchange &exchange) const
{
    const Attempt &attempt = exchange.attempt;
    // A model worker answers 404 if the replica was unloaded meanwhile.
    const bool isUnloaded = exchange.resolved.generation && attempt.status == HTTP_NOT_FOUND;
    if (isUnloaded || (attempt.status >= HTTP_BAD_REQUEST && saysNotRun(attempt.body))) {
        // A pooled connection may deliver a late copy of an earlier refusal, which only the echoed id tells apart.
        const bool isOwn = attempt.freshConnection || http::findHeader(attempt.headers, "X-Request-Id") != nullptr;
        if (!isOwn) {
            m_context.metrics.dropped("unidentified_refusal");
        }
        return isOwn ? FailureKind::UpstreamNotRun : FailureKind::Malformed;
    }
    if (!exchange.resolved.generation) {
        return std::nullopt;
    }
    // Nothing but events may follow the beginning of a stream.
    if (attempt.status >= HTTP_SERVER_ERROR || (exchange.streaming && attempt.status != HTTP_OK)) {
        return FailureKind::UpstreamError;
    }
    if (attempt.status != HTTP_OK || exchange.resolved.generation->stream) {
        return std::nullopt;
    }
    const auto progress = readProgress(attempt.body);
    if (!progress) {
        return FailureKind::Malformed;
    }
    exchange.usedTokens = progress->promptTokens.value_or(exchange.resolved.generation->promptTokens)
        + progress->completionTokens.value_or(exchange.resolved.maxTokens);
    return std::nullopt;
}

void Desk::on(AnswerEnd &event)
{
    Exchange *exchange = find(event.exchange);
    if (exchange == nullptr || exchange->attempt.id != event.attempt || exchange->phase != Phase::Running) {
        m_context.metrics.dropped("late_answer");
        return;
    }
    if (event.ending.kind != http::EndKind::Complete) {
        if (!event.ending.bytesSent) {
            exchange->delivery.nothingSent(event.attempt);
            if (failureOf(event.ending) == FailureKind::SentNothing) {
                m_context.metrics.dropped("unsent_attempt");
            }
        }
        failAttempt(*exchange, failureOf(event.ending));
        return;
    }
    if (!event.ending.delimited) {
        failAttempt(*exchange, FailureKind::Truncated);
        return;
    }
    const bool streamed = exchange->resolved.generation && exchange->resolved.generation->stream;
    if (streamed && exchange->attempt.status == HTTP_OK) {
        endStream(*exchange);
    } else {
        endWhole(*exchange);
    }
}

void Desk::endStream(Exchange &exchange)
{
    if (!exchange.attempt.sawDone || !exchange.attempt.parser.atBoundary()) {
        failAttempt(exchange, FailureKind::Truncated);
        return;
    }
    noteSurvival(exchange);
    exchange.delivery.finished(exchange.attempt.id);
    cancelAttempt(exchange);
    beginStream(exchange);
    exchange.responder->write("data: [DONE]\n\n");
    exchange.responder->end();
    m_context.metrics.answered("generation");
    const std::int64_t prompt = exchange.resolved.generation->promptTokens;
    settle(exchange, exchange.usedTokens.value_or(prompt + exchange.generatedTokens));
    finish(exchange);
}

void Desk::endWhole(Exchange &exchange)
{
    if (const auto failure = judgeAnswer(exchange)) {
        failAttempt(exchange, *failure);
        return;
    }
    if (exchange.attempt.status >= HTTP_OK && exchange.attempt.status < HTTP_REDIRECT) {
        noteSurvival(exchange);
    }
    exchange.delivery.finished(exchange.attempt.id);
    const bool generation = exchange.resolved.generation.has_value();
    http::Response answer{exchange.attempt.status, answerHeaders(exchange.attempt.headers, exchange.requestId),
        std::move(exchange.attempt.body)};
    cancelAttempt(exchange);
    m_context.metrics.answered(generation ? "generation" : "service");
    if (generation && answer.status == HTTP_OK) {
        m_context.metrics.firstToken(m_context.clock.now() - exchange.arrivedAt);
    }
    if (generation && answer.status != HTTP_OK) {
        exchange.usedTokens = 0;
    }
    if (exchange.claimId != 0) {
        storeAnswer(exchange, std::move(answer));
        return;
    }
    exchange.responder->respond(std::move(answer));
    settle(exchange, exchange.usedTokens.value_or(exchange.resolved.cost));
    finish(exchange);
}

void Desk::cancelAttempt(Exchange &exchange)
{
    Attempt &attempt = exchange.attempt;
    if (attempt.id == 0) {
        return;
    }
    {
        const absl::MutexLock lock(&m_mutex);
        const auto it = m_running.find({attempt.upstream, exchange.resolved.target});
        if (it != m_running.end() && --it->second == 0) {
            m_running.erase(it);
        }
    }
    const base::Millis now = m_context.clock.now();
    if (exchange.delivery.isOver()) {
        m_router.done(now, attempt.id);
    } else {
        m_router.cancelled(attempt.id);
        m_context.client.cancel(attempt.call);
    }
    attempt.id = 0;
}

void Desk::failAttempt(Exchange &exchange, FailureKind failure)
{
    const base::Millis now = m_context.clock.now();
    const std::uint64_t attempt = exchange.attempt.id;
    const std::string upstream = exchange.attempt.upstream;
    m_router.failed(now, attempt);
    noteFailure(exchange, failure);
    const bool inTime = now < exchange.deadline;
    const auto verdict = inTime && !exchange.callerGone ? m_retries.takeRetry(now, exchange.organisation, upstream)
                                                        : routing::RetryBudgetResult::OrganisationExhausted;
    const auto decision = exchange.delivery.failed(attempt, failure, verdict == routing::RetryBudgetResult::Allowed);
    cancelAttempt(exchange);
    if (!decision) {
        return;
    }
    if (*decision == routing::Decision::Retry || *decision == routing::Decision::Resume) {
        m_context.metrics.retried(routing::RETRY_REASON_NAMES.name(failure));
        exchange.phase = Phase::BackingOff;
        exchange.resumeAt = now + m_backoff.delay(exchange.delivery.attempts());
        return;
    }
    m_context.metrics.gaveUp(!inTime                         ? "deadline"
            : verdict != routing::RetryBudgetResult::Allowed ? routing::RETRY_BUDGET_RESULT_NAMES.name(verdict)
                                                             : "not_repeatable");
    giveUp(exchange, *decision,
        "the attempt at the upstream failed: " + std::string(routing::FAILURE_KIND_NAMES.name(failure)));
}

void Desk::giveUp(Exchange &exchange, routing::Decision decision, const std::string &message)
{
    using admission::Refusal;
    if (decision == routing::Decision::FailNotRun) {
        const bool tried = exchange.delivery.attempts() > 0;
        endWithError(
            exchange, tried ? Refusal::UpstreamFailed : Refusal::NoUpstream, message, admission::Execution::NotRun);
        return;
    }
    const bool ran = decision == routing::Decision::FailRun;
    endWithError(exchange, ran ? Refusal::UpstreamFailed : Refusal::OutcomeUnknown, message,
        ran ? admission::Execution::Run : admission::Execution::Unknown);
}

} // namespace bamboomoor::entry
