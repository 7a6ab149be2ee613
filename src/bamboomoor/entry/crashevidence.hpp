/**
 * What of a request and of its failed attempts is evidence for the quarantine of what crashes upstreams.
 */
#pragma once

#include "bamboomoor/entry/target.hpp"
#include "bamboomoor/http/message.hpp"
#include "bamboomoor/quarantine/promptguard.hpp"
#include "bamboomoor/routing/delivery.hpp"

#include <cstddef>
#include <string_view>

namespace bamboomoor::entry
{

/**
 * @brief Digests what may be quarantined about a request.
 * @param request The request. Its headers do not count, as a resend may come with others or to another entry.
 * @param resolved What follows from its path and body.
 * @param organisation The caller's organisation; empty on an open route.
 * @return One part for each message of a generation, and a digest of the caller, the path and the body.
 */
[[nodiscard]] quarantine::RequestTraits traitsOf(
    const http::Request &request, const Resolved &resolved, std::string_view organisation);

/**
 * @brief Tells whether an upstream may have crashed on a request.
 * @param failure How the attempt failed.
 * @param events Events of a stream that had arrived.
 * @return True if the connection was lost before the upstream had survived the request.
 */
[[nodiscard]] bool mayBeCrash(routing::FailureKind failure, std::size_t events) noexcept;

} // namespace bamboomoor::entry
