/**
 * The leader's analysis of reports, with its log lines.
 */
#include "bamboomoor/control/crashreports.hpp"

#include "bamboomoor/control/quarantinewire.hpp"
#include "bamboomoor/quarantine/promptguard.hpp"

#include <cstddef>
#include <string_view>
#include <utility>

namespace bamboomoor::control
{

namespace
{

// Who reported a quarantine that an earlier leader had recorded.
constexpr std::string_view FROM_STATE = "state";

base::LogLine quarantineLine(base::Millis now, std::uint64_t term, const quarantine::Quarantine &quarantine,
    std::size_t crashes, std::string_view reportedBy)
{
    base::LogLine line("part_quarantined");
    line.add("part", quarantine.part).add("crashes", static_cast<std::int64_t>(crashes));
    line.add("reported_by", reportedBy).add("left_ms", quarantine.until - now);
    return line.add("term", static_cast<std::int64_t>(term));
}

} // namespace

void CrashReports::begin(base::Millis now, base::Millis wallNow, std::uint64_t term,
    const std::map<std::string, std::int64_t> &ends, CrashReportEffects &effects)
{
    for (const quarantine::Quarantine &it : m_recorder.begin(now, wallNow, ends)) {
        if (m_analysis.merge(now, it)) {
            effects.log(quarantineLine(now, term, it, 0, FROM_STATE));
        }
    }
}

void CrashReports::exchange(base::Millis now, std::uint64_t term, const peer::wire::DemandReport &request,
    peer::wire::DemandReply &reply, CrashReportEffects &effects)
{
    const quarantine::Report report = quarantineReport(now, request);
    for (const quarantine::LostAttempt &it : report.lostAttempts) {
        if (!m_analysis.add(now, it)) {
            continue;
        }
        base::LogLine line("attempt_lost");
        line.add("upstream", it.run.id).add("vm", request.vm());
        for (const std::string &part : it.parts) {
            line.add("part", part);
        }
        line.add("request", it.identity);
        effects.log(line.add("age_ms", now - it.at).add("term", static_cast<std::int64_t>(term)));
        // Only an upstream that accepts no connection has crashed.
        effects.inspect(it.run.id);
    }
    for (const quarantine::Survival &it : report.survivals) {
        if (m_analysis.onSurvival(it)) {
            base::LogLine line("part_released");
            line.add("part", it.part).add("vm", request.vm()).add("age_ms", now - it.at);
            effects.log(line.add("term", static_cast<std::int64_t>(term)));
        }
    }
    for (const quarantine::Quarantine &it : report.quarantines) {
        if (m_analysis.merge(now, it)) {
            effects.log(quarantineLine(now, term, it, 0, request.vm()));
        }
    }
    for (const quarantine::Finding &it : m_analysis.evaluate(now)) {
        effects.countQuarantine();
        effects.log(quarantineLine(now, term, {it.part, it.until}, it.crashes, {}));
    }
    std::vector<quarantine::Quarantine> announced = m_analysis.announced(now);
    if (const auto record = m_recorder.next(now, announced)) {
        effects.record(*record);
    }
    toWire(now, quarantine::LeaderReply{term, report.sequence, m_analysis.suspects(now), std::move(announced)}, reply);
}

void CrashReports::onRecorded(std::uint64_t term, std::uint64_t number, bool committed, CrashReportEffects &effects)
{
    if (m_recorder.onVerdict(number, committed)) {
        base::LogLine line("quarantines_recorded");
        line.add("record", static_cast<std::int64_t>(number));
        effects.log(line.add("term", static_cast<std::int64_t>(term)));
    }
}

} // namespace bamboomoor::control
