/**
 * Forward declarations of the storage module.
 */
#pragma once

namespace bamboomoor::storage
{
enum class StorageErrorKind;
struct StorageError;
struct OpenResult;
class FileSystem;
class LogStore;
} // namespace bamboomoor::storage
