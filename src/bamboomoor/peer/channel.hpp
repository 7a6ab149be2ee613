/**
 * Constants shared by both ends of the connections between daemons.
 */
#pragma once

#include <cstdint>

namespace bamboomoor::peer
{

/** @brief The largest message between daemons, in bytes. */
inline constexpr int MAX_MESSAGE_BYTES = 64 * 1024 * 1024;

/** @brief In a HistoryRequest: all versions, without their documents. */
inline constexpr std::uint64_t ALL_VERSIONS = 0;

/** @brief In a HistoryRequest: the version in force, with its document. */
inline constexpr std::uint64_t VERSION_IN_FORCE = UINT64_MAX;

} // namespace bamboomoor::peer
