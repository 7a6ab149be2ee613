/**
 * Converts the reports and replies on the room of brittle upstreams to and from the messages between entries and the
 * leader. Times travel as ages, as the clocks of VMs differ.
 */
#pragma once

#include "bamboomoor/base/clock.hpp"
#include "bamboomoor/standing/roomtracker.hpp"

#include "peer.pb.h"

namespace bamboomoor::control
{

/** @brief Writes a report. @param now The current time. @param report The report. @return The message. */
[[nodiscard]] peer::wire::UpstreamRoom toWire(base::Millis now, const standing::RoomReport &report);
/** @brief Writes a reply. @param now The current time. @param grant The reply. @return The message. */
[[nodiscard]] peer::wire::UpstreamRoom toWire(base::Millis now, const standing::RoomGrant &grant);
/** @brief Reads a report. @param now The current time. @param in The message. @return The report; numbers out of bounds
 * are brought into them. */
[[nodiscard]] standing::RoomReport roomReport(base::Millis now, const peer::wire::UpstreamRoom &in);
/** @brief Reads a reply. @param now The current time. @param in The message. @return The reply; numbers out of bounds
 * are brought into them. */
[[nodiscard]] standing::RoomGrant roomGrant(base::Millis now, const peer::wire::UpstreamRoom &in);

} // namespace bamboomoor::control
