/**
 * Provides the daemon of a control VM: a member of the control group, which forms itself from seeds, and the HTTP API
 * for operators and upstreams.
 */
#pragma once

#include "bamboomoor/base/eventlog.hpp"
#include "bamboomoor/control/budgetthread.hpp"
#include "bamboomoor/control/configurationthread.hpp"
#include "bamboomoor/control/membershipthread.hpp"
#include "bamboomoor/control/peerregistry.hpp"
#include "bamboomoor/control/voterthread.hpp"
#include "bamboomoor/daemon/peerservice.hpp"
#include "bamboomoor/entry/upstreambook.hpp"
#include "bamboomoor/entry/upstreamsync.hpp"
#include "bamboomoor/gateway/controlapi.hpp"
#include "bamboomoor/gateway/controlmetrics.hpp"
#include "bamboomoor/gateway/dialect.hpp"
#include "bamboomoor/gateway/evacuationview.hpp"
#include "bamboomoor/gateway/process.hpp"
#include "bamboomoor/gateway/residencythread.hpp"
#include "bamboomoor/gateway/softwareobserver.hpp"
#include "bamboomoor/gateway/withdrawalview.hpp"
#include "bamboomoor/http/client.hpp"
#include "bamboomoor/http/server.hpp"
#include "bamboomoor/peer/server.hpp"
#include "bamboomoor/settings/settings.hpp"

#include <atomic>
#include <string>

namespace bamboomoor::gateway
{

/** @brief Owns the components of a control VM's daemon. */
class ControlDaemon final : public Process
{
public:
    /**
     * @brief Creates the daemon without starting it.
     * @param settings The settings, with seeds and a data folder.
     * @param identity The identity of the data folder.
     * @param dialects Translate messages of the infrastructure; must outlive the daemon.
     * @param log Receives the log lines; must outlive the daemon.
     */
    ControlDaemon(settings::Settings settings, std::string identity, const Dialects &dialects, base::EventLog &log);
    ~ControlDaemon() override;
    ControlDaemon(const ControlDaemon &) = delete;
    ControlDaemon &operator=(const ControlDaemon &) = delete;

    [[nodiscard]] base::Result<void, std::string> start() override;
    bool drain() override;
    void stop() override;
    void reload(const settings::Settings &settings) override;

private:
    settings::Settings m_settings;
    const std::string m_identity;
    base::EventLog &m_log;
    base::SteadyClock m_clock;
    std::atomic<bool> m_stopped{false};
    control::PeerRegistry m_peers;
    entry::UpstreamBook m_heard;
    entry::UpstreamBook m_book;
    http::Client m_client;
    control::VoterThread m_voter;
    control::ConfigurationThread m_freshen;
    control::BudgetThread m_budget;
    ControlMetrics m_metrics;
    ResidencyThread m_residency;
    control::MembershipThread m_group;
    entry::UpstreamSync m_sync;
    EvacuationView m_evacuations;
    WithdrawalView m_withdrawals;
    ControlApi m_api;
    SoftwareObserver m_softwareObserver;
    daemon::PeerService m_peerService;
    http::Server m_server;
    peer::Server m_peerServer;
};

} // namespace bamboomoor::gateway
