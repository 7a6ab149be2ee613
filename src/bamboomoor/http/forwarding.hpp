/**
 * What of a caller's request may reach an upstream: no key, no organisation claimed by the caller, nothing that
 * concerns only the caller's own connection.
 */
#pragma once

#include "bamboomoor/http/message.hpp"

#include <string>
#include <string_view>

namespace bamboomoor::http
{

/**
 * @brief Selects the header lines that an upstream may see.
 * @param headers The caller's header lines.
 * @return Those that carry no key, no organisation or other X-Bamboomoor- line, no Host, Content-Length or Expect,
 * and are not hop-by-hop, neither by name nor by nomination in a Connection line; in their order.
 */
[[nodiscard]] Headers forwardHeaders(const Headers &headers);

/**
 * @brief Removes the parameters that carry a key from a query.
 * @param query The raw query, without question mark.
 * @return The remaining parameters in their order; names are compared decoded and without regard to case.
 */
[[nodiscard]] std::string stripQuery(std::string_view query);

} // namespace bamboomoor::http
