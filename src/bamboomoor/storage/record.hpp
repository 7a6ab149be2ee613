/**
 * Records of the log: a length, a checksum and a body. A record is whole or it is not there.
 */
#pragma once

#include "bamboomoor/consensus/types.hpp"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace bamboomoor::storage::internal
{

/** @brief What one record says. */
using Record = std::variant<consensus::HardState, consensus::Entry, consensus::Snapshot>;

/** @brief Bytes before a record's body: its length and its checksum. */
inline constexpr std::size_t HEAD_BYTES = 12;

/** @brief The largest body of a record, in bytes. */
inline constexpr std::size_t MAX_BODY_BYTES = 1UL << 30U;

/**
 * @brief Writes a record.
 * @param record The record.
 * @return Length (4 bytes, little-endian), XXH64 of the body (8 bytes, little-endian), body in CBOR (RFC 8949).
 */
[[nodiscard]] std::string encode(const Record &record);

/** @brief A record found in bytes. */
struct Found {
    Record record;
    // Of the whole record.
    std::size_t bytes = 0;
};

/**
 * @brief Reads the record at the beginning of bytes.
 * @param bytes Any bytes.
 * @return The record, or nothing when there is no whole one.
 */
[[nodiscard]] std::optional<Found> decode(std::string_view bytes);

} // namespace bamboomoor::storage::internal
