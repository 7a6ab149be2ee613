/**
 * Conversion of the reports on prompt parts.
 */
#include "bamboomoor/control/quarantinewire.hpp"

#include "bamboomoor/quarantine/partlimits.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>

namespace bamboomoor::control
{

namespace
{

// Bounds of what a received message may contain.
constexpr int MAX_ELEMENTS = 1'024;
constexpr std::int64_t MAX_AGE_MS = 3'600'000;

bool isValid(const std::string &part)
{
    return !part.empty() && part.size() <= quarantine::MAX_PART_LENGTH;
}

base::Millis timeOf(base::Millis now, std::int64_t ageMs)
{
    return now - base::Millis{std::clamp<std::int64_t>(ageMs, 0, MAX_AGE_MS)};
}

template<typename Out>
void addQuarantines(base::Millis now, const std::vector<quarantine::Quarantine> &quarantines, Out &out)
{
    for (const quarantine::Quarantine &it : quarantines) {
        auto *added = out.add_quarantines();
        added->set_part(it.part);
        added->set_left_ms((it.until - now).count);
    }
}

template<typename In>
std::vector<quarantine::Quarantine> readQuarantines(base::Millis now, const In &in)
{
    std::vector<quarantine::Quarantine> quarantines;
    for (int n = 0; n < std::min(in.quarantines_size(), MAX_ELEMENTS); ++n) {
        const auto &it = in.quarantines(n);
        if (isValid(it.part())) {
            quarantines.push_back(
                {it.part(), now + base::Millis{std::clamp<std::int64_t>(it.left_ms(), 0, MAX_AGE_MS)}});
        }
    }
    return quarantines;
}

} // namespace

void toWire(base::Millis now, const quarantine::Report &report, peer::wire::DemandReport &out)
{
    out.set_quarantine_sequence(report.sequence);
    for (const quarantine::LostAttempt &it : report.lostAttempts) {
        auto *lost = out.add_lost_attempts();
        lost->set_upstream(it.run.id);
        lost->set_incarnation(it.run.incarnation);
        lost->set_age_ms((now - it.at).count);
        lost->set_request(it.request);
        lost->set_identity(it.identity);
        if (it.sentAt) {
            lost->set_ran_ms((it.at - *it.sentAt).count);
        }
        for (const std::string &part : it.parts) {
            lost->add_parts(part);
        }
    }
    for (const quarantine::Survival &it : report.survivals) {
        auto *survival = out.add_survivals();
        survival->set_part(it.part);
        survival->set_age_ms((now - it.at).count);
    }
    addQuarantines(now, report.quarantines, out);
}

void toWire(base::Millis now, const quarantine::LeaderReply &reply, peer::wire::DemandReply &out)
{
    out.set_quarantine_sequence(reply.acknowledged);
    for (const std::string &it : reply.suspects) {
        out.add_suspect_parts(it);
    }
    addQuarantines(now, reply.quarantines, out);
}

quarantine::Report quarantineReport(base::Millis now, const peer::wire::DemandReport &in)
{
    quarantine::Report report;
    report.sequence = in.quarantine_sequence();
    for (int n = 0; n < std::min(in.lost_attempts_size(), MAX_ELEMENTS); ++n) {
        const auto &it = in.lost_attempts(n);
        quarantine::LostAttempt lost;
        lost.run = {it.upstream(), it.incarnation()};
        lost.at = timeOf(now, it.age_ms());
        lost.request = it.request();
        lost.identity = isValid(it.identity()) ? it.identity() : std::string();
        if (it.has_ran_ms()) {
            lost.sentAt = timeOf(lost.at, it.ran_ms());
        }
        for (int part = 0; part < std::min(it.parts_size(), static_cast<int>(quarantine::MAX_PARTS)); ++part) {
            // Keeps the positions of the others.
            lost.parts.push_back(isValid(it.parts(part)) ? it.parts(part) : std::string());
        }
        if (isValid(lost.request)) {
            report.lostAttempts.push_back(std::move(lost));
        }
    }
    for (int n = 0; n < std::min(in.survivals_size(), MAX_ELEMENTS); ++n) {
        const auto &it = in.survivals(n);
        if (isValid(it.part())) {
            report.survivals.push_back({it.part(), timeOf(now, it.age_ms())});
        }
    }
    report.quarantines = readQuarantines(now, in);
    return report;
}

quarantine::LeaderReply quarantineReply(base::Millis now, const peer::wire::DemandReply &in)
{
    quarantine::LeaderReply reply;
    reply.term = in.term();
    reply.acknowledged = in.quarantine_sequence();
    for (int n = 0; n < std::min(in.suspect_parts_size(), MAX_ELEMENTS); ++n) {
        if (isValid(in.suspect_parts(n))) {
            reply.suspects.push_back(in.suspect_parts(n));
        }
    }
    reply.quarantines = readQuarantines(now, in);
    return reply;
}

} // namespace bamboomoor::control
