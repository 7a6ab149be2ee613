/**
 * What a daemon runs in addition when it is a voter.
 */
#include "bamboomoor/daemon/voter.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace bamboomoor::daemon
{

namespace
{

control::VoterOptions voterOptions(const settings::Settings &settings, std::uint64_t seed)
{
    control::VoterOptions options;
    options.folder = settings.dataFolder.value().string();
    options.node.self = settings.vm;
    options.node.electionTimeout = settings.control.electionTimeout;
    options.node.heartbeat = settings.control.heartbeat;
    options.node.seed = seed;
    options.node.bootstrap = settings.bootstrap;
    std::transform(settings.voters.begin(), settings.voters.end(), std::back_inserter(options.node.initialVoters),
        [](const settings::Voter &it) {
            return it.name;
        });
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

control::PlacementThreadOptions placementOptions(const settings::Settings &settings)
{
    control::PlacementThreadOptions options;
    options.interval = settings.placement.decision;
    options.planner.loadsPerSecond = static_cast<double>(settings.placement.loadsPerSecond);
    options.planner.maxModelLoads = static_cast<std::uint32_t>(settings.placement.loadsAtOnce);
    options.planner.maxAdapterLoads = static_cast<std::uint32_t>(settings.placement.adaptersInFlight);
    return options;
}

} // namespace

Voter::Voter(const settings::Settings &settings, const control::PeerRegistry &peers, control::ListUpstreams upstreams,
    http::Client &client, const base::Clock &clock, std::uint64_t seed)
    : m_desk(voterOptions(settings, seed), peers, clock)
    , m_freshen(m_desk, clock)
    , m_budget(budgetOptions(settings), m_desk, clock)
    , m_placement(placementOptions(settings), m_desk, std::move(upstreams), client, clock)
{
    m_desk.addObserver(m_freshen);
    m_desk.addObserver(m_budget);
    m_desk.addObserver(m_placement);
}

base::Result<void, std::string> Voter::start()
{
    m_freshen.start();
    m_budget.start();
    m_placement.start();
    return m_desk.start();
}

void Voter::stop()
{
    m_desk.stop();
    m_placement.stop();
    m_budget.stop();
    m_freshen.stop();
}

} // namespace bamboomoor::daemon
