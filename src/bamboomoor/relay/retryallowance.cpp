/**
 * Sliding windows over requests and retries.
 */
#include "bamboomoor/relay/retryallowance.hpp"

namespace bamboomoor::relay
{

namespace
{

constexpr std::int64_t PERMILLE = 1'000;

} // namespace

void RetryAllowance::countRequest(base::Millis now, const std::string &service)
{
    Counts &counts = m_services[service];
    forget(now, counts.requests);
    counts.requests.push_back(now);
}

bool RetryAllowance::takeRetry(base::Millis now, const std::string &service)
{
    Counts &counts = m_services[service];
    forget(now, counts.requests);
    forget(now, counts.retries);
    const auto requests = static_cast<std::int64_t>(counts.requests.size());
    const auto retries = static_cast<std::int64_t>(counts.retries.size());
    if ((retries + 1) * PERMILLE > requests * m_options.permille) {
        return false;
    }
    counts.retries.push_back(now);
    return true;
}

void RetryAllowance::forget(base::Millis now, std::deque<base::Millis> &times) const
{
    while (!times.empty() && now - times.front() >= m_options.window) {
        times.pop_front();
    }
}

} // namespace bamboomoor::relay
