/**
 * Converts the messages between budget holders and the budget authority to and from their protobuf messages.
 */
#pragma once

#include "bamboomoor/budget/messages.hpp"

#include "peer.pb.h"

namespace bamboomoor::control
{

/** @brief Converts a token request. @param ask The request. @return The protobuf message. */
[[nodiscard]] peer::wire::BudgetAsk toWire(const budget::TokenRequest &ask);
/** @brief Converts a reply. @param reply The reply. @return The protobuf message, with `served` set. */
[[nodiscard]] peer::wire::BudgetReply toWire(const budget::TokenReply &reply);
/** @brief Converts a received token request. @param ask The protobuf message. @return The request. */
[[nodiscard]] budget::TokenRequest fromWire(const peer::wire::BudgetAsk &ask);
/** @brief Converts a received reply. @param reply The protobuf message. @return The reply; unknown statuses and
 * verdicts become `Outdated` and `Waiting`. */
[[nodiscard]] budget::TokenReply fromWire(const peer::wire::BudgetReply &reply);

} // namespace bamboomoor::control
