/**
 * Drawing of the schedule.
 */
#include "bamboomoor/load/schedule.hpp"

#include <cassert>
#include <cmath>
#include <random>

namespace bamboomoor::load
{

namespace
{

// A number from 0 up to, but without, 1; the same on every machine.
double uniform(std::mt19937_64 &random) noexcept
{
    return static_cast<double>(random() >> 11U) * 0x1.0p-53;
}

std::size_t drawCaller(const std::vector<Caller> &callers, std::mt19937_64 &random) noexcept
{
    double total = 0;
    for (const Caller &it : callers) {
        total += it.weight;
    }
    double left = uniform(random) * total;
    for (std::size_t n = 0; n < callers.size(); ++n) {
        left -= callers[n].weight;
        if (left < 0) {
            return n;
        }
    }
    return callers.size() - 1;
}

} // namespace

std::vector<Arrival> makeSchedule(const LoadOptions &options)
{
    assert(options.rate > 0 && !options.entries.empty() && !options.callers.empty() && !options.models.empty());
    std::mt19937_64 random(options.seed);
    std::vector<Arrival> arrivals;
    double at = 0;
    while (true) {
        at += -std::log(1.0 - uniform(random)) * 1'000.0 / options.rate;
        if (at >= static_cast<double>(options.duration.count)) {
            return arrivals;
        }
        Arrival arrival;
        arrival.at = {static_cast<std::int64_t>(at)};
        arrival.entry = arrivals.size() % options.entries.size();
        arrival.caller = drawCaller(options.callers, random);
        arrival.model = random() % options.models.size();
        arrivals.push_back(arrival);
    }
}

} // namespace bamboomoor::load
