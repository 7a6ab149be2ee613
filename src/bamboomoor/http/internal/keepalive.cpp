/**
 * Setting of the keep-alive options of a socket.
 */
#include "bamboomoor/http/internal/keepalive.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace bamboomoor::http::internal
{

namespace
{

constexpr std::int64_t MILLIS_PER_SECOND = 1'000;

bool setOption(int socket, int level, int name, int value) noexcept
{
    return setsockopt(socket, level, name, &value, sizeof(value)) == 0;
}

int toSeconds(base::Millis span) noexcept
{
    return static_cast<int>(span.count / MILLIS_PER_SECOND);
}

} // namespace

bool setKeepAlive(int socket, const KeepAlive &keepAlive) noexcept
{
    return setOption(socket, SOL_SOCKET, SO_KEEPALIVE, 1)
        && setOption(socket, IPPROTO_TCP, TCP_KEEPIDLE, toSeconds(keepAlive.idle))
        && setOption(socket, IPPROTO_TCP, TCP_KEEPINTVL, toSeconds(keepAlive.interval))
        && setOption(socket, IPPROTO_TCP, TCP_KEEPCNT, keepAlive.probes)
        && setOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, 0);
}

} // namespace bamboomoor::http::internal
