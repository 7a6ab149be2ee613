/**
 * On-disk format: frames with length and checksum, and the records they contain.
 */
#pragma once

#include "bamboomoor/consensus/types.hpp"
#include "bamboomoor/storage/error.hpp"

#include <optional>
#include <string_view>
#include <variant>
#include <vector>

namespace bamboomoor::storage::internal
{

/** @brief Base of a log: the entry directly before its first one. */
struct BaseRecord {
    std::uint64_t index = 0;
    std::uint64_t term = 0;
};

/** @brief A log record; an entry replaces all earlier entries from its index on. */
using Record = std::variant<BaseRecord, consensus::HardState, consensus::Entry>;

/**
 * @brief Encodes a record.
 * @param out Receives the bytes, appended.
 * @param record The record.
 */
void encodeRecord(std::string &out, const Record &record);

/**
 * @brief Decodes the records of a frame.
 * @param body Body of an intact frame.
 * @param records Receives the records, appended.
 * @return False if the body is not a valid sequence of records.
 */
[[nodiscard]] bool decodeRecords(std::string_view body, std::vector<Record> &records);

/**
 * @brief Encodes a snapshot.
 * @param snapshot The snapshot.
 * @return The encoded bytes.
 */
[[nodiscard]] std::string encodeSnapshot(const consensus::Snapshot &snapshot);

/**
 * @brief Decodes a snapshot.
 * @param body Result of encodeSnapshot().
 * @param snapshot Receives the snapshot.
 * @return False if the body is not a valid snapshot.
 */
[[nodiscard]] bool decodeSnapshot(std::string_view body, consensus::Snapshot &snapshot);

/**
 * @brief Wraps a body into a frame. The checksum also covers the offset, so a copy at another offset is invalid.
 * @param body The body, shorter than 4 GiB.
 * @param offset Offset of the frame in the file, in bytes.
 * @return The frame.
 */
[[nodiscard]] std::string encodeFrame(std::string_view body, std::uint64_t offset);

/**
 * @brief Reads the frame at an offset.
 * @param file The bytes of the file.
 * @param offset Offset of the frame, in bytes.
 * @return The body as a view into `file`, or nothing if there is no intact frame.
 */
[[nodiscard]] std::optional<std::string_view> decodeFrame(std::string_view file, std::uint64_t offset);

/**
 * @brief Returns the size of a frame.
 * @param body Body of the frame.
 * @return Size of header and body in bytes.
 */
[[nodiscard]] std::uint64_t frameSize(std::string_view body) noexcept;

/**
 * @brief Searches for an intact frame at or after an offset.
 * @param file The bytes of the file.
 * @param offset Offset at which the search starts, in bytes.
 * @return True if there is one; damage before it is then corruption rather than a torn tail.
 */
[[nodiscard]] bool hasFrameAfter(std::string_view file, std::uint64_t offset);

} // namespace bamboomoor::storage::internal
