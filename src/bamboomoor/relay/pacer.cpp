/**
 * Rate control by the pauses between the events of streams.
 */
#include "bamboomoor/relay/pacer.hpp"

#include <algorithm>

namespace bamboomoor::relay
{

double Pacer::tokensAt(base::Millis now) const noexcept
{
    const double gained = static_cast<double>((now - m_at).count) * m_rate;
    return std::min(m_options.burst, m_tokens + gained);
}

void Pacer::sent(base::Millis now, std::int64_t tokens) noexcept
{
    recover(now);
    m_tokens = tokensAt(now) - static_cast<double>(tokens);
    m_at = now;
}

void Pacer::unsent(std::int64_t tokens) noexcept
{
    m_tokens = std::min(m_options.burst, m_tokens + static_cast<double>(tokens));
}

void Pacer::recover(base::Millis now) noexcept
{
    const base::Millis passed = now - std::max(m_recoveredAt, m_slowedAt.value_or(base::Millis{}));
    m_recoveredAt = now;
    m_tokens = tokensAt(now);
    m_at = now;
    // Above firstRate only observed short pauses raise the rate.
    if (m_rate < m_options.firstRate && passed.count > 0) {
        m_rate = std::min(m_options.firstRate, m_rate + static_cast<double>(passed.count) * m_options.regained);
    }
}

void Pacer::paused(base::Millis now, base::Millis pause, base::Millis objective) noexcept
{
    recover(now);
    const double part =
        static_cast<double>(pause.count) / static_cast<double>(std::max<std::int64_t>(1, objective.count));
    if (part >= m_options.slowPart) {
        if (!m_slowedAt || now - *m_slowedAt >= m_options.slowInterval) {
            m_tokens = tokensAt(now);
            m_at = now;
            m_rate = std::max(m_options.leastRate, m_rate * m_options.slowFactor);
            m_slowedAt = now;
        }
        return;
    }
    // Short pauses at a rate that is not used up do not show that the engine could take more.
    const bool used = tokensAt(now) < m_options.burst / 2;
    if (part <= m_options.quickPart && used && (!m_slowedAt || now - *m_slowedAt >= m_options.slowInterval)
        && now - m_quickenedAt >= m_options.quickInterval) {
        m_tokens = tokensAt(now);
        m_at = now;
        m_rate = std::min(m_options.mostRate, m_rate * m_options.quickFactor);
        m_quickenedAt = now;
    }
}

double Pacer::missing(base::Millis now) const noexcept
{
    return std::max(0.0, -tokensAt(now));
}

} // namespace bamboomoor::relay
