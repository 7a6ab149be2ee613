/**
 * Converts the reports on prompt parts that crash upstreams to and from the messages between entries and the leader.
 * Times travel as ages, as the clocks of VMs differ.
 */
#pragma once

#include "bamboomoor/base/clock.hpp"
#include "bamboomoor/quarantine/promptguard.hpp"

#include "peer.pb.h"

namespace bamboomoor::control
{

/** @brief Adds a report to a message. @param now The current time. @param report The report. @param out The message. */
void toWire(base::Millis now, const quarantine::Report &report, peer::wire::DemandReport &out);
/** @brief Adds a reply to a message. @param now The current time. @param reply The reply; its term is not written.
 * @param out The message. */
void toWire(base::Millis now, const quarantine::LeaderReply &reply, peer::wire::DemandReply &out);
/** @brief Reads a report. @param now The current time. @param in The message. @return The report, without elements that
 * exceed the bounds. */
[[nodiscard]] quarantine::Report quarantineReport(base::Millis now, const peer::wire::DemandReport &in);
/** @brief Reads a reply. @param now The current time. @param in The message. @return The reply, without elements that
 * exceed the bounds. */
[[nodiscard]] quarantine::LeaderReply quarantineReply(base::Millis now, const peer::wire::DemandReply &in);

} // namespace bamboomoor::control
