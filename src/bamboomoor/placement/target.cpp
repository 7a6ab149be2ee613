/**
 * Target policies. Each starts from the minimum and distributes the spare memory in its own order.
 */
#include "bamboomoor/placement/target.hpp"

#include <algorithm>
#include <cstddef>
#include <queue>
#include <utility>

namespace bamboomoor::placement
{

namespace
{
constexpr double STATIC_FILL = 0.9;

std::vector<std::uint32_t> minimums(const TargetInput &input)
{
    std::vector<std::uint32_t> counts;
    counts.reserve(input.models.size());
    for (const ModelView &it : input.models) {
        counts.push_back(std::max(it.minReplicas, 1U));
    }
    return counts;
}

std::uint64_t spareOf(const TargetInput &input, const std::vector<std::uint32_t> &counts, double fill)
{
    auto spare = static_cast<std::uint64_t>(static_cast<double>(input.totalMib) * fill);
    for (std::size_t n = 0; n < counts.size(); ++n) {
        spare -= std::min(spare, input.models[n].memoryMib * counts[n]);
    }
    return spare;
}

bool grow(const TargetInput &input, std::vector<std::uint32_t> &counts, std::size_t n, std::uint64_t &spareMib)
{
    if (counts[n] >= input.upstreams || input.models[n].memoryMib > spareMib) {
        return false;
    }
    ++counts[n];
    spareMib -= input.models[n].memoryMib;
    return true;
}

// Indices of the models by descending demand.
std::vector<std::size_t> byDemand(const TargetInput &input)
{
    std::vector<std::size_t> order(input.models.size());
    for (std::size_t n = 0; n < order.size(); ++n) {
        order[n] = n;
    }
    std::stable_sort(order.begin(), order.end(), [&input](std::size_t a, std::size_t b) {
        return input.models[a].demand > input.models[b].demand;
    });
    return order;
}

// Repeatedly adds a replica to the model with the highest demand per replica until all demand is met or memory runs
// out.
template<class Demand>
void growByPressure(
    const TargetInput &input, std::vector<std::uint32_t> &counts, std::uint64_t &spareMib, Demand demand)
{
    const auto pressure = [&](std::size_t n) {
        return demand(input.models[n]) / (input.models[n].ratePerReplica * counts[n]);
    };
    std::priority_queue<std::pair<double, std::size_t>> queue;
    for (std::size_t n = 0; n < counts.size(); ++n) {
        queue.emplace(pressure(n), n);
    }
    while (!queue.empty() && queue.top().first > 1) {
        const std::size_t n = queue.top().second;
        queue.pop();
        if (grow(input, counts, n, spareMib)) {
            queue.emplace(pressure(n), n);
        }
    }
}
} // namespace

DemandAware::DemandAware(DemandAwareOptions options) noexcept
    : m_options(options)
{
}

std::vector<std::uint32_t> DemandAware::targets(base::Millis now, const TargetInput &input)
{
    std::vector<std::uint32_t> counts = minimums(input);
    std::uint64_t spareMib = spareOf(input, counts, m_options.fill);
    for (const std::size_t n : byDemand(input)) {
        if (counts[n] < 2 && input.dataCentres > 1) {
            grow(input, counts, n, spareMib);
        }
    }
    growByPressure(input, counts, spareMib, [this](const ModelView &it) {
        return it.demand * m_options.headroom;
    });
    keepPast(now, input, counts, spareMib);
    return counts;
}

void DemandAware::keepPast(
    base::Millis now, const TargetInput &input, std::vector<std::uint32_t> &counts, std::uint64_t &spareMib)
{
    std::map<ModelRef, Past> past;
    for (const std::size_t n : byDemand(input)) {
        const ModelRef &ref = input.models[n].ref;
        Past kept{counts[n], now};
        const auto it = m_past.find(ref);
        if (it != m_past.end() && it->second.replicas > counts[n] && now - it->second.at < m_options.hold) {
            while (counts[n] < it->second.replicas && grow(input, counts, n, spareMib)) { }
            kept = {counts[n], it->second.at};
        }
        past.emplace(ref, kept);
    }
    m_past = std::move(past);
}

std::vector<std::uint32_t> StaticSpread::targets(base::Millis /*now*/, const TargetInput &input)
{
    std::vector<std::uint32_t> counts = minimums(input);
    std::uint64_t spareMib = spareOf(input, counts, STATIC_FILL);
    bool grown = true;
    while (grown) {
        grown = false;
        for (std::size_t n = 0; n < counts.size(); ++n) {
            grown = grow(input, counts, n, spareMib) || grown;
        }
    }
    return counts;
}

std::vector<std::uint32_t> GreedyDemand::targets(base::Millis /*now*/, const TargetInput &input)
{
    std::vector<std::uint32_t> counts = minimums(input);
    std::uint64_t spareMib = spareOf(input, counts, 1);
    growByPressure(input, counts, spareMib, [](const ModelView &it) {
        return it.arrivals;
    });
    return counts;
}

std::unique_ptr<TargetPolicy> makeTargetPolicy(PolicyKind kind)
{
    switch (kind) {
    case PolicyKind::DemandAware:
        return std::make_unique<DemandAware>();
    case PolicyKind::StaticSpread:
        return std::make_unique<StaticSpread>();
    case PolicyKind::GreedyDemand:
        return std::make_unique<GreedyDemand>();
    }
    return nullptr;
}

} // namespace bamboomoor::placement
