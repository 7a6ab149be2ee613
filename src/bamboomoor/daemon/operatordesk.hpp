/**
 * The thread that serves operators at any entry: it passes changes on to the leader, and reads what a quorum confirms.
 */
#pragma once

#include "bamboomoor/base/clock.hpp"
#include "bamboomoor/base/ring.hpp"
#include "bamboomoor/control/peerregistry.hpp"
#include "bamboomoor/entry/leaderhint.hpp"
#include "bamboomoor/http/server.hpp"
#include "bamboomoor/state/command.hpp"

#include <nlohmann/json.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>

namespace bamboomoor::daemon
{

/** @brief Serves the paths below /operator/v1/. */
class OperatorDesk
{
public:
    /**
     * @brief Makes a desk that does not run yet.
     * @param token The secret that operators present.
     * @param peers Connections to the voters; outlives the desk.
     * @param leader The guess at the leader; outlives the desk.
     * @param status Gives the answer to a question for the status; called on any thread.
     * @param drain Called on any thread when an operator drains this daemon.
     */
    OperatorDesk(std::string token, const control::PeerRegistry &peers, entry::LeaderHint &leader,
        std::function<nlohmann::json()> status, std::function<void()> drain);
    ~OperatorDesk();
    OperatorDesk(const OperatorDesk &) = delete;
    OperatorDesk &operator=(const OperatorDesk &) = delete;

    /** @brief Starts the thread. */
    void start();

    /** @brief Ends the thread. */
    void stop();

    /**
     * @brief Takes an operator's request.
     * @param request The request.
     * @param responder The way back.
     */
    void handle(http::Request request, const std::shared_ptr<http::Responder> &responder);

private:
    struct Job {
        http::Request request;
        std::shared_ptr<http::Responder> responder;
    };

    void run();
    // The answer to a request that needs no other daemon; a change in progress must not delay it.
    [[nodiscard]] std::optional<http::Response> serveLocally(const http::Request &request);
    [[nodiscard]] http::Response serve(const http::Request &request);
    [[nodiscard]] http::Response change(const http::Request &request);
    [[nodiscard]] http::Response show(const std::string &query);
    [[nodiscard]] http::Response history();
    [[nodiscard]] http::Response propose(const state::Command &command);
    [[nodiscard]] std::optional<peer::wire::HistoryReply> readHistory(std::uint64_t version);
    template<class Request, class Reply>
    [[nodiscard]] std::optional<Reply> callLeader(const Request &request);

    const std::string m_token;
    const control::PeerRegistry &m_peers;
    entry::LeaderHint &m_leader;
    std::function<nlohmann::json()> m_status;
    std::function<void()> m_drain;
    base::SteadyClock m_clock;
    base::Ring<Job> m_ring;
    std::thread m_thread;
    std::atomic<bool> m_stopping{false};
};

} // namespace bamboomoor::daemon
