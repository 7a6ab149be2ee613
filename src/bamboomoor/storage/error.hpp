/**
 * Error types of the storage module.
 */
#pragma once

#include "bamboomoor/base/nametable.hpp"
#include "bamboomoor/base/outcome.hpp"

#include <cstdint>
#include <string>

namespace bamboomoor::storage
{

/** @brief Kind of a storage error. */
enum class StorageErrorKind {
    // The operating system rejected an operation.
    Io,
    // A sync failed: the contents on disk are unknown, and stay unknown after a later sync of the same file.
    Sync,
    // Bytes that had been synced to disk have changed.
    Corrupt,
    // Another process has locked the folder.
    Locked,
    // The store could not be opened.
    Failed,
    // The disk or a quota is full, at a write or at the sync after it; room may be made.
    NoSpace,
};

/** @brief Names of the error kinds. */
inline constexpr auto STORAGE_ERROR_NAMES =
    base::makeNames<StorageErrorKind>("io", "sync", "corrupt", "locked", "failed", "no-space");

/** @brief An error with its location. */
struct StorageError {
    StorageErrorKind kind = StorageErrorKind::Io;
    // Name of the file in its folder.
    std::string file;
    // Offset in the file, in bytes; 0 for the whole file.
    std::uint64_t offset = 0;
    std::string text;
};

/**
 * @brief A value or a StorageError.
 * @tparam Value Type of the success value; void for none.
 */
template<class Value>
using Result = base::Result<Value, StorageError>;

/**
 * @brief Formats an error as human-readable text.
 * @param error The error.
 * @return One line with the kind, the file, the offset and the cause.
 */
[[nodiscard]] std::string describe(const StorageError &error);

} // namespace bamboomoor::storage
