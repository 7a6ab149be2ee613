/**
 * Computation of cold periods from announcements and ended evacuations.
 */
#include "bamboomoor/standing/coldperiods.hpp"

#include <algorithm>

namespace bamboomoor::standing
{

namespace
{

// A permit is used up to 1 s after it was requested and arrives up to 0.4 s later, so that the requests of one second
// may have got the permits of 2.4 s and half a second's reserve. At half of the tolerated rate these are 1.45 times
// what an upstream tolerates in a second, and one.
constexpr std::int64_t PERMITS_DIVISOR = 2;

} // namespace

void ColdPeriods::setEvacuated(base::Millis now, std::set<std::string> dataCentres)
{
    for (const std::string &it : m_evacuated) {
        if (!dataCentres.contains(it)) {
            m_endedAt[it] = now;
        }
    }
    m_evacuated = std::move(dataCentres);
}

std::optional<ColdPeriod> ColdPeriods::find(base::Millis now, const membership::Entry &upstream) const
{
    const membership::Announcement &announcement = upstream.announcement;
    const auto limit = m_limits.find(announcement.service);
    if (limit == m_limits.end()) {
        return std::nullopt;
    }
    base::Millis until = upstream.expiresAt - m_lease + announcement.coldRemaining;
    const auto ended = m_endedAt.find(announcement.dataCentre);
    if (ended != m_endedAt.end()) {
        until = std::max(until, ended->second + limit->second.span);
    }
    if (until <= now) {
        return std::nullopt;
    }
    return ColdPeriod{limit->second.rate / PERMITS_DIVISOR, until};
}

} // namespace bamboomoor::standing
