/**
 * Converts consensus messages to and from their protobuf messages.
 */
#pragma once

#include "bamboomoor/consensus/messages.hpp"

#include "peer.pb.h"

#include <optional>

namespace bamboomoor::control
{

/**
 * @brief Converts a message for sending.
 * @param message The message.
 * @return The protobuf message.
 */
[[nodiscard]] peer::wire::Envelope toWire(const consensus::Message &message);

/**
 * @brief Converts a received message.
 * @param envelope The protobuf message.
 * @return The message, or nullopt if its body or the kind of one of its log entries is unknown.
 */
[[nodiscard]] std::optional<consensus::Message> fromWire(const peer::wire::Envelope &envelope);

} // namespace bamboomoor::control
