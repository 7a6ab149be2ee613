/**
 * The errors of the storage module.
 */
#pragma once

#include "bamboomoor/base/nametable.hpp"
#include "bamboomoor/base/outcome.hpp"

#include <cstdint>
#include <string>

namespace bamboomoor::storage
{

/** @brief What went wrong with a file. */
enum class StorageErrorKind {
    // The operating system refused an operation, such as a write to a full disk.
    Io,
    // A failed sync: what the disk holds is unknown, and the sync must not be repeated.
    Sync,
    // Bytes that were on synced disk have changed.
    Corrupt,
    // Another process uses the folder.
    Locked,
    // An earlier error has ended the use of this store.
    Failed,
};

/** @brief The names of the kinds. */
inline constexpr auto STORAGE_ERROR_NAMES =
    base::makeNames<StorageErrorKind>("io", "sync", "corrupt", "locked", "failed");

/** @brief An error with its place. */
struct StorageError {
    StorageErrorKind kind = StorageErrorKind::Io;
    // The name of the file in its folder.
    std::string file;
    // Where in the file, in bytes; 0 for the whole file.
    std::uint64_t offset = 0;
    std::string text;
};

/**
 * @brief A value or a StorageError.
 * @tparam Value The type of a success; void for none.
 */
template<class Value>
using Result = base::Result<Value, StorageError>;

/**
 * @brief Describes an error for people.
 * @param error The error.
 * @return One line with the kind, the file, the offset and the cause.
 */
[[nodiscard]] std::string describe(const StorageError &error);

} // namespace bamboomoor::storage
