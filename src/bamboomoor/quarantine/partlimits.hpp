/**
 * Bounds of a prompt in reports and the form of a request's identity, which sender and receiver must agree on; and what
 * counts as evidence on all paths.
 */
#pragma once

#include <cstddef>
#include <string_view>

namespace bamboomoor::quarantine
{

// In bytes; longer ids are replaced by their digests, which are as long.
inline constexpr std::size_t MAX_PART_LENGTH = 64;
// Further parts of a prompt are ignored.
inline constexpr std::size_t MAX_PARTS = 16;
// Of the digests that identify requests, in hexadecimal digits.
inline constexpr std::size_t FINGERPRINT_LENGTH = 32;
// An upstream that has sent so many events of an answer has survived the request; it may still crash after the first.
inline constexpr std::size_t SURVIVED_EVENTS = 2;
// Begins the subject that stands for a whole request; no prompt part does.
inline constexpr std::string_view REQUEST_PREFIX = "request:";

} // namespace bamboomoor::quarantine
