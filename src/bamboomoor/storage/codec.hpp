/**
 * The bytes of the files: frames with length and checksum, and the records within them.
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

/** @brief Where a log begins: right behind this entry. */
struct BaseRecord {
    std::uint64_t index = 0;
    std::uint64_t term = 0;
};

/** @brief One record of the log; an entry replaces all earlier ones from its index on. */
using Record = std::variant<BaseRecord, consensus::HardState, consensus::Entry>;

/**
 * @brief Encodes a record.
 * @param out Where the bytes are appended.
 * @param record The record.
 */
void encodeRecord(std::string &out, const Record &record);

/**
 * @brief Decodes the records of a frame.
 * @param body The body of an intact frame.
 * @param records Where the records are appended.
 * @return False when the body is no sequence of records.
 */
[[nodiscard]] bool decodeRecords(std::string_view body, std::vector<Record> &records);

/**
 * @brief Encodes a snapshot.
 * @param snapshot The snapshot.
 * @return Its bytes.
 */
[[nodiscard]] std::string encodeSnapshot(const consensus::Snapshot &snapshot);

/**
 * @brief Decodes a snapshot.
 * @param body The result of encodeSnapshot().
 * @param snapshot Where the result goes.
 * @return False when the body is no snapshot.
 */
[[nodiscard]] bool decodeSnapshot(std::string_view body, consensus::Snapshot &snapshot);

/**
 * @brief Wraps a body into a frame whose checksum also covers its place, so that a copy elsewhere is not valid.
 * @param body The body, shorter than 4 GiB.
 * @param offset Where in the file the frame begins, in bytes.
 * @return The frame.
 */
[[nodiscard]] std::string encodeFrame(std::string_view body, std::uint64_t offset);

/**
 * @brief Reads the frame at an offset.
 * @param file The bytes of the file.
 * @param offset Where the frame begins.
 * @return The body, which is part of `file`, or nothing when there is no intact frame.
 */
[[nodiscard]] std::optional<std::string_view> decodeFrame(std::string_view file, std::uint64_t offset);

/**
 * @brief Tells the size of a frame.
 * @param body The frame's body.
 * @return The bytes of the header and the body.
 */
[[nodiscard]] std::uint64_t frameSize(std::string_view body) noexcept;

/**
 * @brief Looks for an intact frame anywhere behind an offset.
 * @param file The bytes of the file.
 * @param offset Where the search begins.
 * @return True when there is one, so that damage before it is not a torn tail.
 */
[[nodiscard]] bool hasFrameBehind(std::string_view file, std::uint64_t offset);

} // namespace bamboomoor::storage::internal
