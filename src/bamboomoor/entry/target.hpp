/**
 * Whom a request goes to, by its path and body.
 */
#pragma once

#include "bamboomoor/admission/refusal.hpp"
#include "bamboomoor/base/clock.hpp"
#include "bamboomoor/base/outcome.hpp"
#include "bamboomoor/config/document.hpp"
#include "bamboomoor/entry/generation.hpp"
#include "bamboomoor/http/message.hpp"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace bamboomoor::entry
{

/** @brief What kind of upstream serves a request. */
enum class TargetKind { Generation, Service };

/** @brief The upstreams that can serve a request are those with the same target. */
struct Target {
    TargetKind kind = TargetKind::Service;
    std::string model;
    // Empty for the model itself.
    std::string adapter;
    std::string version;
    // Empty for a generation.
    std::string service;

    friend auto operator<=>(const Target &, const Target &) = default;
};

/** @brief A request with all that follows from its path and body. */
struct Resolved {
    Target target;
    // True when callers need no key.
    bool open = false;
    bool idempotent = false;
    base::Millis retention;
    // Tokens that the request may cost at the most.
    std::int64_t cost = 0;
    // The most tokens that it may generate.
    std::int64_t maxTokens = 0;
    // Held for a generation.
    std::optional<Generation> generation;
};

/** @brief Why a request goes nowhere. */
struct Unresolved {
    admission::Refusal refusal = admission::Refusal::UnknownRoute;
    // One line.
    std::string message;
};

/**
 * @brief Finds whom a request goes to.
 * @param document The configuration document.
 * @param request The request.
 * @return The target and its costs, or a refusal.
 */
[[nodiscard]] base::Result<Resolved, Unresolved> resolve(
    const config::Document &document, const http::Request &request);

} // namespace bamboomoor::entry
