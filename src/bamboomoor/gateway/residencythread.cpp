/**
 * Implements the residency thread.
 */
#include "bamboomoor/gateway/residencythread.hpp"

#include "bamboomoor/control/roomwire.hpp"
#include "bamboomoor/gateway/coldlimits.hpp"
#include "bamboomoor/gateway/controlmetrics.hpp"
#include "bamboomoor/gateway/peertokens.hpp"

#include <glog/logging.h>

#include <algorithm>
#include <set>
#include <utility>

namespace bamboomoor::gateway
{

namespace
{

constexpr std::size_t RING_SIZE = 4'096;
// Longest wait for events while this VM is not the leader.
constexpr base::Millis IDLE_WAIT{1'000};
constexpr double MILLIS_PER_SECOND = 1'000.0;
// Demand is measured in prompts of this length, because long prompts load an engine more than short ones.
constexpr double TOKENS_PER_REQUEST = 2'000.0;
// Source label of a model that a worker loaded without an accepted order.
constexpr std::string_view UNEXPLAINED = "unexplained";

std::map<std::string, placement::EngineSpec> enginesOf(const state::Machine &machine)
{
    const auto document = machine.configuration().document();
    std::map<std::string, placement::EngineSpec> engines;
    for (const config::Service &it : document->services) {
        if (it.engine) {
            placement::EngineSpec &engine = engines[it.name];
            engine.memoryMib = it.engine->memoryMib;
            engine.adapterPlaces = it.engine->adapterPlaces;
            engine.loadsPerSecond = static_cast<double>(it.engine->loadsPerSecondMilli) / MILLIS_PER_SECOND;
        }
    }
    for (const config::Model &it : document->models) {
        const auto engine = engines.find(it.service);
        if (engine != engines.end()) {
            engine->second.models[it.name] = {it.memoryMib, it.numberedAdapters, it.adapterMemoryMib, it.loadTime};
        }
    }
    return engines;
}

void addOrder(base::LogLine &line, const placement::ResidencyOrder &order)
{
    line.add("upstream", order.worker)
        .add("kind", placement::RESIDENCY_ORDER_KIND_NAMES.name(order.kind))
        .add("model", order.model)
        .add("adapter", order.adapter)
        .add("source", order.source ? placement::LOAD_SOURCE_NAMES.name(*order.source) : std::string_view())
        .add("expected", static_cast<std::int64_t>(order.expected));
}

placement::WorkerReport reportOf(const membership::Announcement &announcement)
{
    placement::WorkerReport report;
    report.id = announcement.id;
    report.incarnation = announcement.incarnation;
    report.address = announcement.address;
    report.service = announcement.service;
    report.sequence = announcement.sequence;
    report.leaving = announcement.leaving;
    report.localCopies.insert(announcement.localCopies.begin(), announcement.localCopies.end());
    for (const membership::Accelerator &accelerator : announcement.accelerators) {
        for (const membership::Resident &it : accelerator.resident) {
            auto &adapters = report.holdings.models[it.model];
            if (!it.adapter.empty()) {
                adapters.insert(it.adapter);
            }
        }
    }
    return report;
}

} // namespace

/** @brief Posts the result of an order. */
class ResidencyThread::OrderListener final : public http::Listener
{
public:
    OrderListener(ResidencyThread &desk, std::uint64_t term, placement::ResidencyOrder order)
        : m_desk(desk)
        , m_term(term)
        , m_order(std::move(order))
        , m_sentAt(desk.m_context.clock.now())
    {
    }

    bool onHead(int status, http::Headers /*headers*/) override
    {
        m_status = status;
        return true;
    }

    bool onData(std::string_view /*bytes*/) override
    {
        return true;
    }

