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

/**
 * @brief Returns the memory of the machine.
 * @return Size in bytes; 0 if the system does not tell.
 */
[[nodiscard]] std::size_t machineBytes();

/**
 * @brief Lets the allocator return large blocks to the system as soon as they are freed. By default it keeps blocks up
 * to the size of the largest one that was ever freed, so that bodies of changing sizes fragment its memory.
 */
void returnLargeBlocks() noexcept;

} // namespace bamboomoor::base
