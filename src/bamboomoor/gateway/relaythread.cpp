/**
 * Implements the thread that runs the relay core.
 */
#include "bamboomoor/gateway/relaythread.hpp"

#include "bamboomoor/control/budgetwire.hpp"
#include "bamboomoor/gateway/coldlimits.hpp"
#include "bamboomoor/gateway/forwarding.hpp"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

namespace bamboomoor::gateway
{

namespace
{

constexpr std::size_t MAX_EVENTS_PER_TURN = 256;

} // namespace

/** @brief Posts the events of one attempt; called on the HTTP client's thread. */
class RelayThread::AttemptListener final : public http::Listener
{
public:
    AttemptListener(RelayThread &runner, const relay::Attempt &attempt, std::string requestId)
        : m_runner(runner)
        , m_attempt(attempt.id)
        , m_requestId(std::move(requestId))
        , m_isForwarded(!attempt.via.empty())
        , m_freshConnection(attempt.freshConnection)
        , m_unread(std::make_shared<Unread>(runner.m_unread))
    {
    }

    bool onHead(int status, http::Headers headers) override
    {
        if (m_isForwarded) {
            m_hasHead = true;
            m_statement = takeStatement(headers);
            if (!isPassed()) {
                return true;
            }
        }
        relay::ResponseHead head = m_runner.m_context.dialect.readHead(status, std::move(headers), m_requestId);
        const bool isOwn = !relay::mayBeForeign(head, m_freshConnection);
        m_runner.deliver(Head{m_attempt, std::move(head)});
        return isOwn;
    }

    bool onData(std::string_view bytes) override
    {
        if (!isPassed()) {
            return true;
        }
        m_broken = !m_unread->take(bytes.size()) || !m_runner.push(Data{m_attempt, std::string(bytes), m_unread});
        return !m_broken;
    }

    void onEnd(http::Ending ending) override
    {
        if (!m_isForwarded || m_broken) {
            m_runner.deliver(Ended{m_attempt, std::move(ending)});
            return;
        }
        ForwardedEnd end = interpretEnd(std::move(ending), m_hasHead, m_statement);
        m_runner.deliver(Ended{m_attempt, std::move(end.ending), end.peerFailed, std::move(end.reason)});
    }

private:
    [[nodiscard]] bool isPassed() const noexcept
    {
        return !m_isForwarded || (m_statement && m_statement->result == ForwardResult::Passed);
    }

