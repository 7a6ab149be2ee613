/**
 * Shares of this entry in the room of brittle upstreams.
 */
#include "bamboomoor/standing/roomtracker.hpp"

#include "bamboomoor/standing/dither.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace bamboomoor::standing
{

namespace
{

// Consecutive lists without an upstream, one every 200 ms, after which its state is discarded.
constexpr int MAX_UNLISTED = 300;

} // namespace

const RoomTracker::Record *RoomTracker::find(const Run &run) const
{
    const auto it = m_records.find(run.id);
    return it == m_records.end() || it->second.incarnation != run.incarnation ? nullptr : &it->second;
}

RoomTracker::Record *RoomTracker::recordOf(const Run &run)
{
    const auto [place, isNew] = m_records.try_emplace(run.id);
    Record &record = place->second;
    if (record.incarnation > run.incarnation) {
        return nullptr;
    }
    if (isNew || record.incarnation < run.incarnation) {
        std::string service = std::move(record.service);
        const std::int64_t slots = record.slots;
        record = {};
        record.incarnation = run.incarnation;
        record.service = std::move(service);
        record.slots = slots;
        assume(record);
    }
    return &record;
}

void RoomTracker::assume(Record &record) const
{
    for (const auto &[id, it] : m_records) {
        const bool isSibling = &it != &record && it.service == record.service && !record.service.empty();
        if (isSibling && it.brittle && it.receivedAt > record.receivedAt) {
            record.brittle = it.brittle;
            record.receivedAt = it.receivedAt;
            record.room = it.room;
            record.entries = it.entries;
        }
    }
}

bool RoomTracker::isBrittle(base::Millis now, const Record &record) const noexcept
{
    return record.brittle && now - record.receivedAt <= m_options.signalLife;
}

bool RoomTracker::isReportable(base::Millis now, const Record &record) const noexcept
{
    const base::Millis life = record.brittle ? m_options.signalLife : m_options.endLife;
    return record.receivedAt > base::Millis{} && now - record.receivedAt <= life;
}

void RoomTracker::begin(base::Millis now, Record &record) const noexcept
{
    // Until the leader replies, the load stays as it is.
    record.share = record.running;
    record.revision = 0;
    record.leaseUntil = now + m_options.initialLease;
    record.peak = record.running;
}

RoomTracker::Changes RoomTracker::onSignal(
    base::Millis now, const Run &run, const UpstreamSignal &signal, base::Millis sentAt, bool ran)
{
    Changes changes;
    Record *record = signal.brittle || find(run) != nullptr ? recordOf(run) : nullptr;
    if (record == nullptr) {
        return changes;
    }
    if (signal.brittle) {
        if (!isBrittle(now, *record)) {
            begin(now, *record);
            changes.isBrittle = true;
        }
        changes.isBrittle = changes.isBrittle || record->brittle != signal.brittle;
        record->brittle = signal.brittle;
        record->receivedAt = now;
        m_anyBrittle = true;
        if (!ran) {
            changes.closedFor = close(now, *record);
        }
    } else if (record->brittle && !signal.malformed && ran && sentAt >= record->receivedAt) {
        record->brittle.reset();
        record->receivedAt = now;
        record->closedUntil = {};
        changes.ended = true;
    }
    if (ran && sentAt > record->rejectedAt) {
        record->closure = {};
    }
    return changes;
}

base::Millis RoomTracker::close(base::Millis now, Record &record)
{
    ++record.rejections;
    record.rejectedAt = now;
    if (now < record.closedUntil) {
        return {};
    }
    record.closure = std::clamp(record.closure * 2, m_options.initialClosure, m_options.maxClosure);
    const auto spread = static_cast<std::uint64_t>(record.closure.count);
    const base::Millis length = record.closure + base::Millis{static_cast<std::int64_t>(m_random() % spread)};
    record.closedUntil = now + length;
    return length;
}

void RoomTracker::onGrant(base::Millis now, const Run &run, const RoomGrant &grant, base::Millis requestedAt)
{
    Record *record = recordOf(run);
    if (record == nullptr) {
        return;
    }
    if (grant.receivedAt > record->receivedAt) {
        if (grant.brittle && !isBrittle(now, *record)) {
            begin(now, *record);
        }
        record->brittle = grant.brittle;
        record->receivedAt = grant.receivedAt;
        m_anyBrittle = m_anyBrittle || grant.brittle;
    }
    if (grant.entries > 0) {
        record->room = grant.room;
        record->entries = grant.entries;
    }
    if (grant.revision > 0) {
        record->share = grant.share;
        record->revision = grant.revision;
        record->leaseUntil = requestedAt + m_options.leaseLife;
    }
}

void RoomTracker::setListed(const std::vector<ListedRun> &runs)
{
    std::set<std::string_view> listed;
    for (const ListedRun &it : runs) {
        listed.insert(it.run.id);
        m_records[it.run.id].service = it.service;
        if (Record *record = recordOf(it.run)) {
            record->slots = it.slots;
        }
    }
    for (auto &[id, record] : m_records) {
        record.unlisted = listed.contains(id) ? 0 : record.unlisted + 1;
    }
    std::erase_if(m_records, [](const auto &it) {
        return it.second.unlisted > MAX_UNLISTED;
    });
    m_anyBrittle = std::any_of(m_records.begin(), m_records.end(), [](const auto &it) {
        return it.second.brittle.has_value();
    });
}

std::int64_t RoomTracker::allowed(base::Millis now, const std::string &id, const Record &record) const
{
    if (now < record.leaseUntil) {
        return record.share;
    }
    const std::int64_t slots = record.slots > 0 ? record.slots : m_options.assumedSlots;
    const std::int64_t room = record.room > 0 ? record.room : slots;
    const std::int64_t entries = record.entries > 0 ? record.entries : m_options.assumedEntries;
    return ditheredPart(room, 1, entries, id, std::to_string(m_options.seed), 0);
}

Room RoomTracker::room(base::Millis now, const Run &run) const
{
    const Record *record = m_anyBrittle ? find(run) : nullptr;
    if (record == nullptr || !isBrittle(now, *record)) {
        return Room::Free;
    }
    if (now < record->closedUntil) {
        return Room::Closed;
    }
    return record->running < allowed(now, run.id, *record) ? Room::Free : Room::Full;
}

base::Millis RoomTracker::closedFor(base::Millis now, const Run &run) const
{
    const Record *record = m_anyBrittle ? find(run) : nullptr;
    const bool isClosed = record != nullptr && isBrittle(now, *record) && now < record->closedUntil;
    return isClosed ? record->closedUntil - now : base::Millis{};
}

void RoomTracker::onSent(const Run &run)
{
    if (Record *record = recordOf(run)) {
        ++record->running;
        record->peak = std::max(record->peak, record->running);
    }
}

void RoomTracker::onEnded(const Run &run)
{
    const auto it = m_records.find(run.id);
    if (it != m_records.end() && it->second.incarnation == run.incarnation) {
        it->second.running = std::max<std::int64_t>(0, it->second.running - 1);
    }
}

void RoomTracker::addDemand(base::Millis now, const Run &run, std::int64_t count)
{
    Record *record = find(run) == nullptr ? nullptr : &m_records.at(run.id);
    if (record == nullptr || !isBrittle(now, *record)) {
        return;
    }
    const std::int64_t before = now - record->demandedAt < m_options.demandLife ? record->demand : 0;
    record->demand = std::max(before, count);
    record->demandedAt = now;
}

bool RoomTracker::reportDue(base::Millis now, const std::string &id, const Record &record) const
{
    if (!isBrittle(now, record) || now < record.nextRequestAt) {
        return false;
    }
    const bool wants = record.demand > 0 && now - record.demandedAt < m_options.demandLife && now >= record.closedUntil
        && record.running >= allowed(now, id, record);
    return wants || record.rejections > record.reportedRejections;
}

bool RoomTracker::reportDue(base::Millis now) const
{
    return m_anyBrittle && std::any_of(m_records.begin(), m_records.end(), [&](const auto &it) {
        return reportDue(now, it.first, it.second);
    });
}

std::vector<Run> RoomTracker::reportable(base::Millis now) const
{
    std::vector<Run> runs;
    for (const auto &[id, record] : m_records) {
        // The end of a signal is reported as well.
        if (isReportable(now, record)) {
            runs.push_back({id, record.incarnation});
        }
    }
    return runs;
}

std::optional<RoomReport> RoomTracker::takeReport(base::Millis now, const Run &run)
{
    Record *record = find(run) == nullptr ? nullptr : &m_records.at(run.id);
    if (record == nullptr || !isReportable(now, *record)) {
        return std::nullopt;
    }
    RoomReport report;
    report.brittle = record->brittle;
    report.receivedAt = record->receivedAt;
    report.slots = record->slots;
    report.running = record->running;
    report.wanted = record->peak;
    if (now - record->demandedAt < m_options.demandLife && now >= record->closedUntil) {
        report.wanted += record->demand;
    }
    report.share = now < record->leaseUntil ? record->share : allowed(now, run.id, *record);
    report.revision = record->revision;
    report.rejections = record->rejections;
    if (reportDue(now, run.id, *record)) {
        record->nextRequestAt = now + m_options.requestInterval;
    }
    record->reportedRejections = record->rejections;
    record->peak = record->running;
    record->demand = 0;
    return report;
}

} // namespace bamboomoor::standing
