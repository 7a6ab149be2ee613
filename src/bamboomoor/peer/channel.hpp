/**
 * Limits shared by both ends of the connections between daemons.
 */
#pragma once

namespace bamboomoor::peer
{

/** @brief The largest message between daemons, in bytes. */
inline constexpr int MAX_MESSAGE_BYTES = 64 * 1024 * 1024;

} // namespace bamboomoor::peer
