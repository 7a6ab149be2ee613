/**
 * Header lines of requests between entries.
 */
#include "bamboomoor/gateway/forwarding.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdint>
#include <system_error>
#include <utility>

namespace bamboomoor::gateway
{

namespace
{

constexpr std::string_view TOKEN = "X-Bamboomoor-Token";
constexpr std::string_view UPSTREAM = "X-Bamboomoor-Upstream";
constexpr std::string_view ADDRESS = "X-Bamboomoor-Address";
// "CONNECT,TOTAL,FRESH": the timeouts in milliseconds, and 1 for a new connection.
constexpr std::string_view LIMITS = "X-Bamboomoor-Limits";
// "RESULT", or "RESULT,REASON".
constexpr std::string_view STATEMENT = "X-Bamboomoor-Forward";
constexpr std::string_view UNDELIMITED = "X-Bamboomoor-Undelimited";

constexpr std::string_view SCHEME = "http://";

// Lines that concern only the connection between the entries.
constexpr std::array<std::string_view, 4> HOP_LINES{"Connection", "Content-Length", "Transfer-Encoding", "Keep-Alive"};

std::string take(http::Headers &headers, std::string_view name)
{
    std::string value(http::headerValue(headers, name));
    std::erase_if(headers, [name](const http::Header &it) {
        return http::equalsIgnoringCase(it.name, name);
    });
    return value;
}

std::optional<std::int64_t> takeNumber(std::string_view &text)
{
    const std::string_view digits = text.substr(0, text.find(','));
    text.remove_prefix(std::min(digits.size() + 1, text.size()));
    std::int64_t value = 0;
    const auto [end, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), value);
    if (ec != std::errc() || end != digits.data() + digits.size() || value < 0) {
        return std::nullopt;
    }
    return value;
}

} // namespace

http::Call forwardThrough(
    http::Call call, const std::string &upstream, const std::string &peer, const std::string &token)
{
    const std::size_t slash = call.url.find('/', SCHEME.size());
    const std::string address = call.url.substr(SCHEME.size(), slash - SCHEME.size());
    call.url = std::string(SCHEME) + peer + call.url.substr(slash);
    std::string limits = std::to_string(call.connectTimeout.count) + ',' + std::to_string(call.totalTimeout.count) + ','
        + (call.freshConnection ? "1" : "0");
    // The first line of a name counts.
    call.headers.insert(call.headers.begin(),
        {{std::string(TOKEN), token}, {std::string(UPSTREAM), upstream}, {std::string(ADDRESS), address},
            {std::string(LIMITS), std::move(limits)}});
    return call;
}

std::optional<ForwardRequest> readForward(http::Request request)
{
    ForwardRequest forward;
    forward.token = take(request.headers, TOKEN);
    forward.upstream = take(request.headers, UPSTREAM);
    const std::string address = take(request.headers, ADDRESS);
    const std::string limits = take(request.headers, LIMITS);
    std::string_view rest = limits;
    const auto connect = takeNumber(rest);
    const auto total = takeNumber(rest);
    const auto fresh = takeNumber(rest);
    if (forward.upstream.empty() || address.empty() || !connect || !total || !fresh || !request.path.starts_with('/')) {
        return std::nullopt;
    }
    for (const std::string_view it : HOP_LINES) {
        take(request.headers, it);
    }
    http::Call &call = forward.call;
    call.method = std::move(request.method);
    call.url = std::string(SCHEME) + address + request.path;
    if (!request.query.empty()) {
        call.url += '?' + request.query;
    }
    call.headers = std::move(request.headers);
    call.body = std::move(request.body);
    call.connectTimeout = base::Millis{*connect};
    call.totalTimeout = base::Millis{*total};
    call.firstByteTimeout = call.totalTimeout;
    call.progressTimeout = call.totalTimeout;
    call.freshConnection = *fresh != 0;
    return forward;
}

void addStatement(const ForwardStatement &statement, http::Headers &headers)
{
    take(headers, STATEMENT);
    take(headers, UNDELIMITED);
    std::string text(FORWARD_RESULT_NAMES.name(statement.result));
    if (!statement.reason.empty()) {
        text += ',' + statement.reason;
    }
    headers.push_back({std::string(STATEMENT), std::move(text)});
    if (!statement.delimited) {
        headers.push_back({std::string(UNDELIMITED), "1"});
    }
}

std::optional<ForwardStatement> takeStatement(http::Headers &headers)
{
    const std::string text = take(headers, STATEMENT);
    const std::size_t comma = std::min(text.find(','), text.size());
    const auto result = FORWARD_RESULT_NAMES.find(std::string_view(text).substr(0, comma));
    if (!result) {
        return std::nullopt;
    }
    ForwardStatement statement;
    statement.result = *result;
    statement.delimited = take(headers, UNDELIMITED).empty();
    statement.reason = comma < text.size() ? text.substr(comma + 1) : std::string();
    return statement;
}

ForwardedEnd interpretEnd(http::Ending ending, bool hasHead, const std::optional<ForwardStatement> &statement)
{
    ForwardedEnd end{std::move(ending), false, {}};
    if (!statement) {
        // A head without a statement comes from the server of the forwarding entry or from another process.
        end.peerFailed = true;
        end.reason = hasHead ? "peer_unknown" : "peer_" + std::string(http::END_KIND_NAMES.name(end.ending.kind));
        return end;
    }
    switch (statement->result) {
    case ForwardResult::Passed:
        end.ending.delimited = end.ending.delimited && statement->delimited;
        break;
    case ForwardResult::Refused:
        end.peerFailed = true;
        end.reason = "peer_refused_" + statement->reason;
        end.ending.bytesSent = false;
        break;
    case ForwardResult::NotConnected:
        // A pause and a refusal of the upstream mean different things to its sender.
        end.ending.kind = statement->reason == http::END_KIND_NAMES.name(http::EndKind::ConnectTimeout)
            ? http::EndKind::ConnectTimeout
            : http::EndKind::ConnectFailed;
        end.ending.bytesSent = false;
        break;
    case ForwardResult::NoResponse:
        end.ending.kind = http::EndKind::Silent;
        break;
    case ForwardResult::Lost:
        end.ending.kind = http::EndKind::ResetBeforeAnswer;
        break;
    }
    return end;
}

} // namespace bamboomoor::gateway
