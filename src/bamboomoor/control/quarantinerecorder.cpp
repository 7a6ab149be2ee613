/**
 * Comparison of the leader's quarantines with the replicated ones, and conversion between the clocks.
 */
#include "bamboomoor/control/quarantinerecorder.hpp"

#include "bamboomoor/state/limits.hpp"

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <utility>

namespace bamboomoor::control
{

// Else commands would repeat for ever, as the state could not hold what is recorded.
static_assert(quarantine::CrashAnalysisOptions{}.maxQuarantined <= state::Limits{}.quarantines);

std::vector<quarantine::Quarantine> QuarantineRecorder::begin(
    base::Millis now, base::Millis wallNow, const std::map<std::string, std::int64_t> &ends)
{
    std::vector<quarantine::Quarantine> quarantines;
    bool isExact = true;
    for (const auto &[subject, untilMillis] : ends) {
        const base::Millis latest = wallNow + m_options.maxTime;
        const base::Millis until = std::min(base::Millis{untilMillis}, latest);
        isExact = isExact && until > wallNow && until.count == untilMillis;
        if (until > wallNow) {
            quarantines.push_back({subject, now + (until - wallNow)});
        }
    }
    m_recorded = isExact ? std::optional(quarantines) : std::nullopt;
    m_proposedAt.reset();
    m_pending = false;
    return quarantines;
}

std::optional<QuarantineRecord> QuarantineRecorder::next(
    base::Millis now, const std::vector<quarantine::Quarantine> &quarantines)
{
    const base::Millis interval = m_pending ? m_options.verdictTimeout : m_options.interval;
    if ((m_proposedAt && now - *m_proposedAt < interval) || isRecorded(now, quarantines)) {
        return std::nullopt;
    }
    m_proposed.clear();
    std::copy_if(quarantines.begin(), quarantines.end(), std::back_inserter(m_proposed), [now](const auto &it) {
        return it.until > now;
    });
    m_recorded.reset();
    m_proposedAt = now;
    m_pending = true;
    return QuarantineRecord{++m_lastNumber, m_proposed};
}

bool QuarantineRecorder::onVerdict(std::uint64_t number, bool committed)
{
    if (number != m_lastNumber || !m_pending) {
        return false;
    }
    m_pending = false;
    if (committed) {
        m_recorded = std::move(m_proposed);
    }
    return committed;
}

bool QuarantineRecorder::isRecorded(base::Millis now, const std::vector<quarantine::Quarantine> &quarantines) const
{
    if (!m_recorded) {
        return false;
    }
    auto recorded = m_recorded->begin();
    for (const quarantine::Quarantine &it : quarantines) {
        if (it.until <= now) {
            continue;
        }
        const bool isEqual = recorded != m_recorded->end() && recorded->part == it.part
            && std::max(recorded->until, it.until) - std::min(recorded->until, it.until) <= m_options.tolerance;
        if (!isEqual) {
            return false;
        }
        ++recorded;
    }
    return recorded == m_recorded->end();
}

state::RecordQuarantines recordCommand(
    base::Millis now, base::Millis wallNow, const std::vector<quarantine::Quarantine> &quarantines)
{
    state::RecordQuarantines command;
    for (const quarantine::Quarantine &it : quarantines) {
        command.quarantines.push_back({it.part, (wallNow + (it.until - now)).count});
    }
    return command;
}

} // namespace bamboomoor::control
