/**
 * The schedule of an open-loop run: when each request is sent, however slowly earlier ones are answered.
 */
#pragma once

#include "bamboomoor/base/clock.hpp"
#include "bamboomoor/load/options.hpp"

#include <cstddef>
#include <vector>

namespace bamboomoor::load
{

/** @brief One request to come. */
struct Arrival {
    // Since the start of the run.
    base::Millis at;
    std::size_t entry = 0;
    std::size_t caller = 0;
    std::size_t model = 0;
};

/**
 * @brief Draws the arrivals of a run: a Poisson process of the given rate.
 * @param options The run; the same options and seed give the same schedule.
 * @return The arrivals in the order of time.
 */
[[nodiscard]] std::vector<Arrival> makeSchedule(const LoadOptions &options);

} // namespace bamboomoor::load
