/**
 * JSON encoding of announcements and of the deltas that replicate them between registries.
 */
#pragma once

#include "bamboomoor/base/outcome.hpp"
#include "bamboomoor/membership/announcement.hpp"
#include "bamboomoor/membership/registry.hpp"

#include <cstddef>
#include <string>
#include <string_view>

namespace bamboomoor::membership
{

/** @brief Reason why a text could not be parsed. */
enum class ParseErrorKind { NotJson, MissingField, WrongType, BadValue };

/** @brief Names of the parse errors. */
inline constexpr auto PARSE_ERROR_KIND_NAMES =
    base::makeNames<ParseErrorKind>("not_json", "missing_field", "wrong_type", "bad_value");

/** @brief A parse error and its location. */
struct ParseError {
    ParseErrorKind kind = ParseErrorKind::NotJson;
    // Path of the field, such as "accelerators[0].memory_mib"; empty for the whole document.
    std::string field;
};

/**
 * @brief Encodes an announcement as JSON.
 * @param announcement The announcement.
 * @return One JSON object without line breaks.
 */
[[nodiscard]] std::string encode(const Announcement &announcement);

/** @brief Longest announcement, in bytes of its encoding, so that the message with a delta of many stays bounded. */
inline constexpr std::size_t MAX_ANNOUNCEMENT_BYTES = 262'144;

/**
 * @brief Tells whether an announcement that was read from another format can be passed on to other registries.
 * @param announcement The announcement.
 * @return Success, or the first field that parse() would not read as it is; no field if that is not known.
 */
[[nodiscard]] base::Result<void, ParseError> check(const Announcement &announcement);

/**
 * @brief Parses an announcement from JSON; unknown fields are ignored.
 * @param text The JSON text.
 * @return The announcement, or the first error found.
 */
[[nodiscard]] base::Result<Announcement, ParseError> parse(std::string_view text);

/**
 * @brief Encodes a delta as JSON.
 * @param delta The delta.
 * @return One JSON object without line breaks.
 */
[[nodiscard]] std::string encodeDelta(const Delta &delta);

/**
 * @brief Parses a delta from JSON; unknown fields are ignored, and elements that cannot be read are left out.
 * @param text The JSON text.
 * @return The delta, or the first error outside of its elements.
 */
[[nodiscard]] base::Result<Delta, ParseError> parseDelta(std::string_view text);

} // namespace bamboomoor::membership
