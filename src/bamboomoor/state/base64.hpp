/**
 * Base64 of RFC 4648, which embeds binary bodies in JSON.
 */
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace bamboomoor::state::internal
{

/**
 * @brief Encodes bytes.
 * @param bytes Any bytes.
 * @return Base64 with padding.
 */
[[nodiscard]] std::string toBase64(std::string_view bytes);

/**
 * @brief Decodes base64.
 * @param text The text, with padding.
 * @return The bytes, or nothing if the text is not valid base64.
 */
[[nodiscard]] std::optional<std::string> fromBase64(std::string_view text);

} // namespace bamboomoor::state::internal
