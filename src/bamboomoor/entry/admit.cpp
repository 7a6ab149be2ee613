/**
 * The entry's thread: claims, budget and queue.
 */
#include "bamboomoor/base/digest.hpp"
#include "bamboomoor/control/budgetwire.hpp"
#include "bamboomoor/entry/desk.hpp"
#include "bamboomoor/entry/upstreamaccess.hpp"

#include <algorithm>
#include <utility>

namespace bamboomoor::entry
{

namespace
{

constexpr base::Millis CLAIM_DEADLINE{4'000};
constexpr base::Millis STORE_DEADLINE{10'000};
constexpr base::Millis RELEASE_DEADLINE{60'000};
constexpr base::Millis CLAIM_CALL_TIMEOUT{1'000};
constexpr base::Millis CLAIM_RETRY_DELAY{50};
constexpr base::Millis ASK_TIMEOUT{500};
// Without an answer for this time a refusal says nothing about the rate.
constexpr base::Millis BUDGET_SILENCE{1'000};

std::string digestOf(const http::Request &request)
{
    return base::sha256(request.method + '\n' + request.path + '?' + request.query + '\n' + request.body);
}

} // namespace

void Desk::claim(Exchange &exchange)
{
    exchange.phase = Phase::Claiming;
    state::OpenClaim command;
    command.organisation = exchange.organisation;
    command.key = exchange.claimKey;
    command.requestDigest = digestOf(exchange.request);
    command.vm = m_options.vm;
    command.incarnation = m_options.incarnation;
    command.attempt = exchange.requestId;
    command.wallMillis = base::wallClock().count;
    command.expiresMillis = command.wallMillis + exchange.resolved.retention.count;
    const state::ReleaseClaim undo{exchange.organisation, exchange.claimKey, m_options.vm, exchange.requestId, false};
    proposeClaim({exchange.id, state::encode(command), exchange.arrivedAt + CLAIM_DEADLINE, state::encode(undo)});
}

void Desk::proposeClaim(ClaimTry attempt)
{
    const std::string voter = m_context.leader.get();
    peer::wire::ProposeRequest request;
    request.set_command(attempt.payload);
    m_context.peers.find(voter)->call(
        request, CLAIM_CALL_TIMEOUT, [this, voter, attempt](const std::optional<peer::wire::ProposeReply> &reply) {
            ClaimReplied event{attempt, std::nullopt, false};
            if (reply && !reply->leader().empty()) {
                m_context.leader.learn(reply->leader());
            } else if (!reply || reply->verdict() == peer::wire::NOT_LEADER) {
                m_context.leader.skip(voter);
            }
            if (reply && reply->verdict() == peer::wire::APPLIED) {
                const auto outcome = state::decodeOutcome(reply->outcome());
                event.applied = outcome.has_value();
                if (outcome && std::holds_alternative<state::ClaimOutcome>(outcome.value())) {
                    event.outcome = std::get<state::ClaimOutcome>(outcome.value());
                }
            }
            m_ring.deliver(std::move(event));
        });
}

void Desk::abandonEarlier()
{
    // Whether an earlier process of this daemon had its open requests run will never be told by it.
    const state::AbandonClaims command{m_options.vm, m_options.incarnation - 1};
    proposeClaim({0, state::encode(command), base::NEVER});
}

void Desk::retryClaims(base::Millis now)
{
    std::vector<ClaimTry> due;
    std::erase_if(m_claimRetries, [&](const ClaimRetry &it) {
        if (it.at <= now) {
            due.push_back(it.again);
        }
        return it.at <= now;
    });
    for (ClaimTry &it : due) {
        proposeClaim(std::move(it));
    }
}

void Desk::on(ClaimReplied &event)
{
    const base::Millis now = m_context.clock.now();
    Exchange *exchange = find(event.sent.exchange);
    if (exchange == nullptr && !event.sent.undo.empty()) {
        // The release that its end sent may have come before the claim was open.
        proposeClaim({0, std::move(event.sent.undo), now + RELEASE_DEADLINE});
        return;
    }
    if (!event.applied && now < event.sent.deadline) {
        m_claimRetries.push_back({now + CLAIM_RETRY_DELAY, std::move(event.sent)});
        return;
    }
    if (exchange == nullptr) {
        return;
    }
    if (exchange->phase == Phase::Storing) {
        // Without an outcome the answer may not be stored; the caller has it all the same.
        giveAnswer(*exchange);
        return;
    }
    if (!event.outcome) {
        // The claim may be open; it is released so that a resend can run.
        refuse(*exchange, admission::Refusal::NotFresh, "the claim could not be committed in time");
        return;
    }
    opened(*exchange, *event.outcome);
}

void Desk::opened(Exchange &exchange, const state::ClaimOutcome &outcome)
{
    using admission::Refusal;
    using state::ClaimCode;
    const auto end = [&](Refusal refusal, const char *message, admission::Execution ran) {
        exchange.claimKey.clear();
        refuse(exchange, refusal, message, ran);
    };
    switch (outcome.code) {
    case ClaimCode::Opened:
        exchange.claimId = outcome.claimId;
        admit(exchange);
        return;
    case ClaimCode::Stored:
        answerStored(exchange, outcome.response.value());
        return;
    case ClaimCode::AlreadyOpen:
        end(Refusal::InProgress, "the first request with this Idempotency-Key is in progress",
            admission::Execution::Unknown);
        return;
    case ClaimCode::Unknown:
        end(Refusal::OutcomeUnknown, "whether the first request with this Idempotency-Key ran is not known",
            admission::Execution::Unknown);
        return;
    case ClaimCode::DifferentRequest:
        end(Refusal::IdempotencyMismatch, "this Idempotency-Key was used for another request",
            admission::Execution::NotRun);
        return;
    case ClaimCode::Full:
    case ClaimCode::Finished:
    case ClaimCode::NotOpen:
        end(Refusal::QueueFull, "no further claim can be opened", admission::Execution::NotRun);
        return;
    }
}

void Desk::answerStored(Exchange &exchange, const state::StoredResponse &answer)
{
    if (answer.tooLarge) {
        exchange.claimKey.clear();
        refuse(exchange, admission::Refusal::UpstreamFailed,
            "the request ran once with status " + std::to_string(answer.status) + "; its answer was not kept",
            admission::Execution::Run);
        return;
    }
    m_context.metrics.answered("stored");
    http::Response response{static_cast<int>(answer.status), {}, answer.body};
    for (const state::Header &it : answer.headers) {
        response.headers.push_back({it.name, it.value});
    }
    response.headers.push_back({"Idempotent-Replayed", "true"});
    response.headers.push_back({"X-Request-Id", exchange.requestId});
    exchange.responder->respond(std::move(response));
    finish(exchange);
}

void Desk::releaseClaim(Exchange &exchange, bool mayHaveRun)
{
    if (exchange.claimKey.empty()) {
        return;
    }
    const state::ReleaseClaim command{
        exchange.organisation, exchange.claimKey, m_options.vm, exchange.requestId, mayHaveRun};
    proposeClaim({0, state::encode(command), m_context.clock.now() + RELEASE_DEADLINE});
}

void Desk::storeAnswer(Exchange &exchange, http::Response answer)
{
    exchange.phase = Phase::Storing;
    state::FinishClaim command;
    command.organisation = exchange.organisation;
    command.key = exchange.claimKey;
    command.claimId = exchange.claimId;
    command.status = answer.status;
    command.body = answer.body;
    for (const http::Header &it : answer.headers) {
        if (!http::equalsIgnoringCase(it.name, "X-Request-Id")) {
            command.headers.push_back({it.name, it.value});
        }
    }
    exchange.answer = std::move(answer);
    proposeClaim({exchange.id, state::encode(command), m_context.clock.now() + STORE_DEADLINE});
}

void Desk::giveAnswer(Exchange &exchange)
{
    exchange.responder->respond(*std::move(exchange.answer));
    settle(exchange, exchange.usedTokens.value_or(exchange.resolved.cost));
    finish(exchange);
}

void Desk::admit(Exchange &exchange)
{
    // Asked behind the claim, as an answer that is stored is given all the same.
    if (const auto left = quarantinedFor(exchange)) {
        exchange.phase = Phase::BackingOff;
        endQuarantined(exchange, *left);
        return;
    }
    if (exchange.organisation.empty()) {
        enqueue(exchange);
        return;
    }
    exchange.phase = Phase::Budgeting;
    const base::Millis now = m_context.clock.now();
    const budget::Admission admission = m_holder.admit(now, exchange.organisation, exchange.resolved.cost);
    exchange.reservation = admission.reservation;
    m_byReservation[admission.reservation] = exchange.id;
    decided(exchange, admission);
}

void Desk::decided(Exchange &exchange, const budget::Admission &admission)
{
    if (admission.decision == budget::AdmissionDecision::Waiting) {
        return;
    }
    if (admission.decision == budget::AdmissionDecision::Admitted) {
        enqueue(exchange);
        return;
    }
    m_byReservation.erase(exchange.reservation);
    exchange.reservation = 0;
    if (!admission.isDecided || m_context.clock.now() - m_budgetHeardAt > BUDGET_SILENCE) {
        refuse(exchange, admission::Refusal::Overloaded, "the budget's authority did not decide in time");
        return;
    }
    const bool never = admission.retryAfter == base::NEVER;
    refuse(exchange, admission::Refusal::RateExceeded,
        never ? "the request may cost more tokens than the organisation's burst" : "the organisation's rate is used up",
        admission::Execution::NotRun, never ? base::Millis{60'000} : admission.retryAfter);
}

void Desk::decidedAll(const std::vector<budget::Admission> &admissions)
{
    for (const budget::Admission &it : admissions) {
        const auto id = m_byReservation.find(it.reservation);
        Exchange *exchange = id == m_byReservation.end() ? nullptr : find(id->second);
        if (exchange != nullptr && exchange->phase == Phase::Budgeting) {
            decided(*exchange, it);
        }
    }
}

void Desk::on(BudgetReplied &event)
{
    m_budgetHeardAt = m_context.clock.now();
    decidedAll(m_holder.onReply(m_context.clock.now(), event.reply));
}

void Desk::sendAsk()
{
    const auto ask = m_holder.takeRequest(m_context.clock.now());
    if (!ask) {
        return;
    }
    const std::string voter = m_context.leader.get();
    m_context.peers.find(voter)->call(
        control::toWire(*ask), ASK_TIMEOUT, [this, voter](const std::optional<peer::wire::BudgetReply> &reply) {
            if (reply && reply->served()) {
                m_ring.deliver(BudgetReplied{control::fromWire(*reply)});
            } else if (reply && !reply->leader().empty()) {
                m_context.leader.learn(reply->leader());
            } else {
                m_context.leader.skip(voter);
            }
        });
}

void Desk::settle(Exchange &exchange, std::int64_t actual)
{
    if (exchange.reservation != 0) {
        m_holder.settle(m_context.clock.now(), exchange.reservation, actual);
        m_byReservation.erase(exchange.reservation);
        exchange.reservation = 0;
    }
}

void Desk::enqueue(Exchange &exchange)
{
    const Target &target = exchange.resolved.target;
    {
        const absl::MutexLock lock(&m_mutex);
        ++m_demand[target].requests;
    }
    if (m_queued >= m_options.queueLimit) {
        refuse(exchange, admission::Refusal::QueueFull, "too many requests wait");
        return;
    }
    const int priority = exchange.resolved.generation ? static_cast<int>(exchange.resolved.generation->priority) : 0;
    const auto queued = queueOf(target).push(m_context.clock.now(),
        {.id = exchange.id,
            .organisation = exchange.organisation,
            .cost = exchange.resolved.cost,
            .deadline = exchange.deadline,
            .priority = priority});
    if (!queued) {
        refuse(exchange, queued.error(), "the request cannot wait for an upstream");
        return;
    }
    exchange.phase = Phase::Queued;
    ++m_queued;
}

admission::FairQueue &Desk::queueOf(const Target &target)
{
    return m_queues.try_emplace(target, admission::FairQueueOptions{}).first->second;
}

void Desk::pump()
{
    std::vector<Target> targets;
    for (const auto &[target, queue] : m_queues) {
        targets.push_back(target);
    }
    for (const Target &target : targets) {
        while (pumpTarget(target)) { }
        if (m_queues.at(target).size() == 0) {
            m_queues.erase(target);
        }
    }
}

bool Desk::pumpTarget(const Target &target)
{
    admission::FairQueue &queue = m_queues.at(target);
    if (queue.size() == 0) {
        return false;
    }
    const base::Millis now = m_context.clock.now();
    // With all of them closed nothing waits, so that callers are refused at once.
    const auto candidates = selectOpen(now, m_standing, m_context.upstreams.candidates(now, target));
    const bool room = candidates.empty() || std::any_of(candidates.begin(), candidates.end(), [this](const auto &it) {
        return m_router.load(it.upstream).inFlight < m_options.engineDepth;
    });
    if (!room) {
        return false;
    }
    const auto item = queue.pop(now);
    if (!item) {
        return false;
    }
    --m_queued;
    if (Exchange *exchange = find(item->id)) {
        exchange->phase = Phase::BackingOff;
        exchange->resumeAt = now;
        static_cast<void>(dispatch(*exchange));
    }
    return true;
}

} // namespace bamboomoor::entry
