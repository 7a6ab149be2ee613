/**
 * One daemon: all its threads, from its start to its graceful end.
 */
#pragma once

#include "bamboomoor/daemon/front.hpp"
#include "bamboomoor/daemon/operatordesk.hpp"
#include "bamboomoor/daemon/peerservice.hpp"
#include "bamboomoor/daemon/voter.hpp"
#include "bamboomoor/entry/demandreport.hpp"
#include "bamboomoor/entry/freshness.hpp"
#include "bamboomoor/http/client.hpp"
#include "bamboomoor/http/server.hpp"
#include "bamboomoor/peer/server.hpp"
#include "bamboomoor/settings/settings.hpp"

#include <atomic>
#include <memory>
#include <string>

namespace bamboomoor::daemon
{

/** @brief Owns every part of a daemon. */
class Daemon
{
public:
    /**
     * @brief Makes a daemon that does not run yet.
     * @param settings The settings.
     */
    explicit Daemon(settings::Settings settings);
    ~Daemon();
    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;

    /**
     * @brief Starts all threads and listens.
     * @return Nothing, or one line that says what failed.
     */
    [[nodiscard]] base::Result<void, std::string> start();

    /**
     * @brief Drains: readiness fails, requests in progress are finished, up to the limit of the settings.
     * @return True when no request was cut.
     */
    bool drain();

    /** @brief Ends all threads. */
    void stop();

    /**
     * @brief Tells whether an operator has asked this daemon to drain.
     * @return True after such a request.
     */
    [[nodiscard]] bool drainRequested() const noexcept
    {
        return m_drainRequested;
    }

private:
    [[nodiscard]] nlohmann::json status() const;
    [[nodiscard]] nlohmann::json voterStatus() const;
    [[nodiscard]] std::unique_ptr<Voter> makeVoter();

    const settings::Settings m_settings;
    base::SteadyClock m_clock;
    std::atomic<bool> m_drainRequested{false};
    std::atomic<bool> m_stopped{false};
    control::PeerRegistry m_peers;
    entry::LeaderHint m_leader;
    entry::InForce m_inForce;
    // What upstreams announced to this daemon.
    entry::UpstreamBook m_heard;
    // All upstreams known here.
    entry::UpstreamBook m_book;
    entry::Metrics m_metrics;
    http::Client m_client;
    std::unique_ptr<Voter> m_voter;
    entry::UpstreamSync m_sync;
    entry::Desk m_desk;
    entry::Freshness m_freshness;
    entry::DemandReport m_demand;
    OperatorDesk m_operators;
    Front m_front;
    PeerService m_peerService;
    http::Server m_server;
    peer::Server m_peerServer;
};

} // namespace bamboomoor::daemon
