/**
 * Implements the placement thread.
 */
#include "bamboomoor/control/placementthread.hpp"

#include "bamboomoor/control/orderreply.hpp"

#include <glog/logging.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <memory>
#include <utility>

namespace bamboomoor::control
{

namespace
{

constexpr std::size_t RING_SIZE = 16'384;
constexpr double MILLIS_PER_SECOND = 1'000.0;
// Requests per second of a replica whose model has no concurrency setting.
constexpr double DEFAULT_RATE = 5.0;
constexpr base::Millis ORDER_CONNECT_TIMEOUT{1'000};
constexpr base::Millis ORDER_TIMEOUT{120'000};
// Maximum bytes of an upstream's reply to an order or an inspection.
constexpr std::size_t MAX_REPLY_BYTES = 65'536;

placement::CatalogueEntry entryOf(const config::Model &model, placement::ModelRef ref)
{
    placement::CatalogueEntry entry;
    entry.ref = std::move(ref);
    entry.memoryMib = static_cast<std::uint64_t>(model.memoryMib);
    entry.minReplicas = static_cast<std::uint32_t>(std::max<std::int64_t>(1, model.minReplicas));
    entry.ratePerReplica = model.concurrency > 0 ? static_cast<double>(model.concurrency) : DEFAULT_RATE;
    return entry;
}

placement::Catalogue catalogueOf(const state::Machine &machine)
{
    const std::shared_ptr<const config::Document> document = machine.configuration().document();
    placement::Catalogue catalogue;
    for (const config::Model &model : document->models) {
        catalogue.entries.push_back(entryOf(model, {model.name, "", ""}));
        for (const config::Version &version : document->versions) {
            if (version.model == model.name) {
                catalogue.entries.push_back(entryOf(model, {model.name, "", version.version}));
            }
        }
    }
    for (const config::Adapter &adapter : document->adapters) {
        catalogue.entries.push_back(
            {{adapter.model, adapter.name, ""}, static_cast<std::uint64_t>(adapter.memoryMib), 1, DEFAULT_RATE});
    }
    return catalogue;
}

placement::Order orderOf(const state::RecordIntent &intent)
{
    placement::Order order;
    order.id = intent.orderId;
    order.fencing = intent.fencing;
    order.upstream = intent.upstream;
    order.incarnation = intent.incarnation;
    order.accelerator = intent.accelerator;
    order.kind = intent.kind == state::OrderKind::Load ? placement::OrderKind::Load : placement::OrderKind::Unload;
    order.ref = {intent.model, intent.adapter, intent.version};
    order.memoryMib = static_cast<std::uint64_t>(intent.memoryMib);
    return order;
}

state::RecordIntent intentOf(const placement::Order &order)
{
    state::RecordIntent intent;
    intent.orderId = order.id;
    intent.fencing = order.fencing;
    intent.upstream = order.upstream;
    intent.incarnation = order.incarnation;
    intent.accelerator = order.accelerator;
    intent.kind = order.kind == placement::OrderKind::Load ? state::OrderKind::Load : state::OrderKind::Unload;
    intent.model = order.ref.model;
    intent.adapter = order.ref.adapter;
    intent.version = order.ref.version;
    intent.memoryMib = static_cast<std::int64_t>(order.memoryMib);
    return intent;
}

state::OrderEnd endOf(placement::IntentOutcome end)
{
    switch (end) {
    case placement::IntentOutcome::Done:
        return state::OrderEnd::Done;
    case placement::IntentOutcome::Failed:
        return state::OrderEnd::Failed;
    case placement::IntentOutcome::Void:
        return state::OrderEnd::Void;
    }
    return state::OrderEnd::Failed;
}

std::optional<state::IntentCode> codeOf(const ProposalOutcome &verdict)
{
    if (!verdict.outcome || !std::holds_alternative<state::IntentOutcome>(*verdict.outcome)) {
        return std::nullopt;
    }
    return std::get<state::IntentOutcome>(*verdict.outcome).code;
}

/** @brief Converts the result of an intent's proposal to a planner input; nullopt while it may still be committed. */
std::optional<placement::Input> readIntent(const std::string &orderId, const ProposalOutcome &verdict)
{
    if (verdict.status == consensus::ProposalStatus::Unknown) {
        return std::nullopt;
    }
    if (codeOf(verdict) == state::IntentCode::Recorded) {
        return placement::IntentCommitted{orderId};
    }
    return placement::IntentRefused{orderId};
}

nlohmann::json orderBody(const placement::Order &order)
{
    return {{"order_id", order.id}, {"fencing", order.fencing}, {"incarnation", order.incarnation},
        {"kind", placement::ORDER_KIND_NAMES.name(order.kind)}, {"accelerator", order.accelerator},
        {"model", order.ref.model}, {"adapter", order.ref.adapter}, {"version", order.ref.version},
        {"memory_mib", order.memoryMib}};
}

} // namespace

/** @brief Converts an upstream's response to an order into a planner input. */
class PlacementThread::OrderListener final : public http::Listener
{
public:
    OrderListener(PlacementThread &desk, std::uint64_t term, std::string orderId)
        : m_desk(desk)
        , m_term(term)
        , m_orderId(std::move(orderId))
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
        m_desk.post(PlannerInput{m_term, placement::OrderReply{m_orderId, judge(ending)}});
    }

private:
    [[nodiscard]] placement::TransportResult judge(const http::Ending &ending) const
    {
        const bool whole = ending.kind == http::EndKind::Complete && ending.delimited;
        if (!whole) {
            return ending.bytesSent ? placement::TransportResult::Unknown : placement::TransportResult::Refused;
        }
        return readOrderReply(m_status, m_body);
    }

    PlacementThread &m_desk;
    const std::uint64_t m_term;
    const std::string m_orderId;
    int m_status = 0;
    std::string m_body;
};

/** @brief Posts how the connection of an inspection ended. */
class PlacementThread::InspectionListener final : public http::Listener
{
public:
    InspectionListener(PlacementThread &desk, std::uint64_t term, std::string upstream)
        : m_desk(desk)
        , m_term(term)
        , m_upstream(std::move(upstream))
        , m_sentAt(desk.m_clock.now())
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
        m_desk.post(InspectionDone{m_term, m_upstream, m_sentAt, ending.kind, m_status});
    }

private:
    PlacementThread &m_desk;
    const std::uint64_t m_term;
    const std::string m_upstream;
    const base::Millis m_sentAt;
    int m_status = 0;
};

PlacementThread::PlacementThread(PlacementThreadOptions options, VoterThread &voter, ListUpstreams upstreams,
    http::Client &client, const base::Clock &clock)
    : m_options(options)
    , m_voter(voter)
    , m_upstreams(std::move(upstreams))
    , m_client(client)
    , m_clock(clock)
    , m_ring(RING_SIZE)
    , m_planner(placement::makeTargetPolicy(placement::PolicyKind::DemandAware), options.planner)
    , m_suspects(options.suspects)
{
}

PlacementThread::~PlacementThread()
{
    stop();
}

void PlacementThread::start()
{
    m_thread = std::thread([this] {
        run();
    });
}

void PlacementThread::stop()
{
    m_stopping = true;
    m_ring.close();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void PlacementThread::report(const peer::wire::DemandReport &request, peer::Answer<peer::wire::DemandReply> answer)
{
    post(ReportEvent{request, std::move(answer)});
}

void PlacementThread::onLeading(std::uint64_t term, const state::Machine &machine)
{
    placement::BecomeLeader input;
    input.term = term;
    input.lastFencing = machine.leaderLog().lastFencing();
    for (const auto &[id, intent] : machine.leaderLog().openIntents()) {
        input.openIntents.push_back(orderOf(intent));
    }
    post(Leading{term, std::move(input), catalogueOf(machine), machine.quarantines().ends()});
}

void PlacementThread::onNotLeading()
{
    post(NotLeading{});
}

void PlacementThread::onConfiguration(const state::Machine &machine)
{
    post(CatalogueChanged{catalogueOf(machine)});
}

void PlacementThread::post(Event event)
{
    if (m_ring.push(std::move(event))) {
        return;
    }
    // A rejected push does not move from the event.
    if (auto *report = std::get_if<ReportEvent>(&event)) { // NOLINT(bugprone-use-after-move)
        refuse(*report);
    } else if (const auto *done = std::get_if<InspectionDone>(&event)) { // NOLINT(bugprone-use-after-move)
        LOG(WARNING) << "event=inspection_dropped upstream=" << done->upstream;
    } else if (!m_ring.closed()
        && std::holds_alternative<QuarantinesRecorded>(event)) { // NOLINT(bugprone-use-after-move)
        LOG(WARNING) << "event=verdict_dropped command=record_quarantines";
    } else if (!m_ring.closed()) {
        LOG(FATAL) << "event=placement_ring_full";
    }
}

void PlacementThread::refuse(ReportEvent &event) const
{
    peer::wire::DemandReply reply;
    reply.set_leader(m_voter.status().leader);
    event.answer(std::move(reply));
}

void PlacementThread::run()
{
    while (!m_stopping) {
        const base::Millis now = m_clock.now();
        const base::Millis due = std::min(m_nextDecision, m_suspects.dueAt().value_or(m_nextDecision));
        auto event = m_ring.pop(std::max(due - now, base::Millis{0}));
        while (event) {
            std::visit(
                [this](auto &it) {
                    on(it);
                },
                *event);
            event = m_ring.pop({0});
        }
        for (const std::string &it : m_suspects.takeDue(m_clock.now())) {
            startInspection(it);
        }
        if (m_clock.now() >= m_nextDecision) {
            m_nextDecision = m_clock.now() + m_options.interval;
            if (m_term != 0) {
                decide();
            }
        }
    }
    while (auto event = m_ring.pop({0})) {
        if (auto *report = std::get_if<ReportEvent>(&*event)) {
            refuse(*report);
        }
    }
}

void PlacementThread::on(ReportEvent &event)
{
    if (m_term == 0) {
        refuse(event);
        return;
    }
    EntryReport &report = m_entries[event.request.vm()];
    report.at = m_clock.now();
    report.drained.clear();
    // A report without a span leaves the demand out.
    if (event.request.span_ms() > 0) {
        const double seconds = static_cast<double>(event.request.span_ms()) / MILLIS_PER_SECOND;
        report.demand.clear();
        for (const auto &it : event.request.demands()) {
            report.demand.push_back(
                {{it.model(), it.adapter(), it.version()}, static_cast<double>(it.requests()) / seconds, it.queued()});
        }
    }
    for (const auto &it : event.request.drained()) {
        report.drained.insert({it.upstream(), {it.model(), it.adapter(), it.version()}});
    }
    peer::wire::DemandReply reply;
    reply.set_served(true);
    reply.set_term(m_term);
    reply.set_leader(m_voter.status().leader);
    for (const auto &[upstream, ref] : m_draining) {
        auto *drain = reply.add_draining();
        drain->set_upstream(upstream);
        drain->set_model(ref.model);
        drain->set_adapter(ref.adapter);
        drain->set_version(ref.version);
    }
    m_crashes.exchange(m_clock.now(), m_term, event.request, reply, *this);
    event.answer(std::move(reply));
}

void PlacementThread::on(Leading &event)
{
    m_term = event.term;
    m_reported.clear();
    m_entries.clear();
    m_draining.clear();
    m_crashes = CrashReports(m_options.crashes);
    m_crashes.begin(m_clock.now(), base::wallClock(), m_term, event.quarantines, *this);
    // Results of an earlier term are not waited for.
    m_suspects = SuspectTracker(m_options.suspects);
    step(event.catalogue);
    step(event.input);
}

void PlacementThread::on(NotLeading & /*event*/)
{
    m_term = 0;
    m_draining.clear();
    static_cast<void>(m_planner.step(m_clock.now(), placement::StopLeading{}));
}

void PlacementThread::on(CatalogueChanged &event)
{
    if (m_term != 0) {
        step(event.catalogue);
    }
}

void PlacementThread::on(PlannerInput &event)
{
    if (event.term == m_term) {
        step(event.input);
    }
}

void PlacementThread::on(InspectionDone &event)
{
    if (event.term != m_term) {
        return;
    }
    const base::Millis now = m_clock.now();
    log(base::LogLine("upstream_inspected")
            .add("upstream", event.upstream)
            .add("end", http::END_KIND_NAMES.name(event.kind))
            .add("status", event.status)
            .add("age_ms", now - event.sentAt)
            .add("suspected", static_cast<std::int64_t>(m_suspects.isSuspected(event.upstream)))
            .add("term", static_cast<std::int64_t>(m_term)));
    const Connection connection = connectionOf(event.kind);
    switch (m_suspects.onInspected(now, event.upstream, event.sentAt, connection)) {
    case SuspectVerdict::Unreachable:
        log(base::LogLine("upstream_unreachable")
                .add("upstream", event.upstream)
                .add("connection", CONNECTION_NAMES.name(connection))
                .add("term", static_cast<std::int64_t>(m_term)));
        m_crashes.onUnreachable(now, event.upstream);
        break;
    case SuspectVerdict::InspectAgain:
        startInspection(event.upstream);
        break;
    case SuspectVerdict::None:
        break;
    }
}

void PlacementThread::on(QuarantinesRecorded &event)
{
    if (event.term == m_term) {
        m_crashes.onRecorded(event.term, event.number, event.committed, *this);
    }
}

void PlacementThread::log(const base::LogLine &line)
{
    LOG(INFO) << line.text();
}

void PlacementThread::inspect(const std::string &upstream)
{
    if (m_suspects.suspect(m_clock.now(), upstream)) {
        startInspection(upstream);
    }
}

void PlacementThread::startInspection(const std::string &upstream)
{
    const auto upstreams = m_upstreams();
    const auto found = std::find_if(upstreams.begin(), upstreams.end(), [&upstream](const membership::Entry &it) {
        return it.announcement.id == upstream;
    });
    if (found == upstreams.end()) {
        return;
    }
    http::Call call;
    call.method = "HEAD";
    call.url = "http://" + found->announcement.address + "/";
    call.connectTimeout = m_options.inspectionTimeout;
    call.firstByteTimeout = m_options.inspectionTimeout;
    call.totalTimeout = m_options.inspectionTimeout * 2;
    call.maxAnswerBytes = MAX_REPLY_BYTES;
    call.freshConnection = true;
    m_client.start(std::move(call), std::make_shared<InspectionListener>(*this, m_term, upstream));
}

void PlacementThread::countQuarantine()
{
    // Entries count the quarantines that reach them.
}

void PlacementThread::record(const QuarantineRecord &record)
{
    const state::Command command = recordCommand(m_clock.now(), base::wallClock(), record.quarantines);
    m_voter.propose(
        state::encode(command), m_term, [this, term = m_term, number = record.number](const ProposalOutcome &verdict) {
            post(QuarantinesRecorded{term, number, verdict.status == consensus::ProposalStatus::Committed});
        });
}

void PlacementThread::decide()
{
    feedReports();
    feedDemand();
    confirmDrains();
    step(placement::Tick{});
}

void PlacementThread::feedReports()
{
    std::set<std::string> live;
    const bool hasUnconfirmed = m_crashes.hasUnconfirmed();
    for (const membership::Entry &it : m_upstreams()) {
        const membership::Announcement &announcement = it.announcement;
        if (hasUnconfirmed) {
            m_crashes.onRun(m_clock.now(), {announcement.id, announcement.incarnation});
        }
        if (announcement.kind != membership::UpstreamKind::ModelWorker) {
            continue;
        }
        live.insert(announcement.id);
        const std::pair<std::uint64_t, std::uint64_t> seen{announcement.incarnation, announcement.sequence};
        auto &known = m_reported[announcement.id];
        if (known != seen) {
            known = seen;
            step(placement::Report{announcement});
        }
    }
    std::vector<std::string> expired;
    for (const auto &[id, seen] : m_reported) {
        if (live.count(id) == 0) {
            expired.push_back(id);
        }
    }
    for (const std::string &id : expired) {
        m_reported.erase(id);
        step(placement::UpstreamExpired{id});
    }
}

void PlacementThread::feedDemand()
{
    const base::Millis now = m_clock.now();
    std::erase_if(m_entries, [&](const auto &it) {
        return it.second.at + m_options.entryTimeout < now;
    });
    std::map<placement::ModelRef, placement::DemandSample> sums;
    for (const auto &[vm, report] : m_entries) {
        for (const placement::DemandSample &it : report.demand) {
            placement::DemandSample &sum = sums[it.ref];
            sum.ref = it.ref;
            sum.arrivalsPerSecond += it.arrivalsPerSecond;
            sum.queued += it.queued;
        }
    }
    placement::Demand demand;
    for (auto &[ref, sum] : sums) {
        demand.samples.push_back(std::move(sum));
    }
    step(demand);
}

void PlacementThread::confirmDrains()
{
    // Immediately after a leader change no entry has reported yet, so no drain can be confirmed.
    if (m_entries.empty()) {
        return;
    }
    const std::set<Drain> draining = m_draining;
    for (const Drain &drain : draining) {
        const bool everywhere = std::all_of(m_entries.begin(), m_entries.end(), [&drain](const auto &it) {
            return it.second.drained.count(drain) != 0;
        });
        if (everywhere) {
            step(placement::DrainConfirmed{drain.second, drain.first});
        }
    }
}

void PlacementThread::step(const placement::Input &input)
{
    for (const placement::Output &it : m_planner.step(m_clock.now(), input)) {
        std::visit(
            [this](const auto &output) {
                execute(output);
            },
            it);
    }
}

void PlacementThread::execute(const placement::ProposeIntent &output)
{
    const std::string id = output.order.id;
    m_voter.propose(
        state::encode(intentOf(output.order)), m_term, [this, term = m_term, id](const ProposalOutcome &verdict) {
            if (auto input = readIntent(id, verdict)) {
                post(PlannerInput{term, *std::move(input)});
            }
        });
}

void PlacementThread::execute(const placement::SendOrder &output)
{
    const placement::Order &order = output.order;
    const auto upstreams = m_upstreams();
    const auto found = std::find_if(upstreams.begin(), upstreams.end(), [&order](const membership::Entry &it) {
        return it.announcement.id == order.upstream && it.announcement.incarnation == order.incarnation;
    });
    if (found == upstreams.end()) {
        post(PlannerInput{m_term, placement::OrderReply{order.id, placement::TransportResult::Refused}});
        return;
    }
    LOG(INFO) << "event=order_sent order=" << order.id << " kind=" << placement::ORDER_KIND_NAMES.name(order.kind)
              << " upstream=" << order.upstream << " accelerator=" << order.accelerator << " model=" << order.ref.model
              << " adapter=" << order.ref.adapter;
    http::Call call;
    call.method = "POST";
    call.url = "http://" + found->announcement.address + "/order";
    call.headers = {{"Content-Type", "application/json"}};
    call.body = orderBody(order).dump();
    call.connectTimeout = ORDER_CONNECT_TIMEOUT;
    call.firstByteTimeout = ORDER_TIMEOUT;
    call.totalTimeout = ORDER_TIMEOUT;
    call.maxAnswerBytes = MAX_REPLY_BYTES;
    call.freshConnection = true;
    m_client.start(std::move(call), std::make_shared<OrderListener>(*this, m_term, order.id));
}

void PlacementThread::execute(const placement::ProposeClose &output)
{
    const state::CloseIntent command{output.orderId, endOf(output.outcome)};
    m_voter.propose(
        state::encode(command), m_term, [this, term = m_term, id = output.orderId](const ProposalOutcome &verdict) {
            // Any code will do: an order that is no longer open was closed by an earlier proposal.
            if (codeOf(verdict)) {
                post(PlannerInput{term, placement::CloseCommitted{id}});
            }
        });
}

void PlacementThread::execute(const placement::StartDrain &output)
{
    m_draining.insert({output.upstream, output.ref});
}

void PlacementThread::execute(const placement::StopDrain &output)
{
    m_draining.erase({output.upstream, output.ref});
}

void PlacementThread::execute(const placement::StatusLine &output)
{
    LOG(INFO) << "event=placement " << output.text;
}

} // namespace bamboomoor::control