    RelayThread &m_runner;
    const std::uint64_t m_attempt;
    const std::string m_requestId;
    const bool m_isForwarded;
    const bool m_freshConnection;
    bool m_hasHead = false;
    // What the forwarding entry stated.
    std::optional<ForwardStatement> m_statement;
    const std::shared_ptr<Unread> m_unread;
    // A part of the response did not fit the ring, for which neither the upstream nor the forwarding entry is to blame.
    bool m_broken = false;
};

RelayThread::RelayThread(RelayThreadOptions options, RelayThreadContext context)
    : m_options(std::move(options))
    , m_context(context)
    , m_unread(m_options.maxUnreadBytes, m_options.maxTotalUnreadBytes)
    , m_ring(m_options.ringSize)
    , m_core(m_options.core, *this)
    , m_cold(m_options.upstreamLease)
{
}

RelayThread::~RelayThread()
{
    stop();
}

void RelayThread::start()
{
    m_thread = std::thread([this] {
        run();
    });
}

void RelayThread::stop()
{
    m_stopping = true;
    m_ring.close();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

bool RelayThread::push(Event event)
{
    if (m_ring.push(std::move(event))) {
        return true;
    }
    m_context.metrics.dropped();
    return false;
}

void RelayThread::deliver(Event event)
{
    m_ring.deliver(std::move(event));
}

void RelayThread::handle(http::Request request, std::shared_ptr<http::Responder> responder)
{
    auto read = m_context.callers.read(std::move(request));
    if (!read) {
        m_context.log.write(base::LogLine("request_unreadable").add("status", read.error().status));
        responder->respond(std::move(read.error()));
        return;
    }
    const std::string id = read.value().id;
    if (!push(Arrived{std::move(read.value()), responder})) {
        responder->respond(
            m_context.callers.refusal({relay::Reason::Stopping, true, m_options.core.defaultRetryDelay}, id));
    }
}

void RelayThread::beginDrain(base::Millis until)
{
    deliver(DrainBegun{until});
}

void RelayThread::drain()
{
    deliver(Draining{});
}

void RelayThread::configurationChanged()
{
    // One is enough, as the version in force is read when it is taken.
    if (!m_changePending.exchange(true)) {
        deliver(TableChanged{});
    }
}

void RelayThread::run()
{
    while (!m_stopping) {
        const base::Millis now = m_context.clock.now();
        const base::Millis due = std::min(m_core.nextDeadline(now), m_nextRefresh);
        auto event = m_ring.pop(std::max(due - now, base::Millis{0}));
        checkConfiguration(m_context.clock.now());
        for (std::size_t n = 0; event && n < MAX_EVENTS_PER_TURN; ++n) {
            take(*event);
            event = n + 1 < MAX_EVENTS_PER_TURN ? m_ring.pop({0}) : std::nullopt;
        }
        const base::Millis after = m_context.clock.now();
        m_core.tick(after);
        if (m_core.takeUrgent() && m_urgentReport) {
            collectDemand();
            m_urgentReport();
        }
        sendAsk(after);
        if (after >= m_nextRefresh) {
            refreshUpstreams();
            m_nextRefresh = after + (m_knowsUpstreams ? m_options.refresh : m_options.firstRefresh);
            collectDemand();
            m_context.metrics.fill(m_ring.size(), m_core.inProgress());
        }
        m_inProgress = m_core.inProgress();
        const auto answeredAt = m_core.reach().lastAnswerAt();
        m_cutOff = m_core.reach().isCutOff();
        m_offersForwarding = !m_isDraining && !m_cutOff && answeredAt && after - *answeredAt <= m_options.reachAge;
    }
    // What waits in the closed ring may be a response.
    while (auto event = m_ring.pop({0})) {
        if (auto *arrived = std::get_if<Arrived>(&*event)) {
            arrived->responder->respond(m_context.callers.refusal(
                {relay::Reason::Stopping, true, m_options.core.defaultRetryDelay}, arrived->request.id));
        } else {
            take(*event);
        }
    }
    m_core.stop(m_context.clock.now());
    m_inProgress = 0;
}

void RelayThread::checkConfiguration(base::Millis now)
{
    const auto since = m_context.inForce.outdatedSince();
    const bool isKnown = since && now - *since > m_options.outdatedLimit;
    const bool isPossible = !m_options.servesWhenCutOff && now >= m_context.inForce.freshUntil();
    const bool isOutdated = m_configured && (isKnown || isPossible);
    if (m_isOutdated.exchange(isOutdated) != isOutdated) {
        m_context.log.write(base::LogLine(isOutdated ? "configuration_outdated" : "configuration_current")
                                .add("known", isKnown ? 1 : 0));
        m_context.metrics.setOutdated(isOutdated);
        m_core.setOutdated(isOutdated);
    }
}

void RelayThread::take(Event &event)
{
    const base::Millis now = m_context.clock.now();
    std::visit(
        [this, now](auto &it) {
            on(now, it);
        },
        event);
}

void RelayThread::on(base::Millis now, Arrived &event)
{
    const std::uint64_t exchange = ++m_lastExchange;
    event.responder->onGone([this, exchange] {
        deliver(CallerGone{exchange});
    });
    m_callers.emplace(exchange, Caller{std::move(event.responder), event.request.id});
    m_core.onRequest(now, exchange, std::move(event.request));
}

void RelayThread::on(base::Millis now, CallerGone &event)
{
    m_core.onCallerDisconnected(now, event.exchange);
    m_callers.erase(event.exchange);
}

void RelayThread::on(base::Millis now, Head &event)
{
    m_core.onResponseHead(now, event.attempt, std::move(event.head));
}

void RelayThread::on(base::Millis now, Data &event)
{
    event.unread->release(event.bytes.size());
    m_core.onResponseData(now, event.attempt, event.bytes);
}

void RelayThread::on(base::Millis now, Ended &event)
{
    const auto call = m_calls.find(event.attempt);
    if (call == m_calls.end()) {
        return;
    }
    // Cancel a call that is still open because its response has no end.
    m_context.client.cancel(call->second);
    m_calls.erase(call);
    relay::AttemptEnd end;
    end.complete = event.ending.kind == http::EndKind::Complete;
    end.bytesSent = event.ending.bytesSent;
    end.lostConnection = event.ending.kind == http::EndKind::ResetBeforeAnswer;
    end.truncated = event.ending.kind == http::EndKind::Truncated || event.ending.kind == http::EndKind::ResetDuring;
    end.delimited = event.ending.delimited;
    end.connectTimedOut = event.ending.kind == http::EndKind::ConnectTimeout;
    end.malformed = event.ending.kind == http::EndKind::Malformed;
    end.peerFailed = event.peerFailed;
    end.reason = event.reason.empty() ? http::END_KIND_NAMES.name(event.ending.kind) : std::string_view(event.reason);
    m_core.onAttemptEnded(now, event.attempt, end);
}

void RelayThread::on(base::Millis now, BudgetReplied &event)
{
    m_core.onBudgetReply(now, event.reply);
}

void RelayThread::on(base::Millis /*now*/, TableChanged & /*event*/)
{
    m_changePending = false;
    if (const auto held = m_context.inForce.current()) {
        const std::shared_ptr<const config::Document> document(held, &held->document);
        logLimits(held->version, held->document);
        m_core.setTable(std::make_shared<const relay::RouteTable>(held->version, document));
        m_cold.setLimits(coldLimitsOf(held->document));
        m_configured = true;
    }
    const std::uint64_t evacuations = m_context.inForce.evacuations()->revision;
    if (std::exchange(m_evacuationsSeen, evacuations) != evacuations) {
        m_nextRefresh = {};
    }
}

void RelayThread::logLimits(std::uint64_t version, const config::Document &document)
{
    std::map<std::string, std::pair<std::int64_t, std::int64_t>> limits;
    for (const config::Organisation &it : document.organisations) {
        const std::pair limit{it.unlimited ? 0 : it.rate, it.unlimited ? 0 : it.burst};
        limits.emplace(it.name, limit);
        const auto known = m_limits.find(it.name);
        if (known == m_limits.end() || known->second != limit) {
            m_context.log.write(base::LogLine("organisation_limit")
                                    .add("org", it.name)
                                    .add("rate", limit.first)
                                    .add("burst", limit.second)
                                    .add("config", static_cast<std::int64_t>(version)));
        }
    }
    for (const auto &[name, limit] : m_limits) {
        if (!limits.contains(name)) {
            m_context.log.write(base::LogLine("organisation_removed")
                                    .add("org", name)
                                    .add("config", static_cast<std::int64_t>(version)));
        }
    }
    m_limits = std::move(limits);
}

void RelayThread::on(base::Millis now, News &event)
{
    m_core.setRemoteLoad(now, event.news.waiting);
    std::vector<relay::PlacedHolding> placed;
    for (entry::Placement &it : event.news.placements) {
        placed.push_back({std::move(it.upstream), relay::holdingOf(it.model, it.adapter), it.readyIn});
    }
    m_core.setPlacements(now, placed);
    m_core.onLeaderReports(now, event.news.words);
    m_core.onQuarantineReply(now, event.news.quarantine);
    m_core.onStreamReply(event.news.term, event.news.streamSequence);
    m_context.tokens.learn(event.news.peerToken, event.news.peers);
    m_core.setPeers(now, std::move(event.news.peers), event.news.quarantine.term);
}

void RelayThread::on(base::Millis /*now*/, DrainBegun &event)
{
    m_core.beginDrain(event.until);
}

void RelayThread::on(base::Millis /*now*/, Draining & /*event*/)
{
    m_core.drain();
    m_isDraining = true;
}

void RelayThread::resolveOrigin(std::uint64_t exchange, const relay::OriginQuery &query)
{
    askOrigin(exchange, query, 1);
}

void RelayThread::askOrigin(std::uint64_t exchange, const relay::OriginQuery &query, int calls)
{
    peer::wire::OriginRequest request;
    request.set_service(query.service);
    request.set_stream(query.stream);
    const std::string voter = m_context.leader.get();
    m_context.peers.find(voter)->call(request, m_options.originTimeout,
        [this, exchange, query, voter, calls](std::optional<peer::wire::OriginReply> reply) {
            deliver(OriginReplied{exchange, query, voter, calls, std::move(reply)});
        });
}

void RelayThread::on(base::Millis now, OriginReplied &event)
{
    const bool served = event.reply && event.reply->served();
    if (!served) {
        if (event.reply && !event.reply->leader().empty()) {
            m_context.leader.learn(event.reply->leader());
        } else {
            m_context.leader.skip(event.voter);
        }
        if (event.calls < m_options.maxOriginCalls && m_callers.contains(event.exchange)) {
            askOrigin(event.exchange, event.query, event.calls + 1);
            return;
        }
    }
    const relay::OriginVerdict verdict = !served ? relay::OriginVerdict::NoLeader
        : event.reply->known()                   ? relay::OriginVerdict::Known
                                                 : relay::OriginVerdict::Unknown;
    const std::string software = served ? event.reply->software() : std::string();
    m_context.log.write(base::LogLine("origin_resolved")
                            .add("service", event.query.service)
                            .add("stream", event.query.stream)
                            .add("verdict", relay::ORIGIN_VERDICT_NAMES.name(verdict))
                            .add("software", software)
                            .add("calls", event.calls));
    m_core.onOriginResolved(now, event.exchange, verdict, software);
}

void RelayThread::refreshUpstreams()
{
    const lineage::SoftwareVersions software = m_context.upstreams.software();
    m_core.setSoftware(m_context.clock.now(), software);
    const bool synced = m_context.sync.synced();
    const base::Millis bookTime = m_context.sync.bookTime();
    const std::set<entry::DrainingReplica> draining = m_context.upstreams.draining();
    const auto evacuations = m_context.inForce.evacuations();
    m_cold.setEvacuated(m_context.clock.now(), evacuations->dataCentres);
    std::size_t coldUpstreams = 0;
    std::vector<relay::Worker> workers;
    for (const membership::Entry &it : m_context.upstreams.list(bookTime)) {
        const membership::Announcement &announcement = it.announcement;
        if (announcement.leaving || evacuations->dataCentres.contains(announcement.dataCentre)) {
            continue;
        }
        relay::Worker worker;
        worker.id = announcement.id;
        worker.address = announcement.address;
        worker.dataCentre = announcement.dataCentre;
        worker.service = announcement.service;
        worker.incarnation = announcement.incarnation;
        worker.sequence = announcement.sequence;
        worker.software = announcement.softwareVersion;
        worker.currentUntil = std::min(it.expiresAt, m_context.sync.answeredAt() + m_options.listAge);
        worker.cold = m_cold.find(m_context.clock.now(), it);
        coldUpstreams += worker.cold ? 1 : 0;
        const auto recorded = software.find(announcement.service);
        worker.softwareRecorded = recorded != software.end() && recorded->second.contains(worker.software);
        constexpr std::uint64_t MAX_SLOTS = 1'000'000;
        worker.slots = static_cast<std::int64_t>(std::min(announcement.slots, MAX_SLOTS));
        for (const membership::Accelerator &accelerator : announcement.accelerators) {
            for (const membership::Resident &held : accelerator.resident) {
                if (draining.contains({announcement.id, held.model, {}, {}})) {
                    continue;
                }
                worker.holdings.insert(relay::holdingOf(held.model, held.adapter));
            }
        }
        workers.push_back(std::move(worker));
    }
    m_context.metrics.setPlaces(evacuations->dataCentres.size(), coldUpstreams);
    m_core.setWorkers(std::move(workers));
    if (synced) {
        m_knowsUpstreams = true;
    }
}

void RelayThread::collectDemand()
{
    auto demand = m_core.takeDemand();
    auto waiting = m_core.queuedTokens();
    auto unreachable = m_core.unreachable(m_context.clock.now());
    auto words = m_core.takeReports(m_context.clock.now());
    auto quarantineReport = m_core.takeQuarantineReport(m_context.clock.now());
    auto streamReport = m_core.takeStreamReport(m_context.clock.now());
    const absl::MutexLock lock(&m_mutex);
    for (const standing::Report &old : m_words) {
        const auto it = std::find_if(words.begin(), words.end(), [&old](const standing::Report &word) {
            return word.run == old.run;
        });
        if (it != words.end()) {
            it->requestedPermits += old.requestedPermits;
        }
    }
    m_words = std::move(words);
    m_quarantineReport = std::move(quarantineReport);
    m_streamReport = std::move(streamReport);
    m_waiting = std::move(waiting);
    m_unreachable = std::move(unreachable);
    for (relay::HoldingDemand &it : demand) {
        entry::TargetDemand report;
        report.target = {entry::TargetKind::Generation, std::move(it.model), std::move(it.adapter), {}, {}};
        report.requests = it.requests;
        report.queued = it.missed;
        report.tokens = it.tokens;
        m_demand.push_back(std::move(report));
    }
}

std::vector<entry::TargetDemand> RelayThread::takeDemand()
{
    const absl::MutexLock lock(&m_mutex);
    return std::exchange(m_demand, {});
}

std::map<std::string, std::int64_t> RelayThread::waiting() const
{
    const absl::MutexLock lock(&m_mutex);
    return m_waiting;
}

std::vector<std::string> RelayThread::unreachable() const
{
    const absl::MutexLock lock(&m_mutex);
    return m_unreachable;
}

std::vector<standing::Report> RelayThread::takeWords()
{
    const absl::MutexLock lock(&m_mutex);
    std::vector<standing::Report> words = m_words;
    for (standing::Report &it : m_words) {
        it.requestedPermits = 0;
    }
    return words;
}

quarantine::Report RelayThread::takeQuarantineReport()
{
    const absl::MutexLock lock(&m_mutex);
    return m_quarantineReport;
}

lineage::Report RelayThread::takeStreamReport()
{
    const absl::MutexLock lock(&m_mutex);
    return m_streamReport;
}

std::string RelayThread::forwardAddress() const
{
    return m_offersForwarding ? m_options.forwardAddress : std::string();
}

void RelayThread::takeNews(entry::LeaderNews news)
{
    // The next reply repeats what a full ring drops.
    static_cast<void>(push(News{std::move(news)}));
}

bool RelayThread::runsAt(const entry::DrainingReplica & /*replica*/) const
{
    return false;
}

void RelayThread::sendAsk(base::Millis now)
{
    const auto ask = m_core.takeBudgetRequest(now);
    if (!ask) {
        return;
    }
    const std::string voter = m_context.leader.get();
    m_context.peers.find(voter)->call(control::toWire(*ask), m_options.budgetTimeout,
        [this, voter](const std::optional<peer::wire::BudgetReply> &reply) {
            if (reply && reply->served()) {
                deliver(BudgetReplied{control::fromWire(*reply)});
            } else if (reply && !reply->leader().empty()) {
                m_context.leader.learn(reply->leader());
            } else {
                m_context.leader.skip(voter);
            }
        });
}

std::shared_ptr<http::Responder> RelayThread::take(std::uint64_t exchange)
{
    auto node = m_callers.extract(exchange);
    return node.empty() ? nullptr : std::move(node.mapped().responder);
}

void RelayThread::respond(std::uint64_t exchange, http::Response response)
{
    if (const auto responder = take(exchange)) {
        responder->respond(std::move(response));
    }
}

void RelayThread::sendLocalReply(std::uint64_t exchange, const relay::LocalReply &refused)
{
    auto node = m_callers.extract(exchange);
    if (!node.empty()) {
        node.mapped().responder->respond(m_context.callers.refusal(refused, node.mapped().requestId));
    }
}

void RelayThread::beginStream(std::uint64_t exchange, int status, http::Headers headers)
{
    const auto it = m_callers.find(exchange);
    if (it != m_callers.end()) {
        it->second.responder->begin(status, std::move(headers));
    }
}

bool RelayThread::write(std::uint64_t exchange, std::string_view bytes)
{
    const auto it = m_callers.find(exchange);
    return it != m_callers.end() && it->second.responder->write(bytes);
}

void RelayThread::endStream(std::uint64_t exchange)
{
    if (const auto responder = take(exchange)) {
        responder->end();
    }
}

void RelayThread::abortStream(std::uint64_t exchange)
{
    if (const auto responder = take(exchange)) {
        responder->abort();
    }
}

void RelayThread::send(const relay::Attempt &attempt, const relay::Request &request)
{
    http::Call call = m_context.dialect.call(attempt, request);
    call.connectTimeout = std::min(m_options.connectTimeout, attempt.remaining);
    // No shorter timeouts here: the core itself ends attempts that get no response.
    call.totalTimeout = attempt.remaining + m_options.responseGrace;
    call.firstByteTimeout = call.totalTimeout;
    call.progressTimeout = call.totalTimeout;
    if (!attempt.via.empty()) {
        call = forwardThrough(std::move(call), attempt.upstream, attempt.via, m_context.tokens.tokenFor(attempt.via));
        call.connectTimeout = std::min(m_options.peerConnectTimeout, attempt.remaining);
    }
    m_calls[attempt.id] =
        m_context.client.start(std::move(call), std::make_shared<AttemptListener>(*this, attempt, request.id));
}

void RelayThread::cancel(std::uint64_t attempt)
{
    const auto it = m_calls.find(attempt);
    if (it != m_calls.end()) {
        m_context.client.cancel(it->second);
        m_calls.erase(it);
    }
}

void RelayThread::logDecision(const relay::Decision &decision)
{
    m_context.metrics.count(decision);
    base::LogLine line(relay::STEP_NAMES.name(decision.step));
    line.add("id", decision.request).add("route", decision.route).add("org", decision.organisation);
    line.add("reason", decision.reason).add("model", decision.holding).add("upstream", decision.upstream);
    line.add("software", decision.software).add("via", decision.via);
    if (decision.attempt != 0) {
        line.add("attempt", static_cast<std::int64_t>(decision.attempt));
        line.add("expected_wait_ms", decision.expectedWait);
    }
    if (decision.tokens > 0 && (decision.step == relay::Step::Sent || decision.step == relay::Step::Refused)) {
        line.add("tokens", decision.tokens);
    }
    if (decision.step == relay::Step::Sent && !decision.via.empty()) {
        m_context.metrics.forwardedTo();
    }
    if (decision.charge) {
        line.add("charge", relay::CHARGE_NAMES.name(*decision.charge));
        line.add("connection", decision.freshConnection ? "new" : "pooled");
        line.add("permit", decision.permit ? "used" : "");
    }
    if (decision.retryDecision) {
        line.add("next", relay::RETRY_DECISION_NAMES.name(*decision.retryDecision));
    }
    if (decision.events) {
        line.add("events", static_cast<std::int64_t>(*decision.events));
    }
    if (!decision.sharedParts.empty()) {
        line.add("parts", decision.sharedParts);
    }
    if (!decision.fingerprint.empty()) {
        line.add("request", decision.fingerprint);
    }
    if (decision.status != 0) {
        line.add("status", decision.status);
    }
    line.add("age_ms", decision.age).add("config", static_cast<std::int64_t>(decision.version));
    m_context.log.write(line);
}

void RelayThread::logQuarantine(const quarantine::Finding &finding, bool byLeader)
{
    m_context.metrics.quarantined(byLeader);
    m_context.log.write(base::LogLine("part_quarantined")
                            .add("part", finding.part)
                            .add("decided_by", byLeader ? "leader" : "entry")
                            .add("crashes", static_cast<std::int64_t>(finding.crashes))
                            .add("left_ms", finding.until - m_context.clock.now()));
}

void RelayThread::logReach(const relay::ReachChange &change)
{
    m_context.metrics.reachChanged(change.cutOff);
    base::LogLine line(change.cutOff ? "upstreams_cut_off" : "upstreams_reached");
    if (change.cutOff) {
        line.add("failed_upstreams", static_cast<std::int64_t>(change.failedUpstreams))
            .add("peers", static_cast<std::int64_t>(change.peers));
    }
    m_context.log.write(line.add("lasted_ms", change.lasted));
}

void RelayThread::logSignal(const relay::SignalNote &note)
{
    m_context.metrics.count(note);
    base::LogLine line("upstream_word");
    line.add("id", note.request).add("upstream", note.upstream);
    line.add("change", standing::CHANGE_NAMES.name(note.change));
    if (note.signal.limit) {
        line.add("limit_milli", *note.signal.limit);
    }
    if (note.signal.brittle) {
        line.add("brittle", *note.signal.brittle);
    }
    if (note.signal.closedFor) {
        line.add("closed_ms", *note.signal.closedFor);
    }
    m_context.log.write(line);
}

} // namespace bamboomoor::gateway
