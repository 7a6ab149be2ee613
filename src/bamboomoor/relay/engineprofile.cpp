/**
 * Estimation of the prefill rate from observed responses.
 */
#include "bamboomoor/relay/engineprofile.hpp"

#include <algorithm>

namespace bamboomoor::relay
{

namespace
{

// The percentile of the observed rates that is used as the estimate.
constexpr std::size_t QUANTILE_PERCENT = 75;
constexpr std::size_t PERCENT = 100;

} // namespace

EngineProfile::EngineProfile(const ProfileOptions &options)
    : m_options(options)
    , m_rate(options.initialRate)
{
}

void EngineProfile::addObservation(std::int64_t tokens, base::Millis took)
{
    if (tokens < m_options.minTokens) {
        return;
    }
    const double rate = static_cast<double>(tokens) / static_cast<double>(std::max<std::int64_t>(1, took.count));
    if (m_rates.size() < m_options.maxObservations) {
        m_rates.push_back(rate);
    } else {
        m_rates[m_next] = rate;
        m_next = (m_next + 1) % m_rates.size();
    }
    if (m_rates.size() < m_options.minObservations) {
        return;
    }
    std::vector<double> rates = m_rates;
    const auto place = rates.begin() + static_cast<std::ptrdiff_t>(rates.size() * QUANTILE_PERCENT / PERCENT);
    std::nth_element(rates.begin(), place, rates.end());
    m_rate =
        std::clamp(*place, m_options.initialRate / m_options.maxSlowdown, m_options.initialRate * m_options.maxSpeedup);
}

} // namespace bamboomoor::relay
