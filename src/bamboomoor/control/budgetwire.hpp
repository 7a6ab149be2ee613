/**
 * Turns the messages between holders and the authority into their form between daemons, and back.
 */
#pragma once

#include "bamboomoor/budget/messages.hpp"

#include "peer.pb.h"

namespace bamboomoor::control
{

/** @brief Converts an ask. @param ask The ask. @return Its wire form. */
[[nodiscard]] peer::wire::BudgetAsk toWire(const budget::Ask &ask);
/** @brief Converts a reply. @param reply The reply. @return Its wire form, served. */
[[nodiscard]] peer::wire::BudgetReply toWire(const budget::Reply &reply);
/** @brief Converts a received ask. @param ask The wire form. @return The ask. */
[[nodiscard]] budget::Ask fromWire(const peer::wire::BudgetAsk &ask);
/** @brief Converts a received reply. @param reply The wire form. @return The reply. */
[[nodiscard]] budget::Reply fromWire(const peer::wire::BudgetReply &reply);

} // namespace bamboomoor::control
