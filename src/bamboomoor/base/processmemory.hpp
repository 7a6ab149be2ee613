/**
 * The memory of this process, for logs and tests.
 */
#pragma once

#include <cstddef>

namespace bamboomoor::base
{

/**
 * @brief Returns the physical memory that this process uses now.
 * @return Size in bytes; 0 if the system does not tell.
 */
[[nodiscard]] std::size_t residentBytes();

} // namespace bamboomoor::base
