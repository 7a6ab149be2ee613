/**
 * Parsing of JSON from untrusted senders.
 */
#pragma once

#include <nlohmann/json.hpp>

#include <cstddef>
#include <string_view>

namespace bamboomoor::base
{

/** @brief The deepest nesting that is read. Copying, comparing and printing a value take stack for each level. */
inline constexpr std::size_t MAX_JSON_DEPTH = 256;

/**
 * @brief Tells whether the arrays and objects of a text nest deeper than a bound.
 * @param text JSON, or any bytes.
 * @param depth The bound.
 * @return True if more brackets than that are open at one place, not counting those inside strings.
 */
[[nodiscard]] bool isNestedDeeper(std::string_view text, std::size_t depth) noexcept;

/**
 * @brief Parses JSON; throws nothing.
 * @param text Any bytes.
 * @return The value; discarded if the text is not JSON, nests deeper than MAX_JSON_DEPTH, or has a number that no
 * double can hold.
 */
[[nodiscard]] nlohmann::json parseJson(std::string_view text);

} // namespace bamboomoor::base
