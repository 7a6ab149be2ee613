/**
 * Forward declarations of the storage module.
 */
#pragma once

namespace bamboomoor::storage
{
enum class StorageErrorKind;
struct StorageError;
struct Opened;
class FileSystem;
class LogStore;
} // namespace bamboomoor::storage
