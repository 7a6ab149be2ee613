/**
 * Splits a whole number among sharers so that the parts are whole numbers, too.
 */
#pragma once

#include <cstdint>
#include <string_view>

namespace bamboomoor::standing
{

/**
 * @brief Returns the part of one sharer, rounded up or down so that the parts of all sharers add up to the total in the
 * mean. Who gets more depends on what is shared and the round, and is the same for everybody who computes it.
 * @param total What is shared.
 * @param weight The weight of the sharer.
 * @param weights The sum of all weights, more than 0.
 * @param shared The name of what is shared.
 * @param sharer The name of the sharer.
 * @param round The number of the round.
 * @return The part.
 */
[[nodiscard]] std::int64_t ditheredPart(std::int64_t total, std::int64_t weight, std::int64_t weights,
    std::string_view shared, std::string_view sharer, std::uint64_t round);

} // namespace bamboomoor::standing
