/**
 * Constants shared by both ends of the connections between daemons.
 */
#pragma once

#include "bamboomoor/base/clock.hpp"

#include <cstdint>

namespace bamboomoor::peer
{

/** @brief The largest message between daemons, in bytes. */
inline constexpr int MAX_MESSAGE_BYTES = 64 * 1024 * 1024;

/** @brief After this time without a byte from a peer, the server asks it for a sign of life. */
inline constexpr base::Millis SILENT_PEER_PING{20'000};

/** @brief How long a peer may leave that, or any bytes, without an acknowledgement before the server closes the
 * connection. gRPC also sets it as TCP_USER_TIMEOUT. */
inline constexpr base::Millis SILENT_PEER_TIMEOUT{10'000};

/** @brief In a HistoryRequest: all versions, without their documents. */
inline constexpr std::uint64_t ALL_VERSIONS = 0;

/** @brief In a HistoryRequest: the version in force, with its document. */
inline constexpr std::uint64_t VERSION_IN_FORCE = UINT64_MAX;

} // namespace bamboomoor::peer
