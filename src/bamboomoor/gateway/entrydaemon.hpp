/**
 * Provides the daemon of an entry VM, which relays callers' requests and stores nothing on disk.
 */
#pragma once

#include "bamboomoor/base/eventlog.hpp"
#include "bamboomoor/control/peerregistry.hpp"
#include "bamboomoor/entry/demandreport.hpp"
#include "bamboomoor/entry/freshness.hpp"
#include "bamboomoor/entry/upstreambook.hpp"
#include "bamboomoor/entry/upstreamsync.hpp"
#include "bamboomoor/gateway/dialect.hpp"
#include "bamboomoor/gateway/forwarder.hpp"
#include "bamboomoor/gateway/peertokens.hpp"
#include "bamboomoor/gateway/process.hpp"
#include "bamboomoor/gateway/readiness.hpp"
#include "bamboomoor/gateway/relaymetrics.hpp"
#include "bamboomoor/gateway/relaythread.hpp"
#include "bamboomoor/http/client.hpp"
#include "bamboomoor/http/server.hpp"
#include "bamboomoor/settings/settings.hpp"

#include <atomic>
#include <string>
#include <string_view>

namespace bamboomoor::gateway
{

/** @brief Owns the components of an entry VM's daemon. */
class EntryDaemon final : public Process
{
public:
    /**
     * @brief Creates the daemon without starting it.
     * @param settings The settings.
     * @param dialects Translate messages of the infrastructure; must outlive the daemon.
     * @param log Receives the log lines; must outlive the daemon.
     */
    EntryDaemon(settings::Settings settings, const Dialects &dialects, base::EventLog &log);
    ~EntryDaemon() override;
    EntryDaemon(const EntryDaemon &) = delete;
    EntryDaemon &operator=(const EntryDaemon &) = delete;

    [[nodiscard]] base::Result<void, std::string> start() override;
    bool drain() override;
    void stop() override;
    void reload(const settings::Settings &settings) override;

private:
    [[nodiscard]] std::string_view unready() const;
    [[nodiscard]] bool knows(const std::string &upstream, const std::string &address) const;

    settings::Settings m_settings;
    const http::MemoryPlan m_plan;
    base::EventLog &m_log;
    base::SteadyClock m_clock;
    std::atomic<bool> m_draining{false};
    std::atomic<bool> m_stopped{false};
    control::PeerRegistry m_peers;
    entry::LeaderHint m_leader;
    entry::InForce m_inForce;
    // Always empty, because upstreams announce themselves to control VMs.
    entry::UpstreamBook m_heard;
    entry::UpstreamBook m_book;
    RelayMetrics m_metrics;
    http::Client m_client;
    PeerTokens m_tokens;
    entry::UpstreamSync m_sync;
    RelayThread m_runner;
    entry::Freshness m_freshness;
    entry::DemandReport m_demand;
    Readiness m_readiness;
    // Of callers' requests and of those that other entries forward.
    std::shared_ptr<http::RequestMemory> m_memory;
    http::Server m_server;
    http::Server m_readinessServer;
    Forwarder m_forwarder;
    http::Server m_forwardServer;
};

} // namespace bamboomoor::gateway
