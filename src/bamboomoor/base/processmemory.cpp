/**
 * Reads the memory of this process from the proc file system.
 */
#include "bamboomoor/base/processmemory.hpp"

#include <fstream>
#include <malloc.h>
#include <string>
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

std::size_t machineBytes()
{
    constexpr std::size_t KIB = 1'024;
    std::ifstream file("/proc/meminfo");
    std::string name;
    std::size_t total = 0;
    file >> name >> total;
    return file && name == "MemTotal:" ? total * KIB : 0;
}

void returnLargeBlocks() noexcept
{
    constexpr int LARGE_BYTES = 32'768;
    constexpr int TRIM_BYTES = 1'048'576;
    mallopt(M_MMAP_THRESHOLD, LARGE_BYTES);
    mallopt(M_TRIM_THRESHOLD, TRIM_BYTES);
}

} // namespace bamboomoor::base
