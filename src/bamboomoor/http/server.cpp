/**
 * The server: listening socket, the library's daemon and its callbacks, and the graceful stop.
 */
#include "bamboomoor/http/server.hpp"

#include "bamboomoor/http/internal/exchange.hpp"
#include "bamboomoor/http/internal/keepalive.hpp"
#include "bamboomoor/http/internal/listen.hpp"
#include "bamboomoor/http/internal/tally.hpp"

#include <glog/logging.h>
#include <microhttpd.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cassert>
#include <csignal>
#include <optional>
#include <thread>
#include <utility>
#include <vector>

namespace bamboomoor::http
{

using internal::ConnectionId;
using internal::Exchange;
using internal::Phase;
using internal::Refusal;

namespace
{

using ExchangePointer = std::shared_ptr<Exchange>;

// The time between two looks at the open requests while stopping, in milliseconds.
constexpr int STOP_POLL_INTERVAL = 5;
constexpr int QUIET_POLLS = 4;
// The longest wait of the accepting thread, in milliseconds.
constexpr int ACCEPT_WAIT = 50;
// Connections that the library's threads may have taken over and not reported yet.
constexpr std::uint64_t MAX_PENDING = 1'024;
// The time that a handshake under way may take to end, in milliseconds.
constexpr base::Millis HANDSHAKE_TIME{200};

unsigned toSeconds(base::Millis span) noexcept
{
    return static_cast<unsigned>((span.count + 999) / 1'000);
}

ConnectionId idOf(MHD_Connection *connection)
{
    const MHD_ConnectionInfo *info = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
    assert(info != nullptr && info->socket_context != nullptr);
    return *static_cast<const ConnectionId *>(info->socket_context);
}

} // namespace

class Server::Impl
{
public:
    Impl(Handler &handler, ServerOptions options)
        : m_handler(handler)
        , m_scope(std::make_shared<internal::ExchangeScope>())
    {
        m_scope->options = std::move(options);
        if (m_scope->options.memory == nullptr) {
            m_scope->options.memory =
                std::make_shared<RequestMemory>(RequestMemoryOptions{m_scope->options.maxHeldBodyBytes});
        }
        m_scope->tally = std::make_shared<internal::Tally>();
    }

    [[nodiscard]] base::Result<std::string, ServerError> start(const std::string &address);
    void quiesce(base::Millis handshakeTime);
    bool stop(base::Millis limit);
    [[nodiscard]] ServerCounters counters() const;

private:
    static void *onTarget(void *cls, const char *uri, MHD_Connection *connection);
    static MHD_Result onAccess(void *cls, MHD_Connection *connection, const char *url, const char *method,
        const char *version, const char *upload, std::size_t *uploadSize, void **slot);
    static void onCompleted(void *cls, MHD_Connection *connection, void **slot, MHD_RequestTerminationCode code);
    static void onConnection(
        void *cls, MHD_Connection *connection, void **context, MHD_ConnectionNotificationCode code);

    [[nodiscard]] MHD_Result access(
        MHD_Connection *connection, const char *method, std::string_view upload, const ExchangePointer &exchange);
    [[nodiscard]] bool startDaemons();
    [[nodiscard]] MHD_Daemon *startDaemon();
    void stopDaemons();
    void acceptLoop();
    void acceptWaiting();
    [[nodiscard]] bool isFull() const noexcept;
    [[nodiscard]] bool awaitAnswers(base::Millis limit) const;

