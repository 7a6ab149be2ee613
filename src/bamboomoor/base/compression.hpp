/**
 * Lossless compression of bytes that are sent over narrow links.
 */
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace bamboomoor::base
{

/**
 * @brief Compresses bytes in the zlib format (RFC 1950).
 * @param bytes Any bytes.
 * @return The compressed bytes; equal for equal bytes in the same build.
 */
[[nodiscard]] std::string compress(std::string_view bytes);

/**
 * @brief Reverses compress().
 * @param compressed The compressed bytes.
 * @param maxSize The largest result that is accepted, in bytes.
 * @return The original bytes, or nothing if the input is damaged or its result larger.
 */
[[nodiscard]] std::optional<std::string> decompress(std::string_view compressed, std::size_t maxSize);

} // namespace bamboomoor::base
