/**
 * Requests between entries: an entry that is partitioned from all upstreams sends its attempts through another one,
 * which passes the bytes to the named upstream and decides nothing. A request is forwarded once at most, as the
 * forwarding entry always calls the upstream itself.
 */
#pragma once

#include "bamboomoor/base/nametable.hpp"
#include "bamboomoor/http/client.hpp"
#include "bamboomoor/http/message.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace bamboomoor::gateway
{

/** @brief A request to forward, with what the forwarding entry has to check. */
struct ForwardRequest {
    // The fleet's token of entries.
    std::string token;
    std::string upstream;
    // The call to the upstream, with its timeouts.
    http::Call call;
};

/** @brief What a forwarding entry states about its response. */
enum class ForwardResult {
    // The response is the upstream's.
    Passed,
    // Nothing was sent to the upstream.
    Refused,
    // The upstream could not be connected to; nothing was sent.
    NotConnected,
    // The upstream gave no response; the request may have run.
    NoResponse,
    // The upstream closed the connection before it responded; the request may have run.
    Lost,
};

/** @brief The names of ForwardResult on the wire, in logs and counters. */
inline constexpr auto FORWARD_RESULT_NAMES =
    base::makeNames<ForwardResult>("passed", "refused", "not_connected", "no_response", "lost");

/** @brief The statement of a forwarding entry in the head of its response. */
struct ForwardStatement {
    ForwardResult result = ForwardResult::NoResponse;
    // The upstream's response had a length or chunks.
    bool delimited = true;
    // Why it refused.
    std::string reason;
};

/**
 * @brief Redirects a call to an upstream through another entry.
 * @param call The call, with its timeouts.
 * @param upstream The upstream.
 * @param peer "IP:PORT" of the forwarding entry.
 * @param token The fleet's token of entries.
 * @return The call to the forwarding entry.
 */
[[nodiscard]] http::Call forwardThrough(
    http::Call call, const std::string &upstream, const std::string &peer, const std::string &token);

/**
 * @brief Reads a request of another entry.
 * @param request The request.
 * @return The request to forward, or nothing if it is malformed.
 */
[[nodiscard]] std::optional<ForwardRequest> readForward(http::Request request);

/** @brief Adds a statement to the head of a response. @param statement The statement. @param headers The head. */
void addStatement(const ForwardStatement &statement, http::Headers &headers);

/**
 * @brief Takes the statement out of the head of a forwarding entry's response.
 * @param headers The head.
 * @return The statement, or nothing if the response does not come from a forwarding entry's handler.
 */
[[nodiscard]] std::optional<ForwardStatement> takeStatement(http::Headers &headers);

/** @brief The end of a forwarded attempt. */
struct ForwardedEnd {
    // As if the attempt had been sent directly.
    http::Ending ending;
    // The forwarding entry failed or did not forward; nothing is known of the upstream.
    bool peerFailed = false;
    // The reason for a log; empty for that of the ending.
    std::string reason;
};

/**
 * @brief Interprets the end of a call to a forwarding entry.
 * @param ending The end of the call.
 * @param hasHead Whether the head of a response arrived.
 * @param statement The statement in that head, if any.
 * @return What it means for the attempt; the request counts as not sent only if that is certain.
 */
[[nodiscard]] ForwardedEnd interpretEnd(
    http::Ending ending, bool hasHead, const std::optional<ForwardStatement> &statement);

} // namespace bamboomoor::gateway
