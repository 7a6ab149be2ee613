/**
 * The entry's thread: its loop, the arrival of requests, and refusals.
 */
#include "bamboomoor/entry/desk.hpp"
#include "bamboomoor/base/digest.hpp"
#include "bamboomoor/entry/errors.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace bamboomoor::entry
{

namespace
{

constexpr base::Millis BUSY_TICK{5};
constexpr base::Millis IDLE_TICK{50};
// Longer than the election of another authority.
constexpr base::Millis BUDGET_PATIENCE{4'000};
constexpr base::Millis LISTING_INTERVAL{200};
constexpr std::size_t MAX_EVENTS_PER_PUMP = 256;
constexpr std::string_view BEARER = "Bearer ";

std::string bearerKey(const http::Request &request)
{
    const std::string_view value = request.header("Authorization");
    if (value.size() <= BEARER.size() || !http::equalsIgnoringCase(value.substr(0, BEARER.size()), BEARER)) {
        return {};
    }
    return std::string(value.substr(BEARER.size()));
}

/** @brief Tells whether a key would reach an upstream by another way than its header. */
bool repeatsKey(const http::Request &request, const std::string &key)
{
    const auto holds = [&key](std::string_view text) {
        return text.find(key) != std::string_view::npos;
    };
    const bool inHeader = std::any_of(request.headers.begin(), request.headers.end(), [&](const http::Header &it) {
        return !http::equalsIgnoringCase(it.name, "Authorization") && holds(it.value);
    });
    return inHeader || holds(request.path) || holds(request.query) || holds(request.body);
}

routing::RouterOptions routerOptions(const DeskOptions &options)
{
    routing::RouterOptions router;
    router.engineDepth = options.engineDepth;
    return router;
}

standing::UpstreamTrackerOptions trackerOptions(const DeskOptions &options)
{
    standing::UpstreamTrackerOptions tracker;
    tracker.maxClosure = options.maxClosure;
    return tracker;
}

budget::HolderOptions holderOptions(const DeskOptions &options)
{
    budget::HolderOptions holder;
    holder.name = options.vm;
    holder.incarnation = options.incarnation;
    holder.driftPermille = options.driftPermille;
    holder.waitTimeout = BUDGET_PATIENCE;
    return holder;
}

http::Response listModels(const Configuration &configuration)
{
    auto data = nlohmann::json::array();
    for (const config::Model &it : configuration.document.models) {
        data.push_back({{"id", it.name}, {"object", "model"}, {"owned_by", "bamboomoor"}});
    }
    for (const config::Adapter &it : configuration.document.adapters) {
        data.push_back({{"id", it.name}, {"object", "model"}, {"owned_by", "bamboomoor"}, {"parent", it.model}});
    }
    const nlohmann::json body{{"object", "list"}, {"data", std::move(data)}};
    return {200, {{"Content-Type", "application/json"}}, body.dump()};
}

} // namespace

Desk::Desk(DeskOptions options, DeskContext context)
    : m_options(std::move(options))
    , m_context(context)
    , m_answerMemory(m_options.maxAnswerBytes, m_options.maxHeldBytes)
    , m_ring(m_options.ringSize)
    , m_holder(holderOptions(m_options))
    , m_router(routing::makePolicy(routing::PolicyKind::TimeToFirstToken, m_options.seed), routerOptions(m_options))
    , m_standing(trackerOptions(m_options))
    , m_backoff(m_options.seed)
{
}

Desk::~Desk()
{
    stop();
}

void Desk::start()
{
    m_thread = std::thread([this] {
        run();
    });
}

void Desk::stop()
{
    m_stopping = true;
    m_ring.close();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void Desk::handle(http::Request request, const std::shared_ptr<http::Responder> &responder)
{
    ++m_inProgress;
    if (!m_ring.push(Arrived{std::move(request), responder})) {
        --m_inProgress;
        m_context.metrics.refused(admission::REFUSAL_NAMES.name(admission::Refusal::Overloaded));
        responder->respond(
            errorResponse({admission::Refusal::Overloaded, "the entry is overloaded", admission::Execution::NotRun}));
    }
}

void Desk::configurationChanged()
{
    // One is enough, as the version in force is read when it is taken.
    if (!m_changePending.exchange(true)) {
        m_ring.deliver(ConfigurationChanged{});
    }
}

void Desk::run()
{
    abandonEarlier();
    while (!m_stopping) {
        const base::Millis now = m_context.clock.now();
        auto event = m_ring.pop(std::max(m_nextTick - now, base::Millis{0}));
        for (std::size_t n = 0; event && n < MAX_EVENTS_PER_PUMP; ++n) {
            take(*std::move(event));
            event = m_ring.pop({0});
        }
        if (event) {
            take(*std::move(event));
        }
        if (m_context.clock.now() >= m_nextTick) {
            tick();
        }
        pump();
        sendAsk();
    }
    finishAll();
}

void Desk::finishAll()
{
    // What waits in the closed ring may be the answer to a request, or a request that has none.
    while (auto event = m_ring.pop({0})) {
        if (auto *arrived = std::get_if<Arrived>(&*event)) {
            m_context.metrics.refused(admission::REFUSAL_NAMES.name(admission::Refusal::Draining));
            arrived->responder->respond(
                errorResponse({admission::Refusal::Draining, "the entry stops", admission::Execution::NotRun}));
            --m_inProgress;
        } else {
            take(*std::move(event));
        }
    }
    retryClaims(base::NEVER);
    std::vector<std::uint64_t> rest;
    for (const auto &[id, exchange] : m_exchanges) {
        rest.push_back(id);
    }
    for (const std::uint64_t id : rest) {
        Exchange &exchange = *m_exchanges.at(id);
        if (exchange.phase == Phase::Storing) {
            // Takes effect only where the answer is not stored: a resend then learns that the outcome is unknown.
            releaseClaim(exchange, true);
            giveAnswer(exchange);
            continue;
        }
        const bool sent = exchange.delivery.attempts() > 0;
        cancelAttempt(exchange);
        endWithError(exchange, sent ? admission::Refusal::OutcomeUnknown : admission::Refusal::Draining,
            "the entry stops", sent ? admission::Execution::Unknown : admission::Execution::NotRun);
    }
}

void Desk::take(Event event)
{
    std::visit(
        [this](auto &it) {
            on(it);
        },
        event);
}

Exchange *Desk::find(std::uint64_t id)
{
    const auto it = m_exchanges.find(id);
    return it == m_exchanges.end() ? nullptr : it->second.get();
}

void Desk::on(Arrived &event)
{
    const std::uint64_t id = ++m_lastExchange;
    Exchange &exchange = *m_exchanges.emplace(id, std::make_unique<Exchange>()).first->second;
    exchange.id = id;
    exchange.requestId = m_options.vm + '-' + std::to_string(m_options.incarnation) + '-' + std::to_string(id);
    exchange.request = std::move(event.request);
    exchange.responder = std::move(event.responder);
    exchange.arrivedAt = m_context.clock.now();
    const auto configuration = m_context.inForce.current();
    if (!authorize(exchange, configuration.get())) {
        return;
    }
    exchange.deadline = exchange.arrivedAt + configuration->document.limits.queueDeadline;
    exchange.delivery = routing::Delivery({.idempotent = exchange.resolved.idempotent,
        .claimed = !exchange.claimKey.empty(),
        .generation = exchange.resolved.generation.has_value()});
    exchange.responder->onGone([this, id] {
        m_ring.deliver(CallerGone{id});
    });
    if (exchange.claimKey.empty()) {
        admit(exchange);
    } else {
        claim(exchange);
    }
}

bool Desk::authorize(Exchange &exchange, const Configuration *configuration)
{
    using admission::Refusal;
    if (configuration == nullptr) {
        refuse(exchange, Refusal::NotFresh, "no configuration is known yet");
        return false;
    }
    const std::string key = bearerKey(exchange.request);
    const std::string hash = key.empty() ? std::string() : base::sha256(key);
    const auto owner = configuration->organisationByKey.find(hash);
    const bool models = exchange.request.path == "/v1/models" && exchange.request.method == "GET";
    auto resolved =
        models ? base::Result<Resolved, Unresolved>(Resolved{}) : resolve(configuration->document, exchange.request);
    const bool open = resolved && resolved.value().open;
    if (!open && m_context.clock.now() >= m_context.inForce.freshUntil()) {
        refuse(exchange, Refusal::NotFresh, "this entry cannot confirm the configuration in force");
        return false;
    }
    if (!open && owner == configuration->organisationByKey.end()) {
        refuse(exchange, Refusal::InvalidKey, "the key is unknown, withdrawn or missing");
        return false;
    }
    if (!key.empty() && repeatsKey(exchange.request, key)) {
        refuse(exchange, Refusal::KeyInBody, "the key belongs into the Authorization header only");
        return false;
    }
    if (!resolved) {
        refuse(exchange, resolved.error().refusal, resolved.error().message);
        return false;
    }
    if (models) {
        m_context.metrics.answered("models");
        http::Response response = listModels(*configuration);
        response.headers.push_back({"X-Request-Id", exchange.requestId});
        exchange.responder->respond(std::move(response));
        finish(exchange);
        return false;
    }
    exchange.resolved = std::move(resolved.value());
    if (!open) {
        exchange.organisation = owner->second;
        exchange.keyHash = hash;
        exchange.claimKey = std::string(exchange.request.header("Idempotency-Key"));
    }
    if (!exchange.claimKey.empty() && exchange.resolved.generation && exchange.resolved.generation->stream) {
        refuse(exchange, Refusal::MalformedRequest, "Idempotency-Key goes with whole answers only");
        return false;
    }
    return true;
}

std::optional<admission::Refusal> Desk::checkKey(const Exchange &exchange) const
{
    if (exchange.keyHash.empty()) {
        return std::nullopt;
    }
    const auto configuration = m_context.inForce.current();
    const auto owner = configuration->organisationByKey.find(exchange.keyHash);
    if (owner == configuration->organisationByKey.end() || owner->second != exchange.organisation) {
        return admission::Refusal::KeyWithdrawn;
    }
    if (m_context.clock.now() >= m_context.inForce.freshUntil()) {
        return admission::Refusal::NotFresh;
    }
    return std::nullopt;
}

void Desk::on(CallerGone &event)
{
    Exchange *exchange = find(event.exchange);
    if (exchange == nullptr) {
        return;
    }
    exchange->callerGone = true;
    // A call to a plain service that was sent is let finish, so that its outcome is known.
    const bool sent = exchange->phase == Phase::Running || exchange->phase == Phase::Storing;
    const bool claiming = exchange->phase == Phase::Claiming;
    if (claiming || (sent && !exchange->resolved.generation) || (sent && exchange->claimId != 0)) {
        return;
    }
    cancelAttempt(*exchange);
    endWithError(*exchange, admission::Refusal::Cancelled, "the caller disconnected", admission::Execution::Unknown);
}

void Desk::on(ConfigurationChanged & /*event*/)
{
    m_changePending = false;
    std::vector<std::uint64_t> withdrawn;
    for (const auto &[id, exchange] : m_exchanges) {
        if (checkKey(*exchange) == admission::Refusal::KeyWithdrawn) {
            withdrawn.push_back(id);
        }
    }
    for (const std::uint64_t id : withdrawn) {
        Exchange &exchange = *m_exchanges.at(id);
        const bool sent = exchange.phase == Phase::Running || exchange.phase == Phase::Storing;
        if (!sent) {
            const bool notRun = exchange.delivery.giveUp() == routing::Decision::FailNotRun;
            endWithError(exchange, admission::Refusal::KeyWithdrawn, "the key was withdrawn",
                notRun ? admission::Execution::NotRun : admission::Execution::Unknown);
        } else if (exchange.resolved.generation && exchange.claimId == 0) {
            cancelAttempt(exchange);
            endWithError(
                exchange, admission::Refusal::KeyWithdrawn, "the key was withdrawn", admission::Execution::Unknown);
        }
    }
}

void Desk::tick()
{
    const base::Millis now = m_context.clock.now();
    m_nextTick = now + (m_exchanges.empty() ? IDLE_TICK : BUSY_TICK);
    decidedAll(m_holder.tick(now));
    retryClaims(now);
    reviewLate();
    reviewQuarantine();
    if (now >= m_nextListing) {
        m_nextListing = now + LISTING_INTERVAL;
        m_standing.setListed(m_context.upstreams.runs(now));
    }
    m_retries.prune(now);
    m_context.metrics.fill(m_ring.size(), m_queued);
    const absl::MutexLock lock(&m_mutex);
    for (const auto &[target, queue] : m_queues) {
        m_demand[target].queued = queue.size();
    }
}

void Desk::reviewLate()
{
    const base::Millis now = m_context.clock.now();
    for (auto &[target, queue] : m_queues) {
        for (const admission::Item &item : queue.expire(now)) {
            if (Exchange *exchange = find(item.id)) {
                --m_queued;
                exchange->phase = Phase::BackingOff;
                refuse(*exchange, admission::Refusal::DeadlineUnmeetable, "no upstream was free before the deadline");
            }
        }
    }
    std::vector<std::uint64_t> due;
    for (const auto &[id, exchange] : m_exchanges) {
        if (exchange->phase == Phase::BackingOff && now >= exchange->resumeAt) {
            due.push_back(id);
        }
    }
    for (const std::uint64_t id : due) {
        Exchange *exchange = find(id);
        if (exchange != nullptr && !dispatch(*exchange)) {
            exchange->resumeAt = now + BUSY_TICK;
        }
    }
}

void Desk::refuse(Exchange &exchange, admission::Refusal refusal, const std::string &message, admission::Execution ran,
    base::Millis retryAfter)
{
    m_context.metrics.refused(admission::REFUSAL_NAMES.name(refusal));
    http::Response response = errorResponse({refusal, message, ran}, retryAfter);
    response.headers.push_back({"X-Request-Id", exchange.requestId});
    exchange.responder->respond(std::move(response));
    settle(exchange, 0);
    if (ran == admission::Execution::NotRun) {
        releaseClaim(exchange, false);
    }
    finish(exchange);
}

void Desk::endWithError(Exchange &exchange, admission::Refusal refusal, const std::string &message,
    admission::Execution ran, base::Millis retryAfter)
{
    if (exchange.phase == Phase::Queued) {
        m_queues.at(exchange.resolved.target).cancel(exchange.id);
        --m_queued;
    }
    if (exchange.phase == Phase::Budgeting) {
        m_holder.cancel(exchange.reservation);
    }
    if (!exchange.streaming && ran == admission::Execution::NotRun) {
        refuse(exchange, refusal, message, ran, retryAfter);
        return;
    }
    m_context.metrics.refused(admission::REFUSAL_NAMES.name(refusal));
    if (exchange.streaming) {
        exchange.responder->write("data: " + admission::toJson({refusal, message, ran}) + "\n\n");
        exchange.responder->end();
    } else {
        http::Response response = errorResponse({refusal, message, ran});
        response.headers.push_back({"X-Request-Id", exchange.requestId});
        exchange.responder->respond(std::move(response));
    }
    const bool generation = exchange.resolved.generation.has_value();
    const std::int64_t prompt = generation ? exchange.resolved.generation->promptTokens : 0;
    const bool sent = exchange.delivery.attempts() > 0;
    settle(exchange, !sent ? 0 : generation ? prompt + exchange.generatedTokens : exchange.resolved.cost);
    releaseClaim(exchange, true);
    finish(exchange);
}

void Desk::finish(Exchange &exchange)
{
    m_byReservation.erase(exchange.reservation);
    m_exchanges.erase(exchange.id);
    --m_inProgress;
}

std::vector<TargetDemand> Desk::takeDemand()
{
    const absl::MutexLock lock(&m_mutex);
    std::vector<TargetDemand> taken;
    for (auto &[target, demand] : m_demand) {
        demand.target = target;
        taken.push_back(demand);
    }
    m_demand.clear();
    return taken;
}

bool Desk::runsAt(const DrainingReplica &replica) const
{
    const absl::MutexLock lock(&m_mutex);
    return std::any_of(m_running.begin(), m_running.end(), [&replica](const auto &it) {
        const auto &[upstream, target] = it.first;
        return upstream == replica.upstream && target.model == replica.model && target.adapter == replica.adapter;
    });
}

} // namespace bamboomoor::entry
