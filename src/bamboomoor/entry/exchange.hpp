/**
 * One request of a caller from its arrival to its answer, as the entry's thread keeps it.
 */
#pragma once

#include "bamboomoor/base/clock.hpp"
#include "bamboomoor/entry/target.hpp"
#include "bamboomoor/http/answermemory.hpp"
#include "bamboomoor/http/client.hpp"
#include "bamboomoor/http/message.hpp"
#include "bamboomoor/http/server.hpp"
#include "bamboomoor/http/sse.hpp"
#include "bamboomoor/quarantine/promptguard.hpp"
#include "bamboomoor/routing/delivery.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace bamboomoor::entry
{

/** @brief What a request waits for. */
enum class Phase { Claiming, Budgeting, Queued, BackingOff, Running, Storing };

/** @brief The names of the phases. */
inline constexpr auto PHASE_NAMES =
    base::makeNames<Phase>("claiming", "budgeting", "queued", "backing_off", "running", "storing");

/** @brief One try to get the answer from an upstream. */
struct Attempt {
    // 0 when none is open.
    std::uint64_t id = 0;
    std::string upstream;
    std::uint64_t incarnation = 0;
    // The software version of the upstream.
    std::string software;
    base::Millis sentAt;
    http::CallId call;
    // False if the connection may have carried earlier requests.
    bool freshConnection = true;
    // What the answer holds of the memory for answers.
    std::shared_ptr<http::AnswerMemory::Share> memory;
    // Bytes of it that the parser holds.
    std::size_t parsing = 0;
    int status = 0;
    http::Headers headers;
    std::string body;
    http::SseParser parser = http::SseParser();
    bool sawDone = false;
    // Events of a stream that arrived.
    std::size_t events = 0;
};

/** @brief A request in progress. */
struct Exchange {
    std::uint64_t id = 0;
    std::string requestId;
    std::shared_ptr<http::Responder> responder;
    http::Request request;
    Resolved resolved;
    // Empty on a route open to all that came without a key.
    std::string organisation;
    std::string keyHash;
    base::Millis arrivedAt;
    base::Millis deadline;
    Phase phase = Phase::Budgeting;
    // When a BackingOff exchange goes on.
    base::Millis resumeAt;
    // Names the admission at the budget's holder; 0 on open routes.
    std::uint64_t reservation = 0;
    // The caller's Idempotency-Key, or empty.
    std::string claimKey;
    // 0 until the claim is open.
    std::uint64_t claimId = 0;
    routing::Delivery delivery{routing::DeliveryOptions{}};
    Attempt attempt;
    // True once the head of a streamed answer went to the caller.
    bool streaming = false;
    // The software version that began the streamed answer; only it may go on with it.
    std::optional<std::string> software;
    // The id in the first chunk, kept over a resume.
    std::string streamId;
    std::int64_t generatedTokens = 0;
    std::optional<std::int64_t> usedTokens;
    base::Millis lastTokenAt;
    bool callerGone = false;
    // Computed at first need.
    std::optional<quarantine::RequestTraits> traits;
    // The answer of an upstream while it is being stored.
    std::optional<http::Response> answer;
};

} // namespace bamboomoor::entry
