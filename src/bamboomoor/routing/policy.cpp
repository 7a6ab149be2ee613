/**
 * Implementation of the load-balancing policies.
 */
#include "bamboomoor/routing/policy.hpp"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace bamboomoor::routing
{

namespace
{
std::size_t draw(std::mt19937_64 &random, std::size_t size)
{
    return std::uniform_int_distribution<std::size_t>(0, size - 1)(random);
}

// Starts at a random index so that ties are broken uniformly.
template<class Cost>
std::size_t cheapest(std::mt19937_64 &random, std::size_t size, Cost cost)
{
    const std::size_t start = draw(random, size);
    std::size_t best = start;
    double least = cost(start);
    for (std::size_t n = 1; n < size; ++n) {
        const std::size_t at = (start + n) % size;
        const double value = cost(at);
        if (value < least) {
            least = value;
            best = at;
        }
    }
    return best;
}

double weightOf(base::Millis age, double halfLifeMs)
{
    return std::exp2(-static_cast<double>(std::max<std::int64_t>(age.count, 0)) / halfLifeMs);
}

// The reported load already includes part of the own work, so only the excess is added.
double excess(std::uint64_t reported, std::uint64_t own, double weight)
{
    return reported > own ? static_cast<double>(reported - own) * weight : 0;
}
} // namespace

Random::Random(std::uint64_t seed)
    : m_random(seed)
{
}

std::size_t Random::choose(const Request & /*request*/, std::span<const View> views)
{
    assert(!views.empty());
    return draw(m_random, views.size());
}

LeastInFlight::LeastInFlight(std::uint64_t seed)
    : m_random(seed)
{
}

std::size_t LeastInFlight::choose(const Request & /*request*/, std::span<const View> views)
{
    assert(!views.empty());
    return cheapest(m_random, views.size(), [views](std::size_t n) {
        return static_cast<double>(views[n].own.inFlight);
    });
}

TwoChoices::TwoChoices(std::uint64_t seed)
    : m_random(seed)
{
}

std::size_t TwoChoices::choose(const Request & /*request*/, std::span<const View> views)
{
    assert(!views.empty());
    const auto work = [views](std::size_t n) {
        const membership::Load &reported = views[n].candidate->reported;
        return std::max(views[n].own.inFlight, reported.running + reported.queued);
    };
    const std::size_t first = draw(m_random, views.size());
    const std::size_t second = draw(m_random, views.size());
    return work(second) < work(first) ? second : first;
}

TimeToFirstToken::TimeToFirstToken(std::uint64_t seed, EstimateOptions options)
    : m_options(options)
    , m_random(seed)
{
}

std::size_t TimeToFirstToken::choose(const Request &request, std::span<const View> views)
{
    assert(!views.empty());
    double sum = 0;
    for (const View &it : views) {
        sum += work(it);
    }
    const double bound = m_options.loadBound * sum / static_cast<double>(views.size()) + 1;
    return cheapest(m_random, views.size(), [&](std::size_t n) {
        return work(views[n]) > bound ? HUGE_VAL : estimate(request, views[n]);
    });
}

double TimeToFirstToken::estimate(const Request &request, const View &view) const
{
    const membership::Load &reported = view.candidate->reported;
    const double weight = weightOf(view.candidate->loadAge, m_options.loadHalfLifeMs);
    const std::uint64_t missing = request.promptTokens - std::min(view.cachedTokens, request.promptTokens);
    const double tokens = static_cast<double>(view.own.waitingTokens)
        + excess(reported.waitingTokens, view.own.waitingTokens, weight) + static_cast<double>(missing);
    return tokens / m_options.prefillTokensPerMs + work(view) * m_options.perRunningMs;
}

double TimeToFirstToken::work(const View &view) const
{
    const membership::Load &reported = view.candidate->reported;
    const double weight = weightOf(view.candidate->loadAge, m_options.loadHalfLifeMs);
    return static_cast<double>(view.own.inFlight)
        + excess(reported.running + reported.queued, view.own.inFlight, weight);
}

std::unique_ptr<Policy> makePolicy(PolicyKind kind, std::uint64_t seed)
{
    switch (kind) {
    case PolicyKind::Random:
        return std::make_unique<Random>(seed);
    case PolicyKind::LeastInFlight:
        return std::make_unique<LeastInFlight>(seed);
    case PolicyKind::TwoChoices:
        return std::make_unique<TwoChoices>(seed);
    case PolicyKind::TimeToFirstToken:
        return std::make_unique<TimeToFirstToken>(seed);
    }
    return nullptr;
}

} // namespace bamboomoor::routing
