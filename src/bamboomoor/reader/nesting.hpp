/**
 * The depth of a TOML text, found without parsing it.
 */
#pragma once

#include <cstddef>
#include <string_view>

namespace bamboomoor::reader
{

/** @brief The most parts of a dotted key, and the most brackets that are open at one place. */
inline constexpr std::size_t MAX_LEVELS = 64;

/**
 * @brief Tells whether a text is too deep to be parsed: tables are destroyed recursively, a level for each part of a
 * key.
 * @param text TOML, or any bytes.
 * @return True if a key has more parts than MAX_LEVELS, or more brackets are open, strings and comments aside.
 */
[[nodiscard]] bool isTooDeep(std::string_view text) noexcept;

} // namespace bamboomoor::reader
