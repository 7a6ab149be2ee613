/**
 * How the memory of a machine is shared out among what callers can make a process hold.
 */
#pragma once

#include <cstddef>

namespace bamboomoor::http
{

// How often a body exists at an entry, as an attempt has its own copy.
inline constexpr std::size_t BODY_COPIES = 2;

/** @brief The parts of a process; each bounds a server. */
enum class MemoryRole { Entry, Control };

/** @brief The bounds of one process. */
struct MemoryPlan {
    // Bytes of request bodies, with the copies that attempts need.
    std::size_t bodyBytes = 0;
    // Bytes of streams that callers have not read.
    std::size_t streamBytes = 0;
    // Bytes of answers that are kept until they are whole, and of those that wait for the thread that relays them.
    std::size_t answerBytes = 0;
    std::size_t unreadBytes = 0;
    // Connections whose head has not been read to its end.
    std::size_t unfinishedHeads = 0;

    friend bool operator==(const MemoryPlan &, const MemoryPlan &) = default;
};

/**
 * @brief Shares out the memory of a machine. What is left, a quarter or more, is for the process itself.
 * @param machineBytes The memory of the machine.
 * @param maxBodyBytes The longest body; one always fits.
 * @param role The part that the process plays.
 * @return The bounds.
 */
[[nodiscard]] MemoryPlan planMemory(std::size_t machineBytes, std::size_t maxBodyBytes, MemoryRole role) noexcept;

} // namespace bamboomoor::http
