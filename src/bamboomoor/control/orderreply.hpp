/**
 * The reply of an upstream of the product's own protocol to an order.
 */
#pragma once

#include "bamboomoor/placement/message.hpp"

#include <string_view>

namespace bamboomoor::control
{

/**
 * @brief Reads a complete reply to an order.
 * @param status HTTP status.
 * @param body Any bytes.
 * @return What became of the order; Unknown if the reply cannot be read.
 */
[[nodiscard]] placement::TransportResult readOrderReply(int status, std::string_view body);

} // namespace bamboomoor::control
