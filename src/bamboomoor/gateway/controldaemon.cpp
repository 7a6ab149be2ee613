/**
 * Implements the daemon of a control VM.
 */
#include "bamboomoor/gateway/controldaemon.hpp"

#include "bamboomoor/gateway/identity.hpp"

#include <algorithm>
#include <functional>
#include <utility>

namespace bamboomoor::gateway
{

namespace
{

constexpr int WARMING_LEASES = 2;

control::VoterOptions voterOptions(const settings::Settings &settings, const std::string &identity)
{
    control::VoterOptions options;
    options.folder = settings.dataFolder.value().string();
    options.node.self = identity;
    options.node.electionTimeout = settings.control.electionTimeout;
    options.node.heartbeat = settings.control.heartbeat;
    options.node.seed = std::hash<std::string>()(identity) ^ incarnation();
    options.node.bootstrap = settings.bootstrap;
    for (const std::string &it : seedNames(settings)) {
        options.node.initialVoters.push_back(founderAt(control::addressIn(it)));
    }
    std::sort(options.node.initialVoters.begin(), options.node.initialVoters.end());
    return options;
}

budget::AuthorityOptions budgetOptions(const settings::Settings &settings)
{
    budget::AuthorityOptions options;
    options.lease = settings.budget.grantLease;
    options.authorityLease = settings.budget.reserve;
    options.driftPermille = settings.budget.driftPermille;
    return options;
}

ResidencyThreadOptions residencyOptions(const settings::Settings &settings)
{
    ResidencyThreadOptions options;
    options.vm = settings.vm;
    options.plan.store.window = settings.placement.storeWindow;
    options.upstreamLease = settings.upstreams.lease;
    return options;
}

control::MembershipThreadOptions groupOptions(const settings::Settings &settings, const std::string &identity)
{
    control::MembershipThreadOptions options;
    options.self = identity;
    options.seeds = seedNames(settings);
    options.plan.size = static_cast<std::size_t>(settings.group.size);
    return options;
}

entry::UpstreamSyncOptions syncOptions(const settings::Settings &settings, const std::string &identity)
{
    entry::UpstreamSyncOptions options;
    options.vm = settings.vm;
    options.self = identity;
    return options;
}

ControlApiOptions apiOptions(const settings::Settings &settings)
{
    ControlApiOptions options;
    options.dataCentres = settings.dataCentres;
    return options;
}

base::Millis warmUp(const settings::Settings &settings)
{
    const base::Millis set = settings.upstreams.warmUp;
    return set > base::Millis{} ? set : settings.upstreams.lease * WARMING_LEASES;
}

} // namespace

ControlDaemon::ControlDaemon(
    settings::Settings settings, std::string identity, const Dialects &dialects, base::EventLog &log)
    : m_settings(std::move(settings))
    , m_identity(std::move(identity))
    , m_log(log)
    , m_peers(seedAddresses(m_settings))
    , m_heard(registryOptions(m_settings))
    , m_book(registryOptions(m_settings))
    , m_voter(voterOptions(m_settings, m_identity), m_peers, m_clock)
    , m_freshen(m_voter, m_clock)
    , m_budget(budgetOptions(m_settings), m_voter, m_clock)
    , m_residency(
          residencyOptions(m_settings), {m_clock, m_voter, m_book, m_client, *dialects.orders, m_metrics, m_log})
    , m_group(groupOptions(m_settings, m_identity), m_voter, m_peers, m_clock)
    , m_sync(syncOptions(m_settings, m_identity), m_heard, m_book, m_peers, m_clock)
    , m_withdrawals(m_clock, m_heard, m_book)
    , m_api(apiOptions(m_settings),
          {m_clock, *dialects.control, m_peers, m_group, m_evacuations, m_withdrawals, m_heard, m_book, m_metrics,
              m_log})
    , m_softwareObserver(m_book)
    , m_peerService(daemon::VoterParts{m_voter, m_freshen, m_budget, m_residency}, m_book, m_clock,
          m_clock.now() + warmUp(m_settings))
    , m_server(m_api, controlServerOptions(m_settings))
    , m_peerServer(m_peerService)
{
    m_peerService.setGroup(m_group);
    m_voter.addObserver(m_freshen);
    m_voter.addObserver(m_budget);
    m_voter.addObserver(m_residency);
    m_voter.addObserver(m_softwareObserver);
    m_voter.addObserver(m_evacuations);
    m_voter.addObserver(m_withdrawals);
}

ControlDaemon::~ControlDaemon()
{
    stop();
}

base::Result<void, std::string> ControlDaemon::start()
{
    m_freshen.start();
    m_budget.start();
    m_residency.start();
    BOOST_OUTCOME_TRY(m_voter.start());
    if (!m_peerServer.start(m_settings.peerListen)) {
        return base::failure("peer_listen: cannot listen on " + m_settings.peerListen);
    }
    m_group.start();
    m_sync.start();
    const auto address = m_server.start(m_settings.listen);
    if (!address) {
        return base::failure("listen: " + address.error().message);
    }
    m_log.write(base::LogLine("started")
                    .add("role", "control")
                    .add("vm", m_settings.vm)
                    .add("identity", m_identity)
                    .add("listen", address.value())
                    .add("bootstrap", m_settings.bootstrap ? 1 : 0));
    return base::success();
}

void ControlDaemon::reload(const settings::Settings &settings)
{
    m_group.setSeeds(seedNames(settings));
}

bool ControlDaemon::drain()
{
    m_log.write(base::LogLine("draining").add("role", "control"));
    return m_server.stop(m_settings.entry.drainNotice);
}

void ControlDaemon::stop()
{
    if (m_stopped.exchange(true)) {
        return;
    }
    m_server.stop({0});
    m_group.stop();
    m_sync.stop();
    m_client.stop();
    m_voter.stop();
    m_residency.stop();
    m_budget.stop();
    m_freshen.stop();
    m_peerServer.stop();
    m_peers.stop();
    m_log.write(base::LogLine("stopped").add("role", "control").add("vm", m_settings.vm));
}

} // namespace bamboomoor::gateway
