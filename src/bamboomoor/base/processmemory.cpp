/**
 * Reads the memory of this process from the proc file system.
 */
#include "bamboomoor/base/processmemory.hpp"

#include <fstream>
#include <unistd.h>

namespace bamboomoor::base
{

std::size_t residentBytes()
{
    std::ifstream file("/proc/self/statm");
    std::size_t total = 0;
    std::size_t resident = 0;
    file >> total >> resident;
    return file ? resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE)) : 0;
}

} // namespace bamboomoor::base
