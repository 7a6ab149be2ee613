/**
 * One daemon: all its threads, from its start to its graceful end.
 */
#include "bamboomoor/daemon/daemon.hpp"

#include "bamboomoor/http/memoryplan.hpp"

#include <glog/logging.h>

#include <algorithm>
#include <iterator>
#include <thread>
#include <utility>

namespace bamboomoor::daemon
{

namespace
{

using Json = nlohmann::json;

constexpr base::Millis DRAIN_POLL{20};
// The time before the end of a drain in which the requests that are left get a failure as their response.
constexpr base::Millis FINAL_RESPONSES{200};
constexpr int WARMING_LEASES = 2;
// Entries learn of a quarantine within this time.
constexpr base::Millis REPORT_INTERVAL{250};
constexpr base::Millis DEMAND_SPAN{1'000};

std::vector<control::VoterAddress> voterAddresses(const settings::Settings &settings)
{
    std::vector<control::VoterAddress> addresses;
    std::transform(
        settings.voters.begin(), settings.voters.end(), std::back_inserter(addresses), [](const settings::Voter &it) {
            return control::VoterAddress{it.name, it.address};
        });
    return addresses;
}

/** @brief Tells apart the starts of this daemon; later starts have greater numbers. */
std::uint64_t incarnation()
{
    static const auto number = static_cast<std::uint64_t>(base::wallClock().count);
    return number;
}

std::uint64_t seedOf(const settings::Settings &settings)
{
    return std::hash<std::string>()(settings.vm) ^ incarnation();
}

bool isVoter(const settings::Settings &settings)
{
    return settings.dataFolder.has_value()
        && std::any_of(settings.voters.begin(), settings.voters.end(), [&](const settings::Voter &it) {
               return it.name == settings.vm;
           });
}

membership::RegistryOptions registryOptions(const settings::Settings &settings)
{
    membership::RegistryOptions options;
    options.lease = settings.upstreams.lease;
    options.epoch = incarnation();
    return options;
}

entry::DeskOptions deskOptions(const settings::Settings &settings)
{
    entry::DeskOptions options;
    options.vm = settings.vm;
    options.incarnation = incarnation();
    options.queueLimit = static_cast<std::size_t>(settings.entry.queueLimit);
    options.engineDepth = static_cast<std::uint64_t>(settings.upstreams.engineDepth);
    options.progressTimeout = settings.upstreams.progressTimeout;
    options.maxClosure = settings.upstreams.maxClosure;
    options.driftPermille = settings.budget.driftPermille;
    options.seed = seedOf(settings);
    return options;
}

entry::FreshnessOptions freshnessOptions(const settings::Settings &settings)
{
    entry::FreshnessOptions options;
    options.vm = settings.vm;
    options.lease = settings.control.freshnessLease;
    return options;
}

entry::DemandReportOptions demandOptions(const settings::Settings &settings)
{
    entry::DemandReportOptions options;
    options.vm = settings.vm;
    options.dataCentre = settings.dataCentre;
    options.interval = REPORT_INTERVAL;
    options.minDemandSpan = DEMAND_SPAN;
    return options;
}

http::ServerOptions serverOptions(const settings::Settings &settings)
{
    http::ServerOptions options;
    options.maxBodyBytes = static_cast<std::size_t>(settings.entry.maxBodyBytes);
    options.threads = static_cast<unsigned>(settings.entry.threads);
    const http::MemoryPlan plan =
        http::planMemory(settings::machineBytes(settings.memory), options.maxBodyBytes, http::MemoryRole::Entry);
    options.maxHeldBodyBytes = plan.bodyBytes;
    options.bodyCopies = http::BODY_COPIES;
    options.maxAllStreamBytes = plan.streamBytes;
    options.maxUnfinishedHeads = plan.unfinishedHeads;
    return options;
}

std::optional<VoterParts> partsOf(Voter *voter)
{
    if (voter == nullptr) {
        return std::nullopt;
    }
    return VoterParts{voter->desk(), voter->freshen(), voter->budget(), voter->placement()};
}

Json describe(const membership::Entry &entry)
{
    const membership::Announcement &it = entry.announcement;
    Json json{{"id", it.id}, {"address", it.address}, {"data_centre", it.dataCentre},
        {"kind", membership::UPSTREAM_KIND_NAMES.name(it.kind)}, {"service", it.service}, {"leaving", it.leaving},
        {"running", it.load.running}, {"queued", it.load.queued}, {"accelerators", Json::array()}};
    for (const membership::Accelerator &accelerator : it.accelerators) {
        Json resident = Json::array();
        for (const membership::Resident &held : accelerator.resident) {
            resident.push_back({{"model", held.model}, {"adapter", held.adapter}, {"version", held.version},
                {"memory_mib", held.memoryMib}});
        }
        json["accelerators"].push_back(
            {{"id", accelerator.id}, {"memory_mib", accelerator.memoryMib}, {"resident", std::move(resident)}});
    }
    return json;
}

} // namespace

Daemon::Daemon(settings::Settings settings)
    : m_settings(std::move(settings))
    , m_peers(voterAddresses(m_settings))
    , m_leader(m_peers.names())
    , m_heard(registryOptions(m_settings))
    , m_book(registryOptions(m_settings))
    , m_voter(makeVoter())
    , m_sync({.vm = m_settings.vm, .self = m_settings.vm}, m_heard, m_book, m_peers, m_clock)
    , m_desk(deskOptions(m_settings), {m_clock, m_inForce, m_book, m_peers, m_leader, m_client, m_metrics})
    , m_freshness(freshnessOptions(m_settings), m_inForce, m_peers, m_leader, m_clock,
          [this] {
              m_desk.configurationChanged();
          })
    , m_demand(demandOptions(m_settings), m_desk, m_book, m_peers, m_leader, m_clock)
    , m_operators(
          m_settings.operatorToken, m_peers, m_leader,
          [this] {
              return status();
          },
          [this] {
              m_drainRequested = true;
          })
    , m_front({m_clock, m_inForce, m_heard, m_book, m_sync, m_metrics, m_desk, m_operators})
    , m_peerService(
          partsOf(m_voter.get()), m_book, m_clock, m_clock.now() + m_settings.upstreams.lease * WARMING_LEASES)
    , m_server(m_front, serverOptions(m_settings))
    , m_peerServer(m_peerService)
{
    m_desk.setUrgentReport([this] {
        m_demand.urge();
    });
}

std::unique_ptr<Voter> Daemon::makeVoter()
{
    if (!isVoter(m_settings)) {
        return nullptr;
    }
    const auto upstreams = [this] {
        return m_book.list(m_clock.now());
    };
    return std::make_unique<Voter>(m_settings, m_peers, upstreams, m_client, m_clock, seedOf(m_settings));
}

Daemon::~Daemon()
{
    stop();
}

base::Result<void, std::string> Daemon::start()
{
    if (!m_peerServer.start(m_settings.peerListen)) {
        return base::failure("peer_listen: cannot listen on " + m_settings.peerListen);
    }
    if (m_voter) {
        BOOST_OUTCOME_TRY(m_voter->start());
    }
    m_sync.start();
    m_desk.start();
    m_freshness.start();
    m_demand.start();
    m_operators.start();
    const auto address = m_server.start(m_settings.listen);
    if (!address) {
        return base::failure("listen: " + address.error().message);
    }
    LOG(INFO) << "event=started vm=" << m_settings.vm << " listen=" << address.value()
              << " voter=" << (m_voter != nullptr);
    return base::success();
}

bool Daemon::drain()
{
    LOG(INFO) << "event=draining in_progress=" << m_desk.inProgress();
    const base::Millis limit = m_clock.now() + m_settings.entry.drainLimit;
    m_front.drain();
    std::this_thread::sleep_for(std::chrono::milliseconds(m_settings.entry.drainNotice.count));
    m_server.quiesce();
    const base::Millis terminateAt = limit - FINAL_RESPONSES;
    while (m_desk.inProgress() > 0 && m_clock.now() < terminateAt) {
        std::this_thread::sleep_for(std::chrono::milliseconds(DRAIN_POLL.count));
    }
    if (m_desk.inProgress() > 0) {
        LOG(WARNING) << "event=drain_limit terminated=" << m_desk.inProgress();
        m_desk.stop();
    }
    const bool whole = m_server.stop(std::max(limit - m_clock.now(), base::Millis{0}));
    LOG(INFO) << "event=drained whole=" << whole;
    return whole;
}

void Daemon::stop()
{
    if (m_stopped.exchange(true)) {
        return;
    }
    m_operators.stop();
    m_demand.stop();
    m_freshness.stop();
    m_desk.stop();
    m_server.stop({0});
    m_sync.stop();
    m_client.stop();
    if (m_voter) {
        m_voter->stop();
    }
    m_peerServer.stop();
    m_peers.stop();
}

nlohmann::json Daemon::status() const
{
    const base::Millis now = m_clock.now();
    const auto held = m_inForce.current();
    const std::int64_t left = std::max<std::int64_t>(0, (m_inForce.freshUntil() - now).count);
    const std::string_view reason = m_front.unready();
    Json json{{"outcome", "done"}, {"vm", m_settings.vm}, {"data_centre", m_settings.dataCentre},
        {"region", m_settings.region}, {"leader", m_leader.get()}, {"version", held ? held->version : 0},
        {"digest", held ? held->digest : ""}, {"author", held ? held->author : ""},
        {"since_wall_ms", held ? held->wallMillis : 0}, {"fresh_for_ms", left}, {"ready", reason.empty()},
        {"unready_reason", reason}, {"in_progress", m_desk.inProgress()}, {"voter", voterStatus()},
        {"upstreams", Json::array()}};
    for (const membership::Entry &it : m_book.list(now)) {
        json["upstreams"].push_back(describe(it));
    }
    return json;
}

nlohmann::json Daemon::voterStatus() const
{
    if (!m_voter) {
        return nullptr;
    }
    const control::VoterStatus it = m_voter->desk().status();
    return {{"role", consensus::ROLE_NAMES.name(it.role)}, {"term", it.term}, {"leader", it.leader},
        {"commit_index", it.commitIndex}, {"applied_index", it.appliedIndex}, {"voters", it.voters},
        {"learners", it.learners}, {"failed", it.failed}, {"write_error", it.writeError}};
}

} // namespace bamboomoor::daemon
