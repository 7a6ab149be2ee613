/**
 * Implements the forwarder with a limited rate.
 */
#include "narrowlink.hpp"

#include "bamboomoor/control/loopback.hpp"

#include <boost/test/unit_test.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <chrono>

namespace entry_test
{

namespace
{

constexpr std::size_t PACKET_BYTES = 1'500;
constexpr int SOCKET_BUFFER_BYTES = 16'384;
constexpr int BACKLOG = 64;

sockaddr_in parseAddress(const std::string &address)
{
    const std::size_t colon = address.rfind(':');
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &out.sin_addr);
    return out;
}

bool sendAll(int to, const char *bytes, std::size_t size)
{
    while (size > 0) {
        const ssize_t n = send(to, bytes, size, MSG_NOSIGNAL);
        if (n <= 0) {
            return false;
        }
        bytes += n;
        size -= static_cast<std::size_t>(n);
    }
    return true;
}

} // namespace

NarrowLink::NarrowLink(const std::string &target, std::size_t bytesPerSecond)
    : m_target(target)
    , m_bytesPerSecond(bytesPerSecond)
    , m_address(control_test::freeAddress())
    , m_listener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    const sockaddr_in address = parseAddress(m_address);
    const int one = 1;
    setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    BOOST_REQUIRE(bind(m_listener, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0);
    BOOST_REQUIRE(listen(m_listener, BACKLOG) == 0);
    m_acceptor = std::thread([this] {
        accept();
    });
}

NarrowLink::~NarrowLink()
{
    m_stopping = true;
    shutdown(m_listener, SHUT_RDWR);
    m_acceptor.join();
    close(m_listener);
    const std::lock_guard lock(m_mutex);
    for (const int it : m_sockets) {
        shutdown(it, SHUT_RDWR);
    }
    for (std::thread &it : m_carriers) {
        it.join();
    }
    for (const int it : m_sockets) {
        close(it);
    }
}

void NarrowLink::accept()
{
    const sockaddr_in target = parseAddress(m_target);
    while (!m_stopping) {
        const int caller = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (caller < 0) {
            return;
        }
        const int upstream = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        // Otherwise the target would believe that much has arrived that the link has not carried.
        setsockopt(upstream, SOL_SOCKET, SO_RCVBUF, &SOCKET_BUFFER_BYTES, sizeof(SOCKET_BUFFER_BYTES));
        if (connect(upstream, reinterpret_cast<const sockaddr *>(&target), sizeof(target)) != 0) {
            close(upstream);
            close(caller);
            continue;
        }
        const std::lock_guard lock(m_mutex);
        m_sockets.insert(m_sockets.end(), {caller, upstream});
        m_carriers.emplace_back([this, caller, upstream] {
            carry(caller, upstream, false);
        });
        m_carriers.emplace_back([this, caller, upstream] {
            carry(upstream, caller, true);
        });
    }
}

void NarrowLink::carry(int from, int to, bool isNarrow)
{
    std::array<char, PACKET_BYTES> buf{};
    while (!m_stopping) {
        const ssize_t n = recv(from, buf.data(), buf.size(), 0);
        if (n <= 0) {
            break;
        }
        const auto size = static_cast<std::size_t>(n);
        if (isNarrow) {
            const std::lock_guard lock(m_wire);
            std::this_thread::sleep_for(std::chrono::microseconds(size * 1'000'000 / m_bytesPerSecond));
            m_carried += size;
        }
        if (!sendAll(to, buf.data(), size)) {
            break;
        }
    }
    shutdown(from, SHUT_RDWR);
    shutdown(to, SHUT_RDWR);
}

} // namespace entry_test
