/**
 * The thread that reports this entry's demand to the leader.
 */
#include "bamboomoor/entry/demandreport.hpp"

#include "bamboomoor/control/quarantinewire.hpp"
#include "bamboomoor/control/roomwire.hpp"

#include <algorithm>
#include <utility>

namespace bamboomoor::entry
{

namespace
{

// The end of one call and a few wishes; more wishes than that say nothing new.
constexpr std::size_t WAKES = 4;
// Between two reports that are wished for.
constexpr base::Millis URGED_INTERVAL{40};

} // namespace

DemandReport::DemandReport(DemandReportOptions options, DemandSource &source, UpstreamBook &book,
    const control::PeerRegistry &peers, LeaderHint &leader, const base::Clock &clock)
    : m_options(std::move(options))
    , m_source(source)
    , m_book(book)
    , m_peers(peers)
    , m_leader(leader)
    , m_clock(clock)
    , m_wakes(WAKES)
{
}

DemandReport::~DemandReport()
{
    stop();
}

void DemandReport::start()
{
    m_countedSince = m_clock.now();
    m_thread = std::thread([this] {
        run();
    });
}

void DemandReport::stop()
{
    m_stopping = true;
    m_wakes.close();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void DemandReport::urge()
{
    static_cast<void>(m_wakes.push(Wake{true, std::nullopt}));
}

void DemandReport::run()
{
    while (!m_stopping) {
        const base::Millis sentAt = m_clock.now();
        const std::string voter = m_leader.get();
        m_urged = false;
        m_peers.find(voter)->call(
            makeReport(), m_options.timeout, [this](std::optional<peer::wire::DemandReply> reply) {
                static_cast<void>(m_wakes.push(Wake{false, std::move(reply)}));
            });
        // The timeout of the call ends this wait.
        auto wake = m_wakes.pop(m_options.timeout * 2);
        while (wake && wake->urged) {
            m_urged = true;
            wake = m_wakes.pop(m_options.timeout * 2);
        }
        if (wake && wake->reply && wake->reply->served()) {
            take(*wake->reply, sentAt);
        }
        rest(sentAt);
    }
}

void DemandReport::rest(base::Millis sentAt)
{
    for (;;) {
        const base::Millis span = m_urged ? URGED_INTERVAL : m_options.interval;
        const base::Millis left = sentAt + span - m_clock.now();
        if (left <= base::Millis{0}) {
            return;
        }
        const auto wake = m_wakes.pop(left);
        if (!wake) {
            return;
        }
        m_urged = m_urged || wake->urged;
    }
}

void DemandReport::addDemand(base::Millis now, peer::wire::DemandReport &report)
{
    report.set_span_ms((now - m_countedSince).count);
    m_countedSince = now;
    for (const TargetDemand &it : m_source.takeDemand()) {
        if (it.target.kind == TargetKind::Generation) {
            auto *demand = report.add_demands();
            demand->set_model(it.target.model);
            demand->set_adapter(it.target.adapter);
            demand->set_version(it.target.version);
            demand->set_requests(it.requests);
            demand->set_queued(it.queued);
            demand->set_tokens(it.tokens);
        }
    }
}

peer::wire::DemandReport DemandReport::makeReport()
{
    const base::Millis now = m_clock.now();
    peer::wire::DemandReport report;
    report.set_vm(m_options.vm);
    report.set_forward_address(m_source.forwardAddress());
    report.set_data_centre(m_options.dataCentre);
    if (now - m_countedSince >= m_options.minDemandSpan) {
        addDemand(now, report);
    }
    for (const auto &[upstream, tokens] : m_source.waiting()) {
        auto *load = report.add_waiting();
        load->set_upstream(upstream);
        load->set_waiting_tokens(tokens);
    }
    for (const std::string &it : m_source.unreachable()) {
        report.add_unreachable(it);
    }
    for (const standing::Report &it : m_source.takeWords()) {
        auto *word = report.add_words();
        word->set_upstream(it.run.id);
        word->set_incarnation(it.run.incarnation);
        word->set_limited(it.limit.has_value());
        word->set_limit(it.limit.value_or(0));
        word->set_limit_age_ms((now - it.limitReceivedAt).count);
        word->set_wished(it.requestedPermits);
        word->set_leaving(it.leaving);
        if (it.room) {
            *word->mutable_room() = control::toWire(now, *it.room);
        }
    }
    control::toWire(now, m_source.takeQuarantineReport(), report);
    const lineage::Report streams = m_source.takeStreamReport();
    report.set_stream_sequence(streams.sequence);
    for (const lineage::StreamRecord &it : streams.streams) {
        auto *stream = report.add_streams();
        stream->set_stream(it.stream);
        stream->set_service(it.origin.service);
        stream->set_software(it.origin.software);
        stream->set_left_ms((it.until - now).count);
    }
    for (const DrainingReplica &it : m_draining) {
        if (!m_source.runsAt(it)) {
            auto *drained = report.add_drained();
            drained->set_upstream(it.upstream);
            drained->set_model(it.model);
            drained->set_adapter(it.adapter);
            drained->set_version(it.version);
        }
    }
    return report;
}

void DemandReport::take(const peer::wire::DemandReply &reply, base::Millis sentAt)
{
    LeaderNews news;
    for (const auto &it : reply.waiting()) {
        news.waiting.emplace(it.upstream(), it.waiting_tokens());
    }
    for (const auto &it : reply.placements()) {
        news.placements.push_back({it.upstream(), it.model(), it.adapter(), {it.ready_in_ms()}});
    }
    const base::Millis now = m_clock.now();
    for (const auto &it : reply.words()) {
        standing::LeaderReport told;
        told.run = {it.upstream(), it.incarnation()};
        told.limit = it.limited() ? std::optional(it.limit()) : std::nullopt;
        told.limitReceivedAt = now - base::Millis{it.limit_age_ms()};
        told.permits = it.permits();
        told.requestedAt = sentAt;
        told.nextPermitIn = {it.next_in_ms()};
        told.leaving = it.leaving();
        if (it.has_room()) {
            told.room = control::roomGrant(now, it.room());
        }
        news.words.push_back(std::move(told));
    }
    news.quarantine = control::quarantineReply(now, reply);
    news.peers.assign(reply.peers().begin(), reply.peers().end());
    news.peerToken = reply.peer_token();
    news.term = reply.term();
    news.streamSequence = reply.stream_sequence();
    m_source.takeNews(std::move(news));
    std::set<DrainingReplica> draining;
    for (const auto &it : reply.draining()) {
        draining.insert({it.upstream(), it.model(), it.adapter(), it.version()});
    }
    if (draining != m_draining) {
        m_draining = draining;
        m_book.setDraining(std::move(draining));
    }
}

} // namespace bamboomoor::entry
