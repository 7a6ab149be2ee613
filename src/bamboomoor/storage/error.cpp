/**
 * Formats storage errors.
 */
#include "bamboomoor/storage/error.hpp"

namespace bamboomoor::storage
{

std::string describe(const StorageError &error)
{
    std::string text(STORAGE_ERROR_NAMES.name(error.kind));
    text += ": " + error.file + " at byte " + std::to_string(error.offset) + ": " + error.text;
    return text;
}

} // namespace bamboomoor::storage
