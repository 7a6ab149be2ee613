/**
 * Ranking by the number of upstreams for each request that has a subject.
 */
#include "bamboomoor/quarantine/lossranking.hpp"

#include <algorithm>
#include <numeric>
#include <tuple>
#include <unordered_map>
#include <utility>

namespace bamboomoor::quarantine
{

namespace
{

using Pairs = std::vector<std::pair<std::uint64_t, std::uint64_t>>;

/** @brief Counts the different second members for each first one. */
std::unordered_map<std::uint64_t, std::size_t> countDistinct(Pairs pairs)
{
    std::sort(pairs.begin(), pairs.end());
    pairs.erase(std::unique(pairs.begin(), pairs.end()), pairs.end());
    std::unordered_map<std::uint64_t, std::size_t> counts;
    for (const auto &[first, second] : pairs) {
        ++counts[first];
    }
    return counts;
}

/** @brief Rates each attempt by its most telling subject; 0 if none was lost at several upstreams. */
std::vector<double> rate(const std::vector<Loss> &losses)
{
    Pairs upstreamPairs;
    Pairs requestPairs;
    for (const Loss &it : losses) {
        for (const std::uint64_t subject : it.subjects) {
            upstreamPairs.emplace_back(subject, it.upstream);
            requestPairs.emplace_back(subject, it.request);
        }
    }
    const auto upstreams = countDistinct(std::move(upstreamPairs));
    const auto requests = countDistinct(std::move(requestPairs));
    std::vector<double> worth(losses.size(), 0);
    for (std::size_t n = 0; n < losses.size(); ++n) {
        for (const std::uint64_t subject : losses[n].subjects) {
            const std::size_t count = upstreams.at(subject);
            if (count > 1) {
                worth[n] = std::max(worth[n], static_cast<double>(count) / static_cast<double>(requests.at(subject)));
            }
        }
    }
    return worth;
}

} // namespace

std::vector<bool> leastInformative(const std::vector<Loss> &losses, std::size_t count)
{
    const std::vector<double> worth = rate(losses);
    std::vector<std::size_t> order(losses.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::sort(order.begin(), order.end(), [&](std::size_t left, std::size_t right) {
        return std::tuple(losses[left].upstream, worth[right], losses[left].request, left)
            < std::tuple(losses[right].upstream, worth[left], losses[right].request, right);
    });
    std::vector<std::size_t> position(losses.size(), 0);
    for (std::size_t n = 1; n < order.size(); ++n) {
        const bool isSame = losses[order[n]].upstream == losses[order[n - 1]].upstream;
        position[order[n]] = isSame ? position[order[n - 1]] + 1 : 0;
    }
    std::sort(order.begin(), order.end(), [&](std::size_t left, std::size_t right) {
        return std::tuple(losses[left].isPreferred, worth[left], position[right], left)
            < std::tuple(losses[right].isPreferred, worth[right], position[left], right);
    });
    std::vector<bool> chosen(losses.size(), false);
    for (std::size_t n = 0; n < order.size() && n < count; ++n) {
        chosen[order[n]] = true;
    }
    return chosen;
}

} // namespace bamboomoor::quarantine
