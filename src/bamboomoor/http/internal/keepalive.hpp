/**
 * Socket options by which the kernel notices that the other end of a connection is gone without a reset.
 *
 * Probes are sent only on a connection that is otherwise quiet. TCP_USER_TIMEOUT would override the number of probes,
 * and would also close a connection whose other end is slow to read; it is therefore set to 0, which disables it.
 */
#pragma once

#include "bamboomoor/base/clock.hpp"

namespace bamboomoor::http::internal
{

/** @brief When a silent connection is closed: after `idle` and `probes` times `interval`; whole seconds. */
struct KeepAlive {
    base::Millis idle;
    base::Millis interval;
    int probes = 0;
};

// Of connections to upstreams, 6 s: longer than a sound upstream pauses, shorter than the pool keeps a connection.
inline constexpr KeepAlive UPSTREAM_KEEP_ALIVE{{2'000}, {1'000}, 4};
// Of connections from callers, 30 s.
inline constexpr KeepAlive CALLER_KEEP_ALIVE{{10'000}, {5'000}, 4};

/**
 * @brief Sets the options.
 * @param socket A TCP socket.
 * @param keepAlive The times.
 * @return False if the kernel refused one of them.
 */
bool setKeepAlive(int socket, const KeepAlive &keepAlive) noexcept;

} // namespace bamboomoor::http::internal
