/**
 * The server: listening socket, the library's daemon and its callbacks, and the graceful stop.
 */
#include "bamboomoor/http/server.hpp"

#include "bamboomoor/http/internal/exchange.hpp"
#include "bamboomoor/http/internal/listen.hpp"
#include "bamboomoor/http/internal/tally.hpp"

#include <microhttpd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cassert>
#include <csignal>
#include <optional>
#include <thread>
#include <utility>

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
        m_scope->options = options;
        m_scope->tally = std::make_shared<internal::Tally>();
    }

    [[nodiscard]] base::Result<std::string, ServerError> start(const std::string &address);
    void quiesce();
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
    [[nodiscard]] MHD_Daemon *startDaemon();
    void adoptWaitingConnections(int socket);
    [[nodiscard]] bool awaitAnswers(base::Millis limit) const;

    Handler &m_handler;
    const std::shared_ptr<internal::ExchangeScope> m_scope;
    std::optional<internal::Watch> m_watch;
    int m_listener = -1;
    MHD_Daemon *m_daemon = nullptr;
};

base::Result<std::string, ServerError> Server::Impl::start(const std::string &address)
{
    assert(m_daemon == nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    internal::raiseFileLimit();
    auto listening = internal::listenOn(address);
    if (listening.has_error()) {
        return base::failure(listening.error());
    }
    m_listener = listening.value().socket;
    const ServerOptions &options = m_scope->options;
    m_watch.emplace(internal::WatchLimits{options.idleTimeout, options.slowSenderTimeout}, m_scope->tally);
    m_daemon = startDaemon();
    if (m_daemon == nullptr) {
        close(std::exchange(m_listener, -1));
        return base::failure(ServerError{"the HTTP library did not start"});
    }
    return listening.value().address;
}

MHD_Daemon *Server::Impl::startDaemon()
{
    const ServerOptions &options = m_scope->options;
    // Twice the head's bound, so that a head up to that size is refused by the server, and counted.
    const std::size_t poolBytes = options.maxHeaderBytes * 2 + 16'384;
    const unsigned flags = MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME;
    return MHD_start_daemon(flags, 0, nullptr, nullptr, &Impl::onAccess, this, MHD_OPTION_LISTEN_SOCKET, m_listener,
        MHD_OPTION_THREAD_POOL_SIZE, options.threads, MHD_OPTION_CONNECTION_LIMIT, options.maxConnections,
        MHD_OPTION_CONNECTION_TIMEOUT, toSeconds(options.idleTimeout), MHD_OPTION_CONNECTION_MEMORY_LIMIT, poolBytes,
        MHD_OPTION_URI_LOG_CALLBACK, &Impl::onTarget, this, MHD_OPTION_NOTIFY_COMPLETED, &Impl::onCompleted, this,
        MHD_OPTION_NOTIFY_CONNECTION, &Impl::onConnection, this, MHD_OPTION_END);
}

void *Server::Impl::onTarget(void *cls, const char *uri, MHD_Connection *connection)
{
    auto *self = static_cast<Impl *>(cls);
    auto exchange = std::make_shared<Exchange>(self->m_scope, connection, uri);
    ++self->m_scope->tally->openRequests;
    self->m_watch->beginRequest(idOf(connection), exchange);
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
    return exchange->dispatch(m_handler);
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

void Server::Impl::quiesce()
{
    if (m_daemon == nullptr || m_scope->quiescing.exchange(true)) {
        return;
    }
    const MHD_socket socket = MHD_quiesce_daemon(m_daemon);
    if (socket != MHD_INVALID_SOCKET) {
        adoptWaitingConnections(socket);
    }
    close(std::exchange(m_listener, -1));
}

// Connections that the kernel has completed but the library has not accepted are served, not reset.
void Server::Impl::adoptWaitingConnections(int socket)
{
    while (true) {
        sockaddr_storage address{};
        socklen_t size = sizeof(address);
        auto *generic = reinterpret_cast<sockaddr *>(&address);
        const int connection = accept4(socket, generic, &size, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (connection < 0) {
            return;
        }
        // The library closes the socket itself when it cannot take it.
        MHD_add_connection(m_daemon, connection, generic, size);
    }
}

bool Server::Impl::awaitAnswers(base::Millis limit) const
{
    const base::SteadyClock clock;
    const base::Millis deadline = clock.now() + limit;
    while (m_scope->tally->openRequests != 0) {
        if (clock.now() >= deadline) {
            return false;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(STOP_POLL_INTERVAL));
    }
    return true;
}

bool Server::Impl::stop(base::Millis limit)
{
    if (m_daemon == nullptr) {
        return true;
    }
    quiesce();
    const bool answered = awaitAnswers(limit);
    // No connection may be suspended when the library stops.
    m_scope->stopping = true;
    m_watch->cutAll();
    MHD_stop_daemon(std::exchange(m_daemon, nullptr));
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
    counters.malformed = tally.malformed;
    counters.slowSender = tally.slowSender;
    counters.slowReader = tally.slowReader;
    counters.callersGone = tally.callersGone;
    counters.withoutRequest = tally.withoutRequest;
    return counters;
}

Server::Server(Handler &handler, ServerOptions options)
    : m_impl(std::make_unique<Impl>(handler, options))
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
    m_impl->quiesce();
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
