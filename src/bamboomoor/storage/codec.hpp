/**
 * On-disk format: frames with length and checksum, and the records they contain.
 */
#pragma once

#include "bamboomoor/consensus/types.hpp"
#include "bamboomoor/storage/bytesource.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace bamboomoor::storage::internal
{

/** @brief Base of a log: the entry directly before its first one. */
struct BaseRecord {
    std::uint64_t index = 0;
    std::uint64_t term = 0;
};

/** @brief A log record; an entry replaces all earlier entries from its index on. */
using Record = std::variant<BaseRecord, consensus::HardState, consensus::Entry>;

/** @brief Takes a decoded record; returns false to stop. */
using OnRecord = std::function<bool(Record &&)>;

// Magic, length and checksum before the body of a frame, in bytes.
inline constexpr std::size_t FRAME_HEADER_BYTES = 16;
// First bytes of every frame.
inline constexpr std::string_view FRAME_MAGIC = "\xB4mB1";

/**
 * @brief Encodes a record.
 * @param out Receives the bytes, appended.
 * @param record The record.
 */
void encodeRecord(std::string &out, const Record &record);

/**
 * @brief Decodes the records of a frame, one at a time.
 * @param body Delivers the body of an intact frame.
 * @param size Size of the body in bytes.
 * @param onRecord Called with each record.
 * @return False if the body is not a valid sequence of records, or if the callback stopped.
 */
[[nodiscard]] bool decodeRecords(ByteSource &body, std::uint64_t size, const OnRecord &onRecord);

/**
 * @brief Encodes all of a snapshot that precedes its data.
 * @param snapshot The snapshot.
 * @return The encoded bytes; followed by the data, they are the body of a frame.
 */
[[nodiscard]] std::string encodeSnapshotHead(const consensus::Snapshot &snapshot);

/**
 * @brief Decodes all of a snapshot that precedes its data.
 * @param body The body of a frame.
 * @param snapshot Receives the snapshot without its data.
 * @return Offset of the data, which extend to the end of the body; nothing if the body is not a valid snapshot.
 */
[[nodiscard]] std::optional<std::size_t> decodeSnapshotHead(std::string_view body, consensus::Snapshot &snapshot);

/**
 * @brief Makes the header of a frame. The checksum also covers the offset, so a copy at another offset is invalid.
 * @param body The body in consecutive parts, together shorter than 4 GiB.
 * @param offset Offset of the frame in the file, in bytes.
 * @return The header.
 */
[[nodiscard]] std::string frameHeader(std::initializer_list<std::string_view> body, std::uint64_t offset);

/**
 * @brief Starts a frame whose body is appended afterwards.
 * @param frame An empty string; receives space for the header.
 */
void beginFrame(std::string &frame);

/**
 * @brief Completes a frame.
 * @param frame A frame that beginFrame() has started; its header is written.
 * @param offset Offset of the frame in the file, in bytes.
 */
void sealFrame(std::string &frame, std::uint64_t offset);

/**
 * @brief Checks a frame without keeping its body.
 * @param source Delivers the bytes of the file from the frame on.
 * @param offset Offset of the frame in the file, in bytes.
 * @return Size of the body in bytes, or nothing if there is no intact frame.
 */
[[nodiscard]] std::optional<std::uint64_t> checkFrame(ByteSource &source, std::uint64_t offset);

} // namespace bamboomoor::storage::internal
