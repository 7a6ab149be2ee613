/**
 * Loss of all packets at sockets of this process, as a partition of their connections causes it.
 */
#pragma once

#include <linux/filter.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <array>
#include <utility>
#include <vector>

namespace bamboomoor::fakes
{

inline int portOf(const sockaddr_storage &address)
{
    return ntohs(address.ss_family == AF_INET6 ? reinterpret_cast<const sockaddr_in6 &>(address).sin6_port
                                               : reinterpret_cast<const sockaddr_in &>(address).sin_port);
}

/** @brief Lists the connected sockets of this process with an end at the given port. */
inline std::vector<int> socketsAt(int port)
{
    constexpr int MAX_SOCKET = 1'024;
    std::vector<int> sockets;
    for (int n = 0; n < MAX_SOCKET; ++n) {
        sockaddr_storage local{};
        sockaddr_storage remote{};
        socklen_t size = sizeof(local);
        socklen_t remoteSize = sizeof(remote);
        const bool isConnected = getsockname(n, reinterpret_cast<sockaddr *>(&local), &size) == 0
            && getpeername(n, reinterpret_cast<sockaddr *>(&remote), &remoteSize) == 0;
        if (isConnected && (portOf(local) == port || portOf(remote) == port)) {
            sockets.push_back(n);
        }
    }
    return sockets;
}

/** @brief Drops every packet that reaches the given sockets, acknowledgements included, until heal(). */
class PacketLoss
{
public:
    explicit PacketLoss(std::vector<int> sockets)
        : m_sockets(std::move(sockets))
    {
        std::array<sock_filter, 1> code{{BPF_STMT(BPF_RET | BPF_K, 0)}};
        const sock_fprog program{static_cast<unsigned short>(code.size()), code.data()};
        for (const int it : m_sockets) {
            setsockopt(it, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof(program));
        }
    }

    void heal() const
    {
        const int none = 0;
        for (const int it : m_sockets) {
            setsockopt(it, SOL_SOCKET, SO_DETACH_FILTER, &none, sizeof(none));
        }
    }

private:
    const std::vector<int> m_sockets;
};

} // namespace bamboomoor::fakes
