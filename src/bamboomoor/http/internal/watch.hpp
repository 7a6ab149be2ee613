/**
 * The watch over a server's connections: it notices callers that disconnect while their request is being handled,
 * which libmicrohttpd does not look for, and closes connections that send a request too slowly.
 */
#pragma once

#include "bamboomoor/base/clock.hpp"

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <thread>
#include <vector>

namespace bamboomoor::http::internal
{

class Exchange;
struct Tally;

/** @brief Names a connection for the life of its server. */
struct ConnectionId {
    std::uint64_t value = 0;
};

/** @brief The part of a request's life in which a connection is. */
enum class Phase { Idle, Head, Body, Handling };

/** @brief The times after which the watch closes a connection. */
struct WatchLimits {
    base::Millis idle;
    base::Millis slowSender;
    // See ServerOptions::maxUnfinishedHeads.
    std::size_t maxUnfinishedHeads = 0;
    // The connections that the server takes.
    std::size_t maxConnections = 0;
};

/** @brief Watches the connections of one server with one thread. */
class Watch
{
public:
    /**
     * @brief Starts the thread.
     * @param limits The times after which connections are closed.
     * @param tally Counts the closed ones.
     */
    Watch(WatchLimits limits, std::shared_ptr<Tally> tally);
    ~Watch();
    Watch(const Watch &) = delete;
    Watch &operator=(const Watch &) = delete;
    Watch(Watch &&) = delete;
    Watch &operator=(Watch &&) = delete;

    /**
     * @brief Begins to watch a connection.
     * @param socket Its socket, open until remove().
     * @return Its name.
     */
    [[nodiscard]] ConnectionId add(int socket);

    /**
     * @brief Ends the watch over a connection; called before its socket is closed.
     * @param id Its name.
     */
    void remove(ConnectionId id);

    /**
     * @brief Notes that a request's first line has come.
     * @param id The connection.
     * @param exchange The request.
     */
    void beginRequest(ConnectionId id, const std::shared_ptr<Exchange> &exchange);

    /**
     * @brief Notes that a request moves on.
     * @param id The connection.
     * @param phase The part of its life that begins, or goes on.
     * @param bodyBytes The bytes of its body so far.
     */
    void move(ConnectionId id, Phase phase, std::size_t bodyBytes = 0);

    /**
     * @brief Tells whether closing all connections would cut a request.
     * @return False while a request is being read or answered, its bytes wait in a socket, or a new connection may
     * still send one.
     */
    [[nodiscard]] bool isQuiet() const;

    /**
     * @brief Tells whether the watch has closed a connection, so that no answer can be sent on it.
     * @param id The connection.
     * @return True also if it is not known any more.
     */
    [[nodiscard]] bool isShutDown(ConnectionId id) const;

    /**
     * @brief Closes a connection whose request is being read.
     * @param id The connection.
     */
    void shutDown(ConnectionId id);

    /** @brief Cuts every request that is not answered. */
    void cutAll();

    /** @brief Closes connections without a request from now on, as soon as none is on its way in them. */
    void closeIdle() noexcept
    {
        m_closingIdle = true;
    }

private:
    struct Watched {
        int socket = -1;
        Phase phase = Phase::Idle;
        base::Millis since;
        // When bytes of its body were last read.
        base::Millis progressedAt;
        std::size_t bodyBytes = 0;
        bool hadRequest = false;
        bool peerClosed = false;
        bool shutDown = false;
        std::weak_ptr<Exchange> exchange;
    };

    void run();
    void noteClosed(std::uint64_t id);
    void sweep();
    void evictHeads(base::Millis now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    // Closes connections that wait for their callers while few more can be taken.
    void evictWaiting(base::Millis now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    // Closes those that have waited for longest in the given phases until no more are open than the limit.
    void evictWaiting(base::Millis now, bool isIdle, std::size_t limit) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    [[nodiscard]] static bool hasUnfinishedHead(const Watched &watched, base::Millis now) noexcept;
    // Whether a stop need not wait for it.
    [[nodiscard]] static bool isStalled(const Watched &watched, base::Millis now) noexcept;
    static void shutDown(Watched &watched);
    [[nodiscard]] static bool mayHoldRequest(const Watched &watched, base::Millis now) noexcept;
    // Whether the caller has closed its side, so that a request that it has not sent whole never will be.
    [[nodiscard]] static bool isAbandoned(const Watched &watched, base::Millis now) noexcept;
    [[nodiscard]] bool isOverdue(const Watched &watched, base::Millis now) const noexcept;

    const WatchLimits m_limits;
    const std::shared_ptr<Tally> m_tally;
    const base::SteadyClock m_clock;
    int m_epoll = -1;
    int m_wakeup = -1;
    mutable absl::Mutex m_mutex;
    // Holds exactly the connections whose socket is open; a socket is touched only under the mutex.
    absl::flat_hash_map<std::uint64_t, Watched> m_connections ABSL_GUARDED_BY(m_mutex);
    std::uint64_t m_lastId ABSL_GUARDED_BY(m_mutex) = 0;
    std::atomic<bool> m_stopping = false;
    std::atomic<bool> m_closingIdle = false;
    std::thread m_thread;
};

} // namespace bamboomoor::http::internal
