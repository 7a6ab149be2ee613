/**
 * Tracking of suspected workers.
 */
#include "bamboomoor/gateway/suspecttracker.hpp"

#include <algorithm>

namespace bamboomoor::gateway
{

bool SuspectTracker::suspect(base::Millis now, const std::string &worker)
{
    std::erase_if(m_suspects, [&](const auto &it) {
        return now - it.second.inspectedAt > m_options.interval;
    });
    return m_suspects.try_emplace(worker, Suspect{now, std::nullopt}).second;
}

SuspectVerdict SuspectTracker::onInspected(
    base::Millis now, const std::string &worker, base::Millis sentAt, Connection connection)
{
    const auto it = m_suspects.find(worker);
    if (it == m_suspects.end()) {
        return SuspectVerdict::None;
    }
    Suspect &suspect = it->second;
    switch (connection) {
    case Connection::Accepted:
        suspect.silentSince.reset();
        return SuspectVerdict::None;
    case Connection::Refused:
        suspect.silentSince.reset();
        return SuspectVerdict::Unreachable;
    case Connection::NotAnswered:
        break;
    }
    suspect.silentSince = std::min(suspect.silentSince.value_or(sentAt), sentAt);
    if (now - *suspect.silentSince >= m_options.maxSilence) {
        suspect.silentSince.reset();
        return SuspectVerdict::Unreachable;
    }
    if (sentAt < suspect.inspectedAt) {
        // A later inspection is in progress.
        return SuspectVerdict::None;
    }
    suspect.inspectedAt = now;
    return SuspectVerdict::InspectAgain;
}

} // namespace bamboomoor::gateway
