/**
 * A request to relay, as a caller's dialect has decoded it, and the head of an upstream's answer to it.
 */
#pragma once

#include "bamboomoor/base/clock.hpp"
#include "bamboomoor/http/message.hpp"
#include "bamboomoor/standing/word.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace bamboomoor::relay
{

/** @brief A piece of a prompt that other requests may begin with too. */
struct PromptPart {
    std::string id;
    std::int64_t tokens = 0;

    friend bool operator==(const PromptPart &, const PromptPart &) = default;
};

/** @brief A caller's request. */
struct Request {
    // Names this try of the caller; upstreams repeat it in their answers.
    std::string id;
    // In lower case, without port.
    std::string host;
    std::string method;
    std::string path;
    std::string query;
    // What an upstream may see, without the lines that the dialect adds by itself.
    http::Headers headers;
    std::string body;
    // The caller's key; empty without one. No upstream sees it.
    std::string key;
    // How long the caller waits; nothing when it does not say.
    std::optional<base::Millis> patience;
    // The last event that the caller has of this stream; empty at its start.
    std::string lastEventId;
    // Empty for a request to a plain service.
    std::string model;
    // Empty for the model itself.
    std::string adapter;
    // Held when the caller tells its tokens.
    std::optional<std::int64_t> promptTokens;
    std::optional<std::int64_t> maxTokens;
    // In the order of the prompt; the last one belongs to the request or its session.
    std::vector<PromptPart> parts;
};

/** @brief What an answer says of the request that it belongs to. */
enum class AnswerOwner { Same, Other, Unknown };

/** @brief The head of an upstream's answer, as the upstreams' dialect has decoded it. */
struct AnswerHead {
    int status = 0;
    // What the caller receives, with the upstream's signature.
    http::Headers headers;
    AnswerOwner owner = AnswerOwner::Unknown;
    // The upstream says that it has not run the request and never will.
    bool notRun = false;
    // The upstream is not the one that was meant, or does not hold the model.
    bool misdirected = false;
    // The answer carries the upstream's signature.
    bool isSigned = false;
    // The body is a stream of events.
    bool isEventStream = false;
    // What the upstream says of itself.
    standing::Word word;
};

} // namespace bamboomoor::relay
