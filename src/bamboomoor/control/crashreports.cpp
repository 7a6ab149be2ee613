/**
 * The leader's analysis of reports, with its log lines.
 */
#include "bamboomoor/control/crashreports.hpp"

#include "bamboomoor/control/quarantinewire.hpp"
#include "bamboomoor/quarantine/promptguard.hpp"

#include <cstddef>
#include <string_view>

namespace bamboomoor::control
{

namespace
{

base::LogLine quarantineLine(base::Millis now, std::uint64_t term, const quarantine::Quarantine &quarantine,
    std::size_t crashes, std::string_view reportedBy)
{
    base::LogLine line("part_quarantined");
    line.add("part", quarantine.part).add("crashes", static_cast<std::int64_t>(crashes));
    line.add("reported_by", reportedBy).add("left_ms", quarantine.until - now);
    return line.add("term", static_cast<std::int64_t>(term));
}

} // namespace

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
    toWire(now, quarantine::LeaderReply{term, report.sequence, m_analysis.suspects(now), m_analysis.announced(now)},
        reply);
}

} // namespace bamboomoor::control
