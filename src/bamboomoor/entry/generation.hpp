/**
 * The OpenAI-style requests for generations: what of their JSON concerns the entry, and the chunks of their answers.
 */
#pragma once

#include "bamboomoor/base/outcome.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bamboomoor::entry
{

/** @brief What the entry reads of a request for a generation. */
struct Generation {
    // The model or adapter that the caller names.
    std::string model;
    // The version that the caller names, or empty.
    std::string version;
    bool stream = false;
    // True when the caller asked for the usage at the end of a stream.
    bool includeUsage = false;
    // Nothing when the caller names no limit.
    std::optional<std::int64_t> maxTokens;
    // Estimated from the length of the prompt's text.
    std::int64_t promptTokens = 0;
    std::int64_t priority = 0;
    // Digest of the prompt's beginning, by which prefixes cached at engines are found.
    std::uint64_t prefixHash = 0;
    // The whole body, to be sent on.
    nlohmann::json body;
};

/** @brief Why a body is no request for a generation. */
struct GenerationError {
    // One line that names the field.
    std::string message;
};

/** @brief Bytes of text that count as one token in an estimate. */
inline constexpr std::int64_t BYTES_PER_TOKEN = 4;

/**
 * @brief Reads the body of POST /v1/chat/completions or /v1/completions.
 * @param body Any bytes.
 * @return The request, or what is wrong with it.
 */
[[nodiscard]] base::Result<Generation, GenerationError> parseGeneration(std::string_view body);

/** @brief What one event of a stream, or a whole answer, tells. */
struct Progress {
    // Tokens of text in this event.
    std::int64_t tokens = 0;
    // Set once the engine has said why it ended.
    bool finished = false;
    std::optional<std::int64_t> promptTokens;
    std::optional<std::int64_t> completionTokens;
};

/**
 * @brief Reads the data of one event of a streamed answer, or a whole answer.
 * @param data JSON text.
 * @return What it tells, or nothing when it is no answer of an engine.
 */
[[nodiscard]] std::optional<Progress> readProgress(std::string_view data);

} // namespace bamboomoor::entry
