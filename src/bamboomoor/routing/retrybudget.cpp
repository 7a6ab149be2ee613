/**
 * Refills and consumes the retry budgets.
 */
#include "bamboomoor/routing/retrybudget.hpp"

#include <algorithm>
#include <cassert>

namespace bamboomoor::routing
{

RetryBudget::RetryBudget(RetryBudgetOptions options)
    : m_options(options)
{
}

void RetryBudget::request(base::Millis now, std::string_view organisation, std::string_view upstream)
{
    for (Bucket *it : {&refill(m_organisations, now, organisation), &refill(m_upstreams, now, upstream)}) {
        it->level = std::min(it->level + m_options.ratio, m_options.capacity);
    }
}

RetryBudgetResult RetryBudget::takeRetry(
    base::Millis now, std::string_view organisation, std::string_view failedUpstream)
{
    Bucket &forOrganisation = refill(m_organisations, now, organisation);
    Bucket &forUpstream = refill(m_upstreams, now, failedUpstream);
    if (forOrganisation.level < 1) {
        return RetryBudgetResult::OrganisationExhausted;
    }
    if (forUpstream.level < 1) {
        return RetryBudgetResult::UpstreamExhausted;
    }
    forOrganisation.level -= 1;
    forUpstream.level -= 1;
    return RetryBudgetResult::Allowed;
}

void RetryBudget::prune(base::Millis now)
{
    for (Buckets *buckets : {&m_organisations, &m_upstreams}) {
        std::erase_if(*buckets, [this, now](const auto &it) {
            return it.second.at + m_options.retention <= now;
        });
    }
}

RetryBudget::Bucket &RetryBudget::refill(Buckets &buckets, base::Millis now, std::string_view name)
{
    constexpr double MILLIS_PER_SECOND = 1'000;
    auto it = buckets.find(name);
    if (it == buckets.end()) {
        it = buckets.emplace(std::string(name), Bucket{m_options.capacity, now}).first;
    }
    Bucket &bucket = it->second;
    const auto span = static_cast<double>(std::max<std::int64_t>((now - bucket.at).count, 0));
    bucket.level = std::min(bucket.level + span * m_options.minimumPerSecond / MILLIS_PER_SECOND, m_options.capacity);
    bucket.at = std::max(bucket.at, now);
    return bucket;
}

Backoff::Backoff(std::uint64_t seed, BackoffOptions options)
    : m_options(options)
    , m_random(seed)
{
}

base::Millis Backoff::delay(std::uint32_t failures)
{
    assert(failures > 0);
    constexpr std::uint32_t DOUBLINGS = 16;
    const base::Millis mean = m_options.first * (std::int64_t{1} << std::min(failures - 1, DOUBLINGS));
    const std::int64_t most = std::min((mean * 3 / 2).count, m_options.limit.count);
    const std::int64_t least = std::min((mean / 2).count, most / 2);
    return {std::uniform_int_distribution<std::int64_t>(least, most)(m_random)};
}

} // namespace bamboomoor::routing
