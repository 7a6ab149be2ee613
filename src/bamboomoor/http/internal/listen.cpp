/**
 * Opening of listening sockets.
 */
#include "bamboomoor/http/internal/listen.hpp"

#include <linux/filter.h>
#include <netdb.h>
#include <netinet/in.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <memory>
#include <system_error>

namespace bamboomoor::http::internal
{

namespace
{

// Completed connections that may wait for the library to accept them.
constexpr int BACKLOG = 4'096;

ServerError failed(const std::string &address, const std::string &why)
{
    return {"cannot listen on " + address + ": " + why};
}

std::string portOf(int socket)
{
    sockaddr_storage bound{};
    socklen_t size = sizeof(bound);
    getsockname(socket, reinterpret_cast<sockaddr *>(&bound), &size);
    const auto port = bound.ss_family == AF_INET6 ? reinterpret_cast<const sockaddr_in6 *>(&bound)->sin6_port
                                                  : reinterpret_cast<const sockaddr_in *>(&bound)->sin_port;
    return std::to_string(ntohs(port));
}

bool bindAndListen(int socket, const addrinfo &info) noexcept
{
    const int one = 1;
    setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    return bind(socket, info.ai_addr, info.ai_addrlen) == 0 && listen(socket, BACKLOG) == 0;
}

} // namespace

base::Result<ListeningSocket, ServerError> listenOn(const std::string &address)
{
    const std::size_t colon = address.rfind(':');
    if (colon == std::string::npos) {
        return base::failure(failed(address, "not of the form IP:PORT"));
    }
    std::string host = address.substr(0, colon);
    if (host.starts_with('[') && host.ends_with(']')) {
        host = host.substr(1, host.size() - 2);
    }
    addrinfo hints{};
    hints.ai_flags = AI_NUMERICHOST | AI_NUMERICSERV | AI_PASSIVE;
    hints.ai_socktype = SOCK_STREAM;
    addrinfo *found = nullptr;
    if (getaddrinfo(host.c_str(), address.c_str() + colon + 1, &hints, &found) != 0) {
        return base::failure(failed(address, "not of the form IP:PORT"));
    }
    const std::unique_ptr<addrinfo, decltype(&freeaddrinfo)> info(found, &freeaddrinfo);
    const int socket = ::socket(info->ai_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (socket < 0 || !bindAndListen(socket, *info)) {
        const std::string why = std::system_category().message(errno);
        if (socket >= 0) {
            close(socket);
        }
        return base::failure(failed(address, why));
    }
    return ListeningSocket{socket, address.substr(0, colon + 1) + portOf(socket)};
}

void dropNewConnections(int socket) noexcept
{
    // The filter sees a packet from its TCP header on; byte 13 holds the flags, and 2 is SYN.
    std::array<sock_filter, 4> code{{
        BPF_STMT(BPF_LD | BPF_B | BPF_ABS, 13),
        BPF_JUMP(BPF_JMP | BPF_JSET | BPF_K, 2, 0, 1),
        BPF_STMT(BPF_RET | BPF_K, 0),
        BPF_STMT(BPF_RET | BPF_K, 0xffffffff),
    }};
    const sock_fprog program{static_cast<unsigned short>(code.size()), code.data()};
    setsockopt(socket, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof(program));
}

void raiseFileLimit() noexcept
{
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur < limit.rlim_max) {
        limit.rlim_cur = limit.rlim_max;
        setrlimit(RLIMIT_NOFILE, &limit);
    }
}

} // namespace bamboomoor::http::internal
