/**
 * The shares of a machine's memory.
 */
#include "bamboomoor/http/memoryplan.hpp"

#include <algorithm>

namespace bamboomoor::http
{

namespace
{

// Memory of a connection whose head is sent up to its bound and not further.
constexpr std::size_t HEAD_BYTES = 20'480;
constexpr std::size_t MIN_HEADS = 64;
// The most on machines that report far more memory than the process may use.
constexpr std::size_t MAX_ENTRY_BYTES = 67'108'864;
constexpr std::size_t MAX_CONTROL_BYTES = 16'777'216;
// One more exists while a body grows.
constexpr std::size_t COPIES = BODY_COPIES + 1;
// Large bodies get no more than three quarters, see RequestMemory.
constexpr std::size_t LARGE_NUMERATOR = 4;
constexpr std::size_t LARGE_DENOMINATOR = 3;

} // namespace

MemoryPlan planMemory(std::size_t machineBytes, std::size_t maxBodyBytes, MemoryRole role) noexcept
{
    // The replicated state and its messages take most of a control VM.
    const std::size_t share = role == MemoryRole::Entry ? std::min(machineBytes / 4, MAX_ENTRY_BYTES)
                                                        : std::min(machineBytes / 16, MAX_CONTROL_BYTES);
    const std::size_t one = maxBodyBytes * COPIES * LARGE_NUMERATOR / LARGE_DENOMINATOR;
    return {std::max(share, one), machineBytes / 8, machineBytes / 8, machineBytes / 16,
        std::max(machineBytes / 8 / HEAD_BYTES, MIN_HEADS)};
}

} // namespace bamboomoor::http