    void onEnd(http::Ending ending) override
    {
        auto verdict = placement::ResidencyOrderResult::Unknown;
        if (ending.kind == http::EndKind::Complete) {
            verdict = m_desk.m_context.dialect.readOrder(m_status);
        } else if (!ending.bytesSent) {
            verdict = placement::ResidencyOrderResult::NotSent;
        }
        m_desk.post(OrderDone{m_term, std::move(m_order), verdict, m_sentAt, m_desk.m_context.clock.now()});
    }

private:
    ResidencyThread &m_desk;
    const std::uint64_t m_term;
    placement::ResidencyOrder m_order;
    const base::Millis m_sentAt;
    int m_status = 0;
};

/** @brief Posts the result of an inspection. */
class ResidencyThread::InspectionListener final : public http::Listener
{
public:
    InspectionListener(ResidencyThread &desk, std::uint64_t term, std::string worker)
        : m_desk(desk)
        , m_term(term)
        , m_worker(std::move(worker))
        , m_sentAt(desk.m_context.clock.now())
    {
    }

    bool onHead(int status, http::Headers /*headers*/) override
    {
        m_status = status;
        return true;
    }

    bool onData(std::string_view bytes) override
    {
        m_body += bytes;
        return true;
    }

    void onEnd(http::Ending ending) override
    {
        const bool answered = ending.kind == http::EndKind::Complete;
        m_desk.post(InspectionDone{m_term, m_worker,
            answered ? m_desk.m_context.dialect.readInspection(m_status, m_body) : std::nullopt, m_sentAt, ending.kind,
            m_status});
    }

private:
    ResidencyThread &m_desk;
    const std::uint64_t m_term;
    const std::string m_worker;
    const base::Millis m_sentAt;
    int m_status = 0;
    std::string m_body;
};

ResidencyThread::ResidencyThread(ResidencyThreadOptions options, ResidencyThreadContext context)
    : m_options(std::move(options))
    , m_context(context)
    , m_ring(RING_SIZE)
    , m_waiting(m_options.loadAge)
    , m_entries(m_options.entryAge)
    , m_permits(m_options.permits)
    , m_planReply(m_options.spacing)
    , m_schedule(m_options.spacing, m_options.interval)
    , m_suspects(m_options.suspects)
{
}

ResidencyThread::~ResidencyThread()
{
    stop();
}

void ResidencyThread::start()
{
    m_listeningSince = m_context.clock.now();
    m_thread = std::thread([this] {
        run();
    });
}

void ResidencyThread::stop()
{
    m_stopping = true;
    m_ring.close();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void ResidencyThread::report(const peer::wire::DemandReport &request, peer::Answer<peer::wire::DemandReply> answer)
{
    post(ReportEvent{request, std::move(answer)});
}

void ResidencyThread::resolveOrigin(const peer::wire::OriginRequest &request, const std::set<std::string> &versions,
    peer::Answer<peer::wire::OriginReply> answer)
{
    post(OriginEvent{{0, request.service(), request.stream(), versions}, std::move(answer)});
}

void ResidencyThread::onLeading(std::uint64_t term, const state::Machine &machine)
{
    post(Leading{term, enginesOf(machine), machine.quarantines().ends(), machine.software().versions(),
        machine.evacuations().evacuated(), coldLimitsOf(*machine.configuration().document())});
}

void ResidencyThread::onNotLeading()
{
    post(NotLeading{});
}

void ResidencyThread::onConfiguration(const state::Machine &machine)
{
    post(ConfigurationChanged{enginesOf(machine), coldLimitsOf(*machine.configuration().document())});
}

void ResidencyThread::onEvacuations(const state::Machine &machine)
{
    post(EvacuationsChanged{machine.evacuations().evacuated()});
}

void ResidencyThread::post(Event event)
{
    if (m_ring.push(std::move(event))) {
        return;
    }
    // A rejected push does not move from the event.
    if (auto *report = std::get_if<ReportEvent>(&event)) { // NOLINT(bugprone-use-after-move)
        report->answer({});
    } else if (auto *origin = std::get_if<OriginEvent>(&event)) { // NOLINT(bugprone-use-after-move)
        origin->answer({});
    } else if (!m_ring.closed() && std::holds_alternative<SoftwareRecorded>(event)) { // NOLINT(bugprone-use-after-move)
        m_context.log.write(base::LogLine("verdict_dropped").add("command", "record_software"));
    } else if (!m_ring.closed()
        && std::holds_alternative<QuarantinesRecorded>(event)) { // NOLINT(bugprone-use-after-move)
        m_context.log.write(base::LogLine("verdict_dropped").add("command", "record_quarantines"));
    } else if (!m_ring.closed()) {
        LOG(FATAL) << "event=residency_ring_full";
    }
}

void ResidencyThread::run()
{
    while (!m_stopping) {
        takeEvents();
    }
    while (auto event = m_ring.pop({0})) {
        if (auto *report = std::get_if<ReportEvent>(&*event)) {
            report->answer({});
        } else if (auto *origin = std::get_if<OriginEvent>(&*event)) {
            origin->answer({});
        }
    }
    abandonOrigins();
}

void ResidencyThread::takeEvents()
{
    const base::Millis planned = m_plan ? m_schedule.dueAt() : m_context.clock.now() + IDLE_WAIT;
    const base::Millis waitEnd = std::min(planned, m_origins.nextDeadline());
    auto event = m_ring.pop(std::max(waitEnd - m_context.clock.now(), base::Millis{0}));
    const base::Millis began = m_context.clock.now();
    std::size_t events = 0;
    // Bounded, so that a steady stream of events cannot delay a decision.
    while (event) {
        std::visit(
            [this](auto &it) {
                on(it);
            },
            *event);
        ++events;
        m_schedule.noteChange();
        const bool isDue = m_plan && m_context.clock.now() >= m_schedule.dueAt();
        event = isDue ? std::nullopt : m_ring.pop({0});
    }
    const base::Millis eventsEnded = m_context.clock.now();
    answerOrigins(m_origins.takeAnswers(eventsEnded));
    for (const std::string &it : m_suspects.takeDue(eventsEnded)) {
        inspectSuspect(it);
    }
    if (m_plan && eventsEnded >= m_schedule.dueAt()) {
        decide();
        m_schedule.decided(m_context.clock.now());
    }
    noteRound(events, began, eventsEnded);
}

void ResidencyThread::noteRound(std::size_t events, base::Millis began, base::Millis eventsEnded)
{
    const base::Millis now = m_context.clock.now();
    m_context.metrics.roundEnded(now - began);
    if (now - began < m_options.slowRound || now - m_slowLoggedAt < m_options.slowRound) {
        return;
    }
    m_slowLoggedAt = now;
    m_context.log.write(base::LogLine("slow_round")
                            .add("thread", "residency")
                            .add("events", static_cast<std::int64_t>(events))
                            .add("events_ms", eventsEnded - began)
                            .add("decision_ms", now - eventsEnded));
}

void ResidencyThread::on(ReportEvent &event)
{
    peer::wire::DemandReply reply;
    if (!m_plan) {
        reply.set_leader(m_context.voter.status().leader);
        event.answer(std::move(reply));
        return;
    }
    const double seconds = std::max<double>(1.0, static_cast<double>(event.request.span_ms())) / MILLIS_PER_SECOND;
    std::vector<placement::ResidencyDemand> demand;
    for (const auto &it : event.request.demands()) {
        const double tokens = static_cast<double>(it.tokens()) / seconds / TOKENS_PER_REQUEST;
        demand.push_back({it.model(), it.adapter(), tokens, it.queued()});
    }
    m_plan->setDemand(m_context.clock.now(), event.request.vm(), demand);
    reply.set_served(true);
    reply.set_term(m_term);
    exchangeLoads(event.request, reply);
    exchangeSignals(event.request, reply);
    m_crashes.exchange(m_context.clock.now(), m_term, event.request, reply, *this);
    exchangePeers(event.request, reply);
    exchangeStreams(event.request, reply);
    for (const std::string &it : event.request.unreachable()) {
        suspect(it);
    }
    m_planReply.addTo(m_context.clock.now(), *m_plan, reply);
    event.answer(std::move(reply));
}

void ResidencyThread::exchangeStreams(const peer::wire::DemandReport &request, peer::wire::DemandReply &reply)
{
    const base::Millis now = m_context.clock.now();
    for (const auto &it : request.streams()) {
        m_origins.add(now, {it.stream(), {it.service(), it.software()}, now + base::Millis{it.left_ms()}});
    }
    reply.set_stream_sequence(request.stream_sequence());
}

void ResidencyThread::on(OriginEvent &event)
{
    if (!m_plan) {
        peer::wire::OriginReply reply;
        reply.set_leader(m_context.voter.status().leader);
        event.answer(std::move(reply));
        return;
    }
    event.question.number = ++m_lastQuestion;
    m_originAnswers.emplace(m_lastQuestion, std::move(event.answer));
    if (const auto answer = m_origins.ask(m_context.clock.now(), std::move(event.question))) {
        answerOrigins({*answer});
    }
}

void ResidencyThread::answerOrigins(const std::vector<lineage::Answer> &answers)
{
    const bool isSettled = m_context.clock.now() - m_leadingSince >= m_options.originSettling;
    for (const lineage::Answer &it : answers) {
        auto node = m_originAnswers.extract(it.number);
        peer::wire::OriginReply reply;
        reply.set_served(it.software || isSettled);
        reply.set_leader(m_context.voter.status().leader);
        reply.set_known(it.software.has_value());
        reply.set_software(it.software.value_or(std::string()));
        node.mapped()(std::move(reply));
    }
}

void ResidencyThread::abandonOrigins()
{
    m_origins = lineage::OriginAuthority();
    for (auto &[number, answer] : m_originAnswers) {
        answer({});
    }
    m_originAnswers.clear();
}

void ResidencyThread::recordSoftware(base::Millis now, const std::vector<membership::Entry> &upstreams)
{
    lineage::SoftwareVersions listed;
    for (const membership::Entry &it : upstreams) {
        listed[it.announcement.service].insert(it.announcement.softwareVersion);
    }
    const auto proposal = m_software.next(now, listed);
    if (!proposal) {
        return;
    }
    state::RecordSoftware command;
    base::LogLine line("software_changed");
    for (const auto &[service, versions] : proposal->versions) {
        command.services.push_back({service, {versions.begin(), versions.end()}});
        for (const std::string &it : versions) {
            line.add(service, it);
        }
    }
    m_context.log.write(line.add("term", static_cast<std::int64_t>(m_term)));
    m_context.voter.propose(state::encode(command), m_term,
        [this, term = m_term, number = proposal->number](const control::ProposalOutcome &verdict) {
            post(SoftwareRecorded{term, number, verdict.status == consensus::ProposalStatus::Committed});
        });
}

void ResidencyThread::on(SoftwareRecorded &event)
{
    if (m_plan && event.term == m_term) {
        m_software.onVerdict(event.number, event.committed);
    }
}

void ResidencyThread::suspect(const std::string &worker)
{
    const base::Millis now = m_context.clock.now();
    if (m_suspects.suspect(now, worker)) {
        inspectSuspect(worker);
    }
}

void ResidencyThread::inspectSuspect(const std::string &worker)
{
    // Its lease may have ended: the loss of an attempt may be reported, or a new leader begin, later than that.
    if (const auto address = m_context.upstreams.lastAddressOf(worker)) {
        inspect({worker, *address});
    }
}

void ResidencyThread::exchangeLoads(const peer::wire::DemandReport &request, peer::wire::DemandReply &reply)
{
    const base::Millis now = m_context.clock.now();
    WaitingTotals::Tokens own;
    for (const auto &it : request.waiting()) {
        own[it.upstream()] += it.waiting_tokens();
    }
    m_waiting.set(now, request.vm(), std::move(own));
    m_waiting.expire(now);
    m_waiting.forOthers(request.vm(), [&reply](const std::string &upstream, std::int64_t tokens) {
        auto *load = reply.add_waiting();
        load->set_upstream(upstream);
        load->set_waiting_tokens(tokens);
    });
}

void ResidencyThread::exchangeSignals(const peer::wire::DemandReport &request, peer::wire::DemandReply &reply)
{
    const base::Millis now = m_context.clock.now();
    std::map<std::string, standing::Grant> grants;
    m_rooms.onEntry(now, request.vm());
    for (const auto &it : request.words()) {
        standing::Report report;
        report.run = {it.upstream(), it.incarnation()};
        report.limit = it.limited() ? std::optional(it.limit()) : std::nullopt;
        report.limitReceivedAt = now - base::Millis{std::max<std::int64_t>(0, it.limit_age_ms())};
        report.leaving = it.leaving();
        m_permits.onReport(now, report);
        if (it.has_room()) {
            takeRoomReport(now, request.vm(), report.run, control::roomReport(now, it.room()));
        }
        if (it.wished() <= 0 || !hasConfirmedLeadership(now)) {
            continue;
        }
        const standing::Grant grant = m_permits.grant(now, request.vm(), it.upstream(), it.wished());
        m_context.log.write(base::LogLine("permits_granted")
                                .add("upstream", it.upstream())
                                .add("vm", request.vm())
                                .add("wished", it.wished())
                                .add("permits", grant.permits)
                                .add("next_in_ms", grant.nextPermitIn)
                                .add("term", static_cast<std::int64_t>(m_term)));
        m_context.metrics.permitsGranted(grant.permits);
        grants[it.upstream()] = grant;
    }
    for (const standing::Report &it : m_permits.reports(now)) {
        auto *word = reply.add_words();
        word->set_upstream(it.run.id);
        word->set_incarnation(it.run.incarnation);
        word->set_limited(it.limit.has_value());
        word->set_limit(it.limit.value_or(0));
        word->set_limit_age_ms((now - it.limitReceivedAt).count);
        word->set_leaving(it.leaving);
        // Without a quorum another leader may give out the same room.
        if (hasConfirmedLeadership(now)) {
            if (const auto room = m_rooms.grant(now, request.vm(), it.run)) {
                *word->mutable_room() = control::toWire(now, *room);
            }
        }
        const auto grant = grants.find(it.run.id);
        if (grant != grants.end()) {
            word->set_permits(grant->second.permits);
            word->set_next_in_ms(grant->second.nextPermitIn.count);
        }
    }
}

void ResidencyThread::takeRoomReport(
    base::Millis now, const std::string &vm, const standing::Run &run, const standing::RoomReport &report)
{
    if (!m_rooms.onReport(now, vm, run, report)) {
        return;
    }
    m_context.metrics.brittleChanged(report.brittle.has_value());
    m_context.log.write(base::LogLine("upstream_brittle")
                            .add("upstream", run.id)
                            .add("vm", vm)
                            .add("state", report.brittle ? "begun" : "ended")
                            .add("refusals", report.brittle.value_or(0))
                            .add("slots", report.slots)
                            .add("term", static_cast<std::int64_t>(m_term)));
}

void ResidencyThread::exchangePeers(const peer::wire::DemandReport &request, peer::wire::DemandReply &reply)
{
    const base::Millis now = m_context.clock.now();
    m_entries.set(now, {request.vm(), request.data_centre(), request.forward_address()});
    for (std::string &it : m_entries.peersOf(now, request.vm(), m_options.peers)) {
        reply.add_peers(std::move(it));
    }
    reply.set_peer_token(m_peerToken);
}

void ResidencyThread::log(const base::LogLine &line)
{
    m_context.log.write(line);
}

void ResidencyThread::inspect(const std::string &upstream)
{
    suspect(upstream);
}

void ResidencyThread::countQuarantine()
{
    m_context.metrics.partQuarantined();
}

void ResidencyThread::record(const control::QuarantineRecord &record)
{
    const state::Command command = control::recordCommand(m_context.clock.now(), base::wallClock(), record.quarantines);
    m_context.voter.propose(state::encode(command), m_term,
        [this, term = m_term, number = record.number](const control::ProposalOutcome &verdict) {
            post(QuarantinesRecorded{term, number, verdict.status == consensus::ProposalStatus::Committed});
        });
}

void ResidencyThread::on(Leading &event)
{
    m_crashes = control::CrashReports();
    m_crashes.begin(m_context.clock.now(), base::wallClock(), event.term, event.quarantines, *this);
    // Results of an earlier term are not waited for.
    m_suspects = control::SuspectTracker(m_options.suspects);
    abandonOrigins();
    m_leadingSince = m_context.clock.now();
    m_software.begin(m_context.clock.now(), event.software);
    m_cold = standing::ColdPeriods(m_options.upstreamLease);
    m_cold.setLimits(std::move(event.coldLimits));
    m_cold.setEvacuated(m_context.clock.now(), std::move(event.evacuated));
    m_permits = standing::PermitAuthority(m_options.permits);
    m_rooms = standing::RoomAuthority(m_context.clock.now(), event.term);
    m_term = event.term;
    m_peerToken = randomToken();
    m_fenced = false;
    m_plan.emplace(m_options.plan);
    m_context.metrics.setLeading(true);
    m_plan->setEngines(std::move(event.engines));
    m_plan->begin(m_context.clock.now(), m_listeningSince);
    m_planReply.invalidate();
}

void ResidencyThread::on(NotLeading & /*event*/)
{
    m_term = 0;
    abandonOrigins();
    m_context.metrics.setLeading(false);
    m_plan.reset();
}

void ResidencyThread::on(ConfigurationChanged &event)
{
    if (m_plan) {
        m_plan->setEngines(std::move(event.engines));
        m_cold.setLimits(std::move(event.coldLimits));
    }
}

void ResidencyThread::on(EvacuationsChanged &event)
{
    m_cold.setEvacuated(m_context.clock.now(), std::move(event.evacuated));
}

void ResidencyThread::on(OrderDone &event)
{
    if (!m_plan || event.term != m_term) {
        return;
    }
    base::LogLine line("order_answered");
    addOrder(line, event.order);
    m_context.log.write(line.add("verdict", placement::RESIDENCY_ORDER_RESULT_NAMES.name(event.verdict))
                            .add("age_ms", event.endedAt - event.sentAt)
                            .add("handled_after_ms", m_context.clock.now() - event.endedAt)
                            .add("term", static_cast<std::int64_t>(event.term)));
    m_context.metrics.orderEnded(
        placement::RESIDENCY_ORDER_RESULT_NAMES.name(event.verdict), m_context.clock.now() - event.sentAt);
    m_fenced = m_fenced || event.verdict == placement::ResidencyOrderResult::Fenced;
    m_plan->ordered(m_context.clock.now(), event.order.worker, event.verdict);
}

void ResidencyThread::on(InspectionDone &event)
{
    if (m_plan && event.term == m_term) {
        const base::Millis now = m_context.clock.now();
        const bool isSuspected = m_suspects.isSuspected(event.worker);
        if (isSuspected || !event.found) {
            m_context.log.write(base::LogLine("upstream_inspected")
                                    .add("upstream", event.worker)
                                    .add("end", http::END_KIND_NAMES.name(event.kind))
                                    .add("status", event.status)
                                    .add("age_ms", now - event.sentAt)
                                    .add("suspected", static_cast<std::int64_t>(isSuspected))
                                    .add("term", static_cast<std::int64_t>(m_term)));
        }
        const control::Connection connection = connectionOf(event);
        const control::SuspectVerdict verdict = m_suspects.onInspected(now, event.worker, event.sentAt, connection);
        if (verdict == control::SuspectVerdict::Unreachable) {
            m_context.log.write(base::LogLine("upstream_unreachable")
                                    .add("upstream", event.worker)
                                    .add("connection", control::CONNECTION_NAMES.name(connection))
                                    .add("term", static_cast<std::int64_t>(m_term)));
            m_context.metrics.unreachable();
            m_plan->unreachable(event.worker);
            m_crashes.onUnreachable(now, event.worker);
        } else if (verdict == control::SuspectVerdict::InspectAgain) {
            inspectSuspect(event.worker);
        }
        m_plan->inspected(now, event.worker, event.found);
    }
}

void ResidencyThread::on(QuarantinesRecorded &event)
{
    if (m_plan && event.term == m_term) {
        m_crashes.onRecorded(event.term, event.number, event.committed, *this);
    }
}

control::Connection ResidencyThread::connectionOf(const InspectionDone &event) const
{
    const bool isReplaced = event.kind == http::EndKind::Complete && m_context.dialect.isOtherProcess(event.status);
    return isReplaced ? control::Connection::Replaced : control::connectionOf(event.kind);
}

void ResidencyThread::updateWorkers(base::Millis now)
{
    std::vector<placement::WorkerReport> reports;
    std::set<std::pair<std::string, std::uint64_t>> leaving;
    for (const standing::Report &it : m_permits.reports(now)) {
        if (it.leaving) {
            leaving.emplace(it.run.id, it.run.incarnation);
        }
    }
    const std::vector<membership::Entry> upstreams = m_context.upstreams.list(now);
    const bool hasUnconfirmed = m_crashes.hasUnconfirmed();
    if (hasUnconfirmed) {
        for (const standing::Run &it : m_context.upstreams.replaced(now)) {
            m_crashes.onUnreachable(now, it.id);
        }
    }
    for (const membership::Entry &it : upstreams) {
        if (hasUnconfirmed) {
            m_crashes.onRun(now, {it.announcement.id, it.announcement.incarnation});
        }
        reports.push_back(reportOf(it.announcement));
        // Its responses may report this before its next announcement does.
        reports.back().leaving =
            it.announcement.leaving || leaving.contains({it.announcement.id, it.announcement.incarnation});
        // What callers cannot reach there is to be loaded elsewhere.
        reports.back().leaving = reports.back().leaving || m_cold.isEvacuated(it.announcement.dataCentre);
        reports.back().overdue = it.expiresAt - now < m_options.minRemainingLease;
        if (const auto cold = m_cold.find(now, it)) {
            m_permits.setCold(now, {it.announcement.id, it.announcement.incarnation}, *cold);
        }
        if (reports.back().overdue && !reports.back().leaving) {
            suspect(it.announcement.id);
        }
    }
    m_plan->setWorkers(now, reports);
    recordSoftware(now, upstreams);
}

bool ResidencyThread::hasConfirmedLeadership(base::Millis now) const
{
    const auto confirmedAt = m_context.voter.status().confirmedAt;
    return !m_fenced && confirmedAt && now - *confirmedAt < m_options.leadershipMaxAge;
}

void ResidencyThread::decide()
{
    const base::Millis now = m_context.clock.now();
    updateWorkers(now);
    if (!hasConfirmedLeadership(now)) {
        return;
    }
    const placement::ResidencyActions actions = m_plan->plan(now);
    m_planReply.invalidate();
    for (const placement::ModelArrival &it : actions.arrivals) {
        const std::string_view source = it.source ? placement::LOAD_SOURCE_NAMES.name(*it.source) : UNEXPLAINED;
        m_context.log.write(base::LogLine("model_arrived")
                                .add("upstream", it.worker)
                                .add("model", it.model)
                                .add("source", source)
                                .add("since_order_ms", it.sinceOrder)
                                .add("term", static_cast<std::int64_t>(m_term)));
        m_context.metrics.modelArrived(source);
    }
    for (const placement::ResidencyOrder &it : actions.orders) {
        send(it);
    }
    for (const placement::Inspection &it : actions.inspections) {
        inspect(it);
    }
}

http::Call ResidencyThread::limited(http::Call call) const
{
    call.connectTimeout = m_options.connectTimeout;
    call.firstByteTimeout = m_options.timeout;
    call.progressTimeout = m_options.timeout;
    call.totalTimeout = m_options.timeout;
    call.maxAnswerBytes = m_options.maxAnswerBytes;
    return call;
}

void ResidencyThread::send(const placement::ResidencyOrder &order)
{
    base::LogLine line("order_sent");
    addOrder(line, order);
    line.add("reason", order.reason);
    if (order.source) {
        line.add("announcement_age_ms", order.announcementAge)
            .add("store_loads", static_cast<std::int64_t>(m_plan->storeLoads()));
    }
    m_context.log.write(line.add("term", static_cast<std::int64_t>(m_term)));
    m_context.metrics.ordered(placement::RESIDENCY_ORDER_KIND_NAMES.name(order.kind), order.reason);
    const OrderSender sender{m_options.vm, m_term};
    http::Call call = limited(m_context.dialect.order(order, sender));
    call.startTimeout = m_options.startTimeout;
    m_context.client.start(std::move(call), std::make_shared<OrderListener>(*this, m_term, order));
}

void ResidencyThread::inspect(const placement::Inspection &inspection)
{
    m_context.client.start(limited(m_context.dialect.inspect(inspection)),
        std::make_shared<InspectionListener>(*this, m_term, inspection.worker));
}

} // namespace bamboomoor::gateway
