/**
 * Turns consensus messages into their form between daemons, and back.
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
 * @return Its wire form.
 */
[[nodiscard]] peer::wire::Envelope toWire(const consensus::Message &message);

/**
 * @brief Converts a received message.
 * @param envelope The wire form.
 * @return The message, or nothing when it has no known body.
 */
[[nodiscard]] std::optional<consensus::Message> fromWire(const peer::wire::Envelope &envelope);

} // namespace bamboomoor::control
