/**
 * Forward declarations of the storage module.
 */
#pragma once

namespace bamboomoor::storage
{
class LogStore;
struct Opened;
struct StorageError;
} // namespace bamboomoor::storage
