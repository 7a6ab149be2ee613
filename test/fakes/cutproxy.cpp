/**
 * The forwarder's poll loop and its control paths.
 */
#include "fakes/cutproxy.hpp"

#include "bamboomoor/http/internal/listen.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>

namespace bamboomoor::fakes
{

namespace
{

// Bytes held in one direction before the sender has to wait.
constexpr std::size_t MAX_BUFFER_BYTES = 262'144;

int connectTo(const std::string &address)
{
    const std::size_t colon = address.rfind(':');
    sockaddr_in target{};
    target.sin_family = AF_INET;
    target.sin_port = htons(static_cast<std::uint16_t>(std::strtol(address.c_str() + colon + 1, nullptr, 10)));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &target.sin_addr);
    const int it = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (connect(it, reinterpret_cast<const sockaddr *>(&target), sizeof(target)) != 0 && errno != EINPROGRESS) {
        close(it);
        return -1;
    }
    return it;
}

bool wouldBlock() noexcept
{
    return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
}

// Reads what there is; false when the connection is broken.
bool fill(int from, std::string &buffer, bool &ended)
{
    std::array<char, 65'536> buf{};
    const ssize_t count = recv(from, buf.data(), buf.size(), 0);
    if (count > 0) {
        buffer.append(buf.data(), static_cast<std::size_t>(count));
    }
    ended = ended || count == 0;
    return count >= 0 || wouldBlock();
}

// Writes what can be written; false when the connection is broken.
bool drain(int to, std::string &buffer)
{
    if (buffer.empty()) {
        return true;
    }
    const ssize_t count = send(to, buffer.data(), buffer.size(), MSG_NOSIGNAL);
    if (count > 0) {
        buffer.erase(0, static_cast<std::size_t>(count));
    }
    return count >= 0 || wouldBlock() || errno == ENOTCONN;
}

} // namespace

CutProxy::CutProxy()
    : m_wakeup(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK))
{
}

CutProxy::~CutProxy()
{
    m_stopping = true;
    wake();
    if (m_thread.joinable()) {
        m_thread.join();
    }
    const absl::MutexLock lock(&m_mutex);
    for (const Connection &it : m_connections) {
        close(it.caller);
        close(it.target);
    }
    for (const Route &it : m_routes) {
        close(it.listener);
    }
    close(m_wakeup);
}

base::Result<std::vector<std::string>, http::ServerError> CutProxy::start(const std::vector<ProxyRoute> &routes)
{
    std::vector<std::string> addresses;
    {
        const absl::MutexLock lock(&m_mutex);
        for (const ProxyRoute &it : routes) {
            const auto opened = http::internal::listenOn(it.listen);
            if (opened.has_error()) {
                return base::failure(opened.error());
            }
            addresses.push_back(opened.value().address);
            m_routes.push_back({opened.value().socket, it.target, {}});
        }
    }
    m_thread = std::thread([this] {
        run();
    });
    return addresses;
}

void CutProxy::wake() const
{
    const std::uint64_t one = 1;
    [[maybe_unused]] const ssize_t written = ::write(m_wakeup, &one, sizeof(one));
}

void CutProxy::cut(std::size_t route, ProxyCut cut)
{
    {
        const absl::MutexLock lock(&m_mutex);
        if (route < m_routes.size()) {
            m_routes[route].cut = cut;
        }
    }
    wake();
}

void CutProxy::silence(std::size_t route)
{
    {
        const absl::MutexLock lock(&m_mutex);
        for (Connection &it : m_connections) {
            it.silent = it.silent || it.route == route;
        }
    }
    wake();
}

void CutProxy::handle(http::Request request, std::shared_ptr<http::Responder> responder)
{
    const auto document = nlohmann::json::parse(request.body, nullptr, false);
    if (!document.is_object() || (request.path != "/cut" && request.path != "/silence")) {
        responder->respond({400, {}, "POST /cut or /silence with a JSON object\n"});
        return;
    }
    std::size_t routes = 0;
    {
        const absl::MutexLock lock(&m_mutex);
        routes = m_routes.size();
    }
    for (std::size_t n = 0; n < routes; ++n) {
        if (document.value("route", n) != n) {
            continue;
        }
        if (request.path == "/silence") {
            silence(n);
        } else {
            cut(n, {document.value("up", false), document.value("down", false)});
        }
    }
    responder->respond({200, {}, "{}\n"});
}

