/**
 * The choice of the lost attempts to drop when there are too many to keep.
 *
 * What crashes upstreams is lost at several of them, and few requests have it. A bystander is lost at one upstream, or
 * shares with others only what most requests share.
 */
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace bamboomoor::quarantine
{

// The part of the lost attempts, one in so many, to drop at a time, as ranking takes time for each of them.
inline constexpr std::size_t DROPPED_PART = 8;

/** @brief A lost attempt, with numbers that stand for names. */
struct Loss {
    std::uint64_t upstream = 0;
    // A digest of what identifies the request.
    std::uint64_t request = 0;
    // The parts of its prompt and the request, without those that a survival has cleared.
    std::vector<std::uint64_t> subjects;
    // Kept before all that are not.
    bool isPreferred = false;
};

/**
 * @brief Chooses lost attempts that tell the least about what crashes upstreams: those with nothing that was lost at
 * several upstreams before those with something that many requests have, and of these the ones at the upstreams with
 * the most.
 * @param losses The lost attempts, oldest first.
 * @param count How many to choose.
 * @return For each attempt whether it was chosen. Which of the equal ones at an upstream are depends on their digests
 * only, so that a request is chosen at all upstreams or at none.
 */
[[nodiscard]] std::vector<bool> leastInformative(const std::vector<Loss> &losses, std::size_t count);

} // namespace bamboomoor::quarantine
