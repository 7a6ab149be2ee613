/**
 * A TCP forwarder that falls silent on demand, as a network does that has lost track of its connections: nothing is
 * closed, nothing arrives. Bytes held back by a cut flow on when it is healed.
 */
#pragma once

#include "bamboomoor/base/outcome.hpp"
#include "bamboomoor/http/server.hpp"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <atomic>
#include <list>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace bamboomoor::fakes
{

/** @brief One address that is forwarded to another. */
struct ProxyRoute {
    // IP:PORT; port 0 takes a free port.
    std::string listen = {};
    std::string target = {};
};

/** @brief Which directions of a route are cut, for all its connections, old and new. */
struct ProxyCut {
    // From the caller to the target.
    bool up = false;
    // From the target to the caller.
    bool down = false;
};

/** @brief Forwards connections along its routes, with one thread. */
class CutProxy : public http::Handler
{
public:
    CutProxy();
    ~CutProxy() override;
    CutProxy(const CutProxy &) = delete;
    CutProxy &operator=(const CutProxy &) = delete;
    CutProxy(CutProxy &&) = delete;
    CutProxy &operator=(CutProxy &&) = delete;

    /**
     * @brief Opens the routes and begins to forward; called once.
     * @param routes The routes.
     * @return The addresses listened on, in their order; or why one cannot be had.
     */
    [[nodiscard]] base::Result<std::vector<std::string>, http::ServerError> start(
        const std::vector<ProxyRoute> &routes);

    /**
     * @brief Cuts or heals the directions of a route.
     * @param route Its place in the list; one that does not exist is passed over.
     * @param cut The directions that are cut from now on.
     */
    void cut(std::size_t route, ProxyCut cut);

    /**
     * @brief Silences the connections that a route has now, for good; later ones work.
     * @param route Its place in the list.
     */
    void silence(std::size_t route);

    /**
     * @brief Takes POST /cut {"route","up","down"} and POST /silence {"route"}; without a route, all of them.
     * @param request The request.
     * @param responder The way back.
     */
    void handle(http::Request request, std::shared_ptr<http::Responder> responder) override;

private:
    struct Route {
        int listener = -1;
        std::string target;
        ProxyCut cut;
    };

    // One direction of a connection.
    struct Flow {
        std::string buffer;
        bool ended = false;
    };

    struct Connection {
        std::size_t route = 0;
        int caller = -1;
        int target = -1;
        Flow up;
        Flow down;
        bool silent = false;
        bool broken = false;
    };

    void run();
    void wake() const;
    void accept(std::size_t route) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void serve(Connection &connection, short callerEvents, short targetEvents) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    [[nodiscard]] ProxyCut cutOf(const Connection &connection) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

    int m_wakeup = -1;
    std::atomic<bool> m_stopping = false;
    absl::Mutex m_mutex;
    std::vector<Route> m_routes ABSL_GUARDED_BY(m_mutex);
    std::list<Connection> m_connections ABSL_GUARDED_BY(m_mutex);
    std::thread m_thread;
};

} // namespace bamboomoor::fakes
