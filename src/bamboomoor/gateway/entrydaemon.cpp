/**
 * Implements the daemon of an entry VM.
 */
#include "bamboomoor/gateway/entrydaemon.hpp"

#include <algorithm>
#include <chrono>
#include <functional>
#include <thread>
#include <utility>

namespace bamboomoor::gateway
{

namespace
{

constexpr base::Millis DRAIN_POLL{50};
// The time before the end of a drain in which the requests that are left get a failure as their response.
constexpr base::Millis FINAL_RESPONSES{200};
// What the lines between entries and to upstreams add to the head of a caller's request.
constexpr std::size_t FORWARD_HEADER_BYTES = 4'096;
// Interval of the demand reports, on which placement is based.
constexpr base::Millis DEMAND_INTERVAL{250};
// Budget holder: interval of its reports, and the longest time that a request waits for tokens.
constexpr base::Millis BUDGET_REPORT{60};
constexpr base::Millis BUDGET_PATIENCE{600};

entry::UpstreamSyncOptions syncOptions(const settings::Settings &settings)
{
    entry::UpstreamSyncOptions options;
    options.vm = settings.vm;
    options.keepsWhenCutOff = settings.relay.servesWhenCutOff;
    return options;
}

RelayThreadOptions runnerOptions(const settings::Settings &settings, const http::MemoryPlan &plan)
{
    RelayThreadOptions options;
    options.core.fleet.dataCentre = settings.dataCentre;
    options.core.fleet.seed = std::hash<std::string>()(settings.vm) ^ incarnation();
    options.core.reach.seed = options.core.fleet.seed;
    options.forwardAddress = settings.forwardListen;
    options.upstreamLease = settings.upstreams.lease;
    options.outdatedLimit = settings.relay.outdatedLimit;
    options.servesWhenCutOff = settings.relay.servesWhenCutOff;
    options.core.retries.permille = settings.relay.retryPermille;
    options.core.retries.window = settings.relay.retryWindow;
    options.core.maxResponseBytes = static_cast<std::size_t>(settings.relay.maxAnswerBytes);
    options.core.maxBufferedBytes = std::min(static_cast<std::size_t>(settings.relay.maxHeldBytes), plan.answerBytes);
    options.maxTotalUnreadBytes = std::min(options.maxTotalUnreadBytes, plan.unreadBytes);
    options.core.budget.name = settings.vm;
    options.core.budget.incarnation = incarnation();
    options.core.budget.driftPermille = settings.budget.driftPermille;
    options.core.budget.reportInterval = BUDGET_REPORT;
    options.core.budget.waitTimeout = BUDGET_PATIENCE;
    return options;
}

entry::FreshnessOptions freshnessOptions(const settings::Settings &settings)
{
    entry::FreshnessOptions options;
    options.vm = settings.vm;
    options.lease = settings.control.freshnessLease;
    options.learnsVoters = true;
    return options;
}

entry::DemandReportOptions demandOptions(const settings::Settings &settings)
{
    entry::DemandReportOptions options;
    options.vm = settings.vm;
    options.dataCentre = settings.dataCentre;
    options.interval = DEMAND_INTERVAL;
    return options;
}

http::ServerOptions serverOptions(const settings::Settings &settings, const http::MemoryPlan &plan,
    const std::shared_ptr<http::RequestMemory> &memory)
{
    http::ServerOptions options;
    options.memory = memory;
    options.bodyCopies = http::BODY_COPIES;
    options.maxAllStreamBytes = plan.streamBytes;
    options.maxUnfinishedHeads = plan.unfinishedHeads;
    options.maxBodyBytes = static_cast<std::size_t>(settings.entry.maxBodyBytes);
    options.threads = static_cast<unsigned>(settings.entry.threads);
    options.maxConnections = MAX_CALLERS;
    return options;
}

http::ServerOptions forwardServerOptions(const settings::Settings &settings, const http::MemoryPlan &plan,
    const std::shared_ptr<http::RequestMemory> &memory)
{
    http::ServerOptions options = serverOptions(settings, plan, memory);
    options.maxHeaderBytes += FORWARD_HEADER_BYTES;
    options.threads = 1;
    return options;
}

} // namespace

EntryDaemon::EntryDaemon(settings::Settings settings, const Dialects &dialects, base::EventLog &log)
    : m_settings(std::move(settings))
    , m_plan(memoryPlan(m_settings, http::MemoryRole::Entry))
    , m_log(log)
    , m_peers(seedAddresses(m_settings))
    , m_leader(m_peers.names())
    , m_heard(registryOptions(m_settings))
    , m_book(registryOptions(m_settings))
    , m_sync(syncOptions(m_settings), m_heard, m_book, m_peers, m_clock)
    , m_runner(runnerOptions(m_settings, m_plan),
          {m_clock, m_inForce, m_book, m_sync, m_peers, m_leader, m_client, *dialects.callers, *dialects.upstreams,
              m_tokens, m_metrics, m_log})
    , m_freshness(freshnessOptions(m_settings), m_inForce, m_peers, m_leader, m_clock,
          [this] {
              m_runner.configurationChanged();
          })
    , m_demand(demandOptions(m_settings), m_runner, m_book, m_peers, m_leader, m_clock)
    , m_readiness(
          [this] {
              return unready();
          },
          [this] {
              m_metrics.setMemory(m_memory->counters(), m_server.counters());
              return m_metrics.text();
          })
    , m_memory(requestMemory(m_plan))
    , m_server(m_runner, serverOptions(m_settings, m_plan, m_memory))
    , m_readinessServer(m_readiness, controlServerOptions(m_settings))
    , m_forwarder({m_client, m_tokens,
          [this](const std::string &upstream, const std::string &address) {
              return knows(upstream, address);
          },
          [this] {
              return std::string_view(m_draining ? "draining" : m_runner.isCutOff() ? "cut_off" : "");
          },
          m_metrics, m_log})
    , m_forwardServer(m_forwarder, forwardServerOptions(m_settings, m_plan, m_memory))
{
    m_leader.setSeeds(m_peers.names());
    m_runner.setUrgentReport([this] {
        m_demand.urge();
    });
}

EntryDaemon::~EntryDaemon()
{
    stop();
}

base::Result<void, std::string> EntryDaemon::start()
{
    m_sync.start();
    m_runner.start();
    m_freshness.start();
    m_demand.start();
    const auto readiness = m_readinessServer.start(m_settings.readinessListen);
    if (!readiness) {
        return base::failure("readiness_listen: " + readiness.error().message);
    }
    if (!m_settings.forwardListen.empty()) {
        const auto forward = m_forwardServer.start(m_settings.forwardListen);
        if (!forward) {
            return base::failure("forward_listen: " + forward.error().message);
        }
    }
    const auto address = m_server.start(m_settings.listen);
    if (!address) {
        return base::failure("listen: " + address.error().message);
    }
    m_log.write(base::LogLine("started").add("role", "entry").add("vm", m_settings.vm).add("listen", address.value()));
    return base::success();
}

std::string_view EntryDaemon::unready() const
{
    if (m_draining) {
        return "draining";
    }
    // What the relay thread has taken over, not what other threads received.
    if (!m_runner.isConfigured()) {
        return "not_configured";
    }
    if (m_runner.isOutdated()) {
        return "configuration_outdated";
    }
    return m_runner.knowsUpstreams() ? "" : "upstreams_unknown";
}

bool EntryDaemon::knows(const std::string &upstream, const std::string &address) const
{
    const auto place = m_book.placeOf(m_sync.bookTime(), upstream);
    return place && place->address == address && !m_inForce.evacuations()->dataCentres.contains(place->dataCentre);
}

void EntryDaemon::reload(const settings::Settings &settings)
{
    m_leader.setSeeds(seedNames(settings));
}

bool EntryDaemon::drain()
{
    m_log.write(base::LogLine("draining").add("open", static_cast<std::int64_t>(m_runner.inProgress())));
    const base::Millis limit = m_clock.now() + m_settings.entry.drainLimit;
    const base::Millis terminateAt = std::max(limit - FINAL_RESPONSES, m_clock.now());
    m_draining = true;
    m_runner.beginDrain(terminateAt);
    std::this_thread::sleep_for(std::chrono::milliseconds(m_settings.entry.drainNotice.count));
    m_runner.drain();
    m_server.quiesce();
    while (m_runner.inProgress() > 0 && m_clock.now() < terminateAt) {
        std::this_thread::sleep_for(std::chrono::milliseconds(DRAIN_POLL.count));
    }
    if (m_runner.inProgress() > 0) {
        m_log.write(base::LogLine("drain_limit").add("terminated", static_cast<std::int64_t>(m_runner.inProgress())));
        m_runner.stop();
    }
    const bool answered = m_server.stop(std::max(limit - m_clock.now(), base::Millis{0}));
    const bool forwarded =
        m_settings.forwardListen.empty() || m_forwardServer.stop(std::max(limit - m_clock.now(), base::Millis{0}));
    const bool whole = answered && forwarded;
    m_log.write(base::LogLine("drained").add("whole", whole ? 1 : 0));
    return whole;
}

void EntryDaemon::stop()
{
    if (m_stopped.exchange(true)) {
        return;
    }
    m_demand.stop();
    m_freshness.stop();
    m_runner.stop();
    m_server.stop({0});
    m_readinessServer.stop({0});
    if (!m_settings.forwardListen.empty()) {
        m_forwardServer.stop({0});
    }
    m_sync.stop();
    m_client.stop();
    m_peers.stop();
    m_log.write(base::LogLine("stopped").add("role", "entry").add("vm", m_settings.vm));
}

} // namespace bamboomoor::gateway