ProxyCut CutProxy::cutOf(const Connection &connection) const
{
    return connection.silent ? ProxyCut{true, true} : m_routes[connection.route].cut;
}

void CutProxy::accept(std::size_t route)
{
    const int caller = accept4(m_routes[route].listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (caller < 0) {
        return;
    }
    const int target = connectTo(m_routes[route].target);
    if (target < 0) {
        close(caller);
        return;
    }
    Connection connection;
    connection.route = route;
    connection.caller = caller;
    connection.target = target;
    m_connections.push_back(std::move(connection));
}

void CutProxy::serve(Connection &connection, short callerEvents, short targetEvents)
{
    const ProxyCut cut = cutOf(connection);
    constexpr short READABLE = POLLIN | POLLHUP | POLLERR;
    bool sound = true;
    if (!cut.up) {
        sound = (callerEvents & READABLE) == 0 || fill(connection.caller, connection.up.buffer, connection.up.ended);
        sound = drain(connection.target, connection.up.buffer) && sound;
        if (connection.up.ended && connection.up.buffer.empty()) {
            shutdown(connection.target, SHUT_WR);
        }
    }
    if (!cut.down) {
        sound =
            ((targetEvents & READABLE) == 0 || fill(connection.target, connection.down.buffer, connection.down.ended))
            && sound;
        sound = drain(connection.caller, connection.down.buffer) && sound;
        if (connection.down.ended && connection.down.buffer.empty()) {
            shutdown(connection.caller, SHUT_WR);
        }
    }
    const bool ended =
        connection.up.ended && connection.down.ended && connection.up.buffer.empty() && connection.down.buffer.empty();
    connection.broken = !sound || ended;
}

void CutProxy::run()
{
    while (!m_stopping) {
        std::vector<pollfd> polled{{m_wakeup, POLLIN, 0}};
        std::vector<Connection *> watched;
        {
            const absl::MutexLock lock(&m_mutex);
            for (const Route &it : m_routes) {
                polled.push_back({it.listener, POLLIN, 0});
            }
            for (Connection &it : m_connections) {
                const ProxyCut cut = cutOf(it);
                const auto events = [](const Flow &in, bool inCut, const Flow &out, bool outCut) {
                    const bool read = !inCut && !in.ended && in.buffer.size() < MAX_BUFFER_BYTES;
                    const bool write = !outCut && !out.buffer.empty();
                    return static_cast<short>((read ? POLLIN : 0) | (write ? POLLOUT : 0));
                };
                // A negative number is passed over by poll, also for hang-ups.
                const short caller = events(it.up, cut.up, it.down, cut.down);
                const short target = events(it.down, cut.down, it.up, cut.up);
                polled.push_back({caller == 0 ? -1 : it.caller, caller, 0});
                polled.push_back({target == 0 ? -1 : it.target, target, 0});
                watched.push_back(&it);
            }
        }
        poll(polled.data(), polled.size(), 1'000);
        std::uint64_t drained = 0;
        [[maybe_unused]] const ssize_t count = ::read(m_wakeup, &drained, sizeof(drained));
        const absl::MutexLock lock(&m_mutex);
        const std::size_t first = 1 + m_routes.size();
        for (std::size_t n = 0; n < watched.size(); ++n) {
            serve(*watched[n], polled[first + n * 2].revents, polled[first + n * 2 + 1].revents);
        }
        for (std::size_t n = 0; n < m_routes.size(); ++n) {
            if ((polled[1 + n].revents & POLLIN) != 0) {
                accept(n);
            }
        }
        m_connections.remove_if([](const Connection &it) {
            if (it.broken) {
                close(it.caller);
                close(it.target);
            }
            return it.broken;
        });
    }
}

} // namespace bamboomoor::fakes
