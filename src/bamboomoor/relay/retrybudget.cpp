/**
 * Sliding-window counters of requests and retries.
 */
#include "bamboomoor/relay/retrybudget.hpp"

#include <cassert>

namespace bamboomoor::relay
{

namespace
{

constexpr std::int64_t PERMILLE = 1'000;

} // namespace

void RetryBudget::countRequest(base::Millis now, const std::string &service)
{
    Counts &counts = m_services[service];
    forget(now, counts.requests);
    counts.requests.push_back(now);
}

bool RetryBudget::takeRetry(base::Millis now, const std::string &service)
{
    Counts &counts = m_services[service];
    forget(now, counts.requests);
    forget(now, counts.arrived);
    const auto requests = static_cast<std::int64_t>(counts.requests.size());
    const std::int64_t retries = counts.open + static_cast<std::int64_t>(counts.arrived.size());
    if ((retries + 1) * PERMILLE > requests * m_options.permille) {
        return false;
    }
    ++counts.open;
    return true;
}

void RetryBudget::settle(base::Millis now, const std::string &service, bool arrived)
{
    Counts &counts = m_services[service];
    assert(counts.open > 0);
    --counts.open;
    if (arrived) {
        counts.arrived.push_back(now);
    }
}

void RetryBudget::forget(base::Millis now, std::deque<base::Millis> &times) const
{
    while (!times.empty() && now - times.front() >= m_options.window) {
        times.pop_front();
    }
}

} // namespace bamboomoor::relay
