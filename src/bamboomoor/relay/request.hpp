/**
 * The decoded form of a request to be relayed and of the head of an upstream's response. Both are independent of the
 * protocol on either side, which the dialects of callers and upstreams encode and decode.
 */
#pragma once

#include "bamboomoor/base/clock.hpp"
#include "bamboomoor/http/message.hpp"
#include "bamboomoor/standing/upstreamsignal.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bamboomoor::relay
{

/** @brief A segment of a prompt that other requests may share as part of their prefix. */
struct PromptPart {
    std::string id;
    std::int64_t tokens = 0;

    friend bool operator==(const PromptPart &, const PromptPart &) = default;
};

/** @brief A caller's request. */
struct Request {
    // Identifies this try of the caller; upstreams echo it in their responses.
    std::string id;
    // In lower case, without port.
    std::string host;
    std::string method;
    std::string path;
    std::string query;
    // The headers to forward, without those that the upstream dialect adds.
    http::Headers headers;
    std::string body;
    // The caller's API key, empty if absent; never forwarded to an upstream.
    std::string key;
    // The timeout that the caller requested, if any.
    std::optional<base::Millis> timeout;
    // Id of the last event that the caller received from this stream; empty at its start.
    std::string lastEventId;
    // The caller's id of the try that began the resumed stream; empty if it is not named.
    std::string resumedId;
    // Empty for a request to a plain service.
    std::string model;
    // Empty for the base model.
    std::string adapter;
    // Token counts, set if the caller states them.
    std::optional<std::int64_t> promptTokens;
    std::optional<std::int64_t> maxTokens;
    // In prompt order; the last one is specific to the request or its session.
    std::vector<PromptPart> parts;
};

/**
 * @brief Identifies a request across its tries: the same caller sent the same body to the same path.
 * @param request The request.
 * @param caller The organisation, or what else stands for the caller.
 * @return A digest of 32 hexadecimal digits.
 */
[[nodiscard]] std::string fingerprint(const Request &request, std::string_view caller);

/** @brief Whether a response belongs to the request that it arrived for, by the request id that it echoes. */
enum class ResponseOwner { Same, Other, Unknown };

/** @brief The head of an upstream's response, as decoded by the upstream dialect. */
struct ResponseHead {
    int status = 0;
    // The headers for the caller, including the upstream's signature.
    http::Headers headers;
    ResponseOwner owner = ResponseOwner::Unknown;
    // The upstream states that it has not executed the request and will not do so later.
    bool notRun = false;
    // The request reached a different upstream than intended, or one that has not loaded the model.
    bool misdirected = false;
    // The response carries the upstream's signature.
    bool isSigned = false;
    // The body is a stream of server-sent events.
    bool isEventStream = false;
    // The signals about the upstream's own state that its headers carry.
    standing::UpstreamSignal signal;
};

/**
 * @brief Tells whether a response may belong to another request than the one it arrived for. A pooled connection may
 * deliver a late copy of an earlier response, which only the echoed id tells apart.
 * @param head The head of the response.
 * @param freshConnection Whether the connection carried no request before.
 * @return False if the response certainly belongs to the request.
 */
[[nodiscard]] constexpr bool mayBeForeign(const ResponseHead &head, bool freshConnection) noexcept
{
    return head.owner == ResponseOwner::Other || (head.owner == ResponseOwner::Unknown && !freshConnection);
}

} // namespace bamboomoor::relay