    Handler &m_handler;
    const std::shared_ptr<internal::ExchangeScope> m_scope;
    std::optional<internal::Watch> m_watch;
    int m_listener = -1;
    // One for each thread; connections are given to them in turn.
    std::vector<MHD_Daemon *> m_daemons;
    std::size_t m_nextDaemon = 0;
    // Used by the accepting thread, and by quiesce() after its end.
    std::uint64_t m_handedOver = 0;
    std::atomic<bool> m_accepting = false;
    std::thread m_acceptor;
};

base::Result<std::string, ServerError> Server::Impl::start(const std::string &address)
{
    assert(m_daemons.empty());
    std::signal(SIGPIPE, SIG_IGN);
    internal::raiseFileLimit();
    auto listening = internal::listenOn(address);
    if (listening.has_error()) {
        return base::failure(listening.error());
    }
    m_listener = listening.value().socket;
    const ServerOptions &options = m_scope->options;
    m_watch.emplace(internal::WatchLimits{options.idleTimeout, options.slowSenderTimeout, options.maxUnfinishedHeads,
                        options.maxConnections},
        m_scope->tally);
    if (!startDaemons()) {
        close(std::exchange(m_listener, -1));
        return base::failure(ServerError{"the HTTP library did not start"});
    }
    m_accepting = true;
    m_acceptor = std::thread([this] {
        acceptLoop();
    });
    return listening.value().address;
}

bool Server::Impl::startDaemons()
{
    for (unsigned n = 0; n < m_scope->options.threads; ++n) {
        MHD_Daemon *daemon = startDaemon();
        if (daemon == nullptr) {
            stopDaemons();
            return false;
        }
        m_daemons.push_back(daemon);
    }
    return !m_daemons.empty();
}

void Server::Impl::stopDaemons()
{
    for (MHD_Daemon *it : std::exchange(m_daemons, {})) {
        MHD_stop_daemon(it);
    }
}

// The server accepts by itself: the library's own way to stop accepting can abort the process under load.
void Server::Impl::acceptLoop()
{
    while (m_accepting) {
        pollfd polled{m_listener, POLLIN, 0};
        poll(&polled, 1, ACCEPT_WAIT);
        acceptWaiting();
    }
}

MHD_Daemon *Server::Impl::startDaemon()
{
    const ServerOptions &options = m_scope->options;
    // Twice the head's bound, so that a head up to that size is refused by the server, and counted.
    const std::size_t poolBytes = options.maxHeaderBytes * 2 + 16'384;
    const unsigned flags = MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_NO_LISTEN_SOCKET;
    // Never reached, as acceptWaiting() keeps to maxConnections: at its own limit the library may stop to serve.
    const unsigned connections = options.maxConnections + static_cast<unsigned>(MAX_PENDING);
    return MHD_start_daemon(flags, 0, nullptr, nullptr, &Impl::onAccess, this, MHD_OPTION_CONNECTION_LIMIT, connections,
        MHD_OPTION_CONNECTION_TIMEOUT, toSeconds(options.idleTimeout), MHD_OPTION_CONNECTION_MEMORY_LIMIT, poolBytes,
        MHD_OPTION_URI_LOG_CALLBACK, &Impl::onTarget, this, MHD_OPTION_NOTIFY_COMPLETED, &Impl::onCompleted, this,
        MHD_OPTION_NOTIFY_CONNECTION, &Impl::onConnection, this, MHD_OPTION_END);
}

void *Server::Impl::onTarget(void *cls, const char *uri, MHD_Connection *connection)
{
    auto *self = static_cast<Impl *>(cls);
    auto exchange = std::make_shared<Exchange>(self->m_scope, connection, uri);
    ++self->m_scope->tally->openRequests;
    const ConnectionId id = idOf(connection);
    self->m_watch->beginRequest(id, exchange);
    exchange->holdMemory([self, id] {
        ++self->m_scope->tally->evictedBodies;
        self->m_watch->shutDown(id);
    });
    return new ExchangePointer(std::move(exchange));
}

MHD_Result Server::Impl::onAccess(void *cls, MHD_Connection *connection, const char *, const char *method, const char *,
    const char *upload, std::size_t *uploadSize, void **slot)
{
    auto *self = static_cast<Impl *>(cls);
    const std::string_view bytes(upload, std::exchange(*uploadSize, 0));
    // A copy, because the request may be finished from within.
    const ExchangePointer exchange = *static_cast<ExchangePointer *>(*slot);
    return self->access(connection, method, bytes, exchange);
}

MHD_Result Server::Impl::access(
    MHD_Connection *connection, const char *method, std::string_view upload, const ExchangePointer &exchange)
{
    if (!exchange->headRead()) {
        const Refusal refusal = exchange->readHead(method);
        m_watch->move(idOf(connection), Phase::Body);
        return refusal == Refusal::None ? MHD_YES : exchange->refuse(refusal);
    }
    if (!upload.empty()) {
        const bool readOn = exchange->readBody(upload);
        m_watch->move(idOf(connection), Phase::Body, exchange->bodyBytes());
        return readOn ? MHD_YES : MHD_NO;
    }
    if (exchange->dispatched()) {
        return exchange->settle();
    }
    m_watch->move(idOf(connection), Phase::Handling);
    // The watch may have found the connection idle after the library had read the request's first bytes.
    return m_watch->isShutDown(idOf(connection)) ? MHD_NO : exchange->dispatch(m_handler);
}

void Server::Impl::onCompleted(void *cls, MHD_Connection *connection, void **slot, MHD_RequestTerminationCode code)
{
    auto *self = static_cast<Impl *>(cls);
    auto *exchange = static_cast<ExchangePointer *>(std::exchange(*slot, nullptr));
    if (exchange == nullptr) {
        return;
    }
    self->m_watch->move(idOf(connection), Phase::Idle);
    (*exchange)->finish(code == MHD_REQUEST_TERMINATED_COMPLETED_OK);
    delete exchange;
    --self->m_scope->tally->openRequests;
}

void Server::Impl::onConnection(
    void *cls, MHD_Connection *connection, void **context, MHD_ConnectionNotificationCode code)
{
    auto *self = static_cast<Impl *>(cls);
    if (code == MHD_CONNECTION_NOTIFY_STARTED) {
        const MHD_ConnectionInfo *info = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
        *context = new ConnectionId(self->m_watch->add(info->connect_fd));
    } else {
        const std::unique_ptr<ConnectionId> id(static_cast<ConnectionId *>(std::exchange(*context, nullptr)));
        self->m_watch->remove(*id);
    }
}

void Server::Impl::quiesce(base::Millis handshakeTime)
{
    if (m_daemons.empty() || m_scope->quiescing.exchange(true)) {
        return;
    }
    // First no new handshakes, then the end of those under way, so that closing the port resets nobody.
    internal::dropNewConnections(m_listener);
    std::this_thread::sleep_for(std::chrono::milliseconds(handshakeTime.count));
    m_accepting = false;
    m_acceptor.join();
    acceptWaiting();
    close(std::exchange(m_listener, -1));
    m_watch->closeIdle();
}

bool Server::Impl::isFull() const noexcept
{
    const internal::Tally &tally = *m_scope->tally;
    // Those handed over that the library's threads have not reported yet; one that they cannot take is never reported.
    const std::uint64_t pending = std::min(m_handedOver - tally.connections, MAX_PENDING);
    return tally.openConnections + pending >= m_scope->options.maxConnections;
}

void Server::Impl::acceptWaiting()
{
    while (true) {
        sockaddr_storage address{};
        socklen_t size = sizeof(address);
        auto *generic = reinterpret_cast<sockaddr *>(&address);
        const int connection = accept4(m_listener, generic, &size, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (connection < 0) {
            return;
        }
        if (isFull()) {
            close(connection);
            ++m_scope->tally->overConnections;
            continue;
        }
        ++m_handedOver;
        if (!internal::setKeepAlive(connection, internal::CALLER_KEEP_ALIVE)) {
            LOG_FIRST_N(WARNING, 1) << "event=keep_alive_refused end=caller";
        }
        // The library closes the socket itself when it cannot take it.
        if (MHD_add_connection(m_daemons[m_nextDaemon++ % m_daemons.size()], connection, generic, size) != MHD_YES) {
            --m_handedOver;
            ++m_scope->tally->overConnections;
        }
    }
}

bool Server::Impl::awaitAnswers(base::Millis limit) const
{
    const base::SteadyClock clock;
    const base::Millis deadline = clock.now() + limit;
    // Quiet several times on end: a connection just accepted is not known to the watch at once.
    int quiet = 0;
    while (quiet < QUIET_POLLS) {
        if (clock.now() >= deadline) {
            return m_scope->tally->openRequests == 0;
        }
        quiet = m_scope->tally->openRequests == 0 && m_watch->isQuiet() ? quiet + 1 : 0;
        std::this_thread::sleep_for(std::chrono::milliseconds(STOP_POLL_INTERVAL));
    }
    return true;
}

bool Server::Impl::stop(base::Millis limit)
{
    if (m_daemons.empty()) {
        return true;
    }
    quiesce(std::min(limit, HANDSHAKE_TIME));
    const bool answered = awaitAnswers(limit);
    // No connection may be suspended when the library stops.
    m_scope->stopping = true;
    m_watch->cutAll();
    stopDaemons();
    m_watch.reset();
    return answered;
}

ServerCounters Server::Impl::counters() const
{
    const internal::Tally &tally = *m_scope->tally;
    ServerCounters counters;
    counters.connections = tally.connections;
    counters.openConnections = tally.openConnections;
    counters.requests = tally.requests;
    counters.openRequests = tally.openRequests;
    counters.headerTooLarge = tally.headerTooLarge;
    counters.bodyTooLarge = tally.bodyTooLarge;
    counters.overHeldBodies = tally.overHeldBodies;
    counters.evictedBodies = tally.evictedBodies;
    counters.evictedHeads = tally.evictedHeads;
    counters.malformed = tally.malformed;
    counters.slowSender = tally.slowSender;
    counters.slowReader = tally.slowReader;
    counters.callersGone = tally.callersGone;
    counters.withoutRequest = tally.withoutRequest;
    counters.evictedConnections = tally.evictedConnections;
    counters.overConnections = tally.overConnections;
    return counters;
}

Server::Server(Handler &handler, ServerOptions options)
    : m_impl(std::make_unique<Impl>(handler, std::move(options)))
{
}

Server::~Server()
{
    m_impl->stop({0});
}

base::Result<std::string, ServerError> Server::start(const std::string &address)
{
    return m_impl->start(address);
}

void Server::quiesce()
{
    m_impl->quiesce(HANDSHAKE_TIME);
}

bool Server::stop(base::Millis limit)
{
    return m_impl->stop(limit);
}

ServerCounters Server::counters() const
{
    return m_impl->counters();
}

} // namespace bamboomoor::http
