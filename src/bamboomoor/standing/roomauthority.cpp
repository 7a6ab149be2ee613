/**
 * Shares of entries in the room of brittle upstreams.
 */
#include "bamboomoor/standing/roomauthority.hpp"

#include "bamboomoor/standing/dither.hpp"

#include <algorithm>

namespace bamboomoor::standing
{

namespace
{

constexpr std::int64_t MILLI = 1'000;
constexpr std::int64_t PERCENT = 100;
// The revisions of a term.
constexpr unsigned TERM_SHIFT = 32;

} // namespace

RoomAuthority::RoomAuthority(base::Millis startedAt, std::uint64_t term, RoomOptions options) noexcept
    : m_options(options)
    , m_startedAt(startedAt)
    , m_revision(term << TERM_SHIFT)
{
}

void RoomAuthority::onEntry(base::Millis now, const std::string &entry)
{
    m_entries[entry] = now;
    std::erase_if(m_entries, [&](const auto &it) {
        return now - it.second > m_options.leaseLife;
    });
}

bool RoomAuthority::isBrittle(base::Millis now, const Upstream &upstream) const noexcept
{
    return upstream.brittle && now - upstream.receivedAt <= m_options.signalLife;
}

std::int64_t RoomAuthority::slotsOf(const Upstream &upstream) const noexcept
{
    return upstream.slots > 0 ? upstream.slots : m_options.assumedSlots;
}

std::int64_t RoomAuthority::mostMilli(const Upstream &upstream) const noexcept
{
    return slotsOf(upstream) * MILLI + upstream.brittle.value_or(0) * m_options.marginPercent * MILLI / PERCENT;
}

void RoomAuthority::grow(base::Millis now, Upstream &upstream) const
{
    const std::int64_t most = mostMilli(upstream);
    const std::int64_t span = std::clamp<std::int64_t>((now - upstream.grownAt).count, 0, m_options.signalLife.count);
    const std::int64_t grown = slotsOf(upstream) * m_options.growthPercent * span / PERCENT;
    upstream.roomMilli = std::min(most, upstream.roomMilli + grown);
    upstream.grownAt = now;
}

void RoomAuthority::onRejections(base::Millis now, Upstream &upstream, std::int64_t count) const
{
    // Nobody else may be rejected in the place of the entry to which the upstream is closed now.
    upstream.roomMilli =
        std::max(std::min(upstream.roomMilli, slotsOf(upstream) * MILLI), upstream.roomMilli - count * MILLI);
    // Reports of several entries on the same shortage count once, and at first not all entries have reported.
    const bool isComplete = now - upstream.knownSince > m_options.leaseLife;
    if (!isComplete || now - upstream.shrunkAt < m_options.leaseLife / 2) {
        return;
    }
    std::int64_t running = 0;
    for (const auto &[entry, it] : upstream.holders) {
        running += it.running;
    }
    upstream.shrunkAt = now;
    upstream.roomMilli = std::clamp(running * MILLI, MILLI, std::max(MILLI, upstream.roomMilli));
}

void RoomAuthority::expire(base::Millis now, Upstream &upstream) const
{
    for (auto &[entry, it] : upstream.holders) {
        if (now - it.reportedAt > m_options.leaseLife) {
            it.occupied = it.running;
            it.share = 0;
            it.wanted = 0;
        }
    }
    std::erase_if(upstream.holders, [&](const auto &it) {
        return now - it.second.reportedAt > m_options.runLife;
    });
}

std::int64_t RoomAuthority::totalOf(const Upstream &upstream) const noexcept
{
    return upstream.roomMilli / MILLI;
}

bool RoomAuthority::onReport(base::Millis now, const std::string &entry, const Run &run, const RoomReport &report)
{
    const auto [place, isNew] = m_upstreams.try_emplace(run.id);
    Upstream &upstream = place->second;
    if (run.incarnation < upstream.incarnation) {
        return false;
    }
    if (isNew || run.incarnation > upstream.incarnation) {
        upstream = {};
        upstream.incarnation = run.incarnation;
        upstream.slots = report.slots;
        upstream.brittle = report.brittle;
        upstream.roomMilli = mostMilli(upstream);
        upstream.brittle.reset();
        upstream.grownAt = now;
        upstream.knownSince = now;
    }
    // The newest announcement that the entry knows may name fewer than before.
    upstream.slots = report.slots > 0 ? report.slots : upstream.slots;
    const bool wasBrittle = isBrittle(now, upstream);
    if (report.receivedAt > upstream.receivedAt && now - report.receivedAt <= m_options.signalLife) {
        upstream.brittle = report.brittle;
        upstream.receivedAt = report.receivedAt;
    }
    grow(now, upstream);
    Holder &holder = upstream.holders[entry];
    const std::int64_t rejections = report.rejections - holder.rejections;
    // A report that was made before the last reply arrived does not know what that reply allows.
    const bool confirms = report.revision == holder.revision;
    holder.occupied = std::max({confirms ? 0 : holder.occupied, report.share, report.running});
    holder.running = report.running;
    holder.wanted = std::max(report.wanted, report.running);
    holder.rejections = report.rejections;
    holder.reportedAt = now;
    if (rejections > 0) {
        onRejections(now, upstream, rejections);
    }
    expire(now, upstream);
    holder.share = shareOf(now, entry, run.id, upstream, holder);
    holder.occupied = std::max(holder.occupied, holder.share);
    holder.revision = ++m_revision;
    return wasBrittle != isBrittle(now, upstream);
}

std::int64_t RoomAuthority::shareOf(base::Millis now, const std::string &entry, const std::string &id,
    const Upstream &upstream, const Holder &holder) const
{
    // Leases of the predecessor may be in use that no report has named yet.
    if (now - m_startedAt <= m_options.leaseLife) {
        return holder.occupied;
    }
    std::int64_t wanted = 0;
    std::int64_t occupied = 0;
    std::int64_t active = 0;
    for (const auto &[name, it] : upstream.holders) {
        wanted += it.wanted;
        active += it.wanted > 0 ? 1 : 0;
        occupied += it.occupied;
    }
    const std::int64_t total = totalOf(upstream);
    const auto round = static_cast<std::uint64_t>(std::max<std::int64_t>(0, now.count / m_options.round.count));
    std::int64_t share = 0;
    if (holder.wanted > 0 && wanted > total) {
        share = ditheredPart(total, holder.wanted, wanted, id, entry, round);
    } else if (holder.wanted > 0) {
        share = holder.wanted + ditheredPart(total - wanted, 1, active, id, entry, round);
    }
    return std::min(share, holder.occupied + std::max<std::int64_t>(0, total - occupied));
}

std::optional<RoomGrant> RoomAuthority::grant(base::Millis now, const std::string &entry, const Run &run)
{
    const auto place = m_upstreams.find(run.id);
    if (place == m_upstreams.end() || place->second.incarnation != run.incarnation) {
        return std::nullopt;
    }
    const Upstream &upstream = place->second;
    if (now - upstream.receivedAt > (upstream.brittle ? m_options.signalLife : m_options.endLife)) {
        m_upstreams.erase(place);
        return std::nullopt;
    }
    RoomGrant grant;
    grant.brittle = upstream.brittle;
    grant.receivedAt = upstream.receivedAt;
    grant.room = totalOf(upstream);
    grant.entries = static_cast<std::int64_t>(m_entries.size());
    const auto holder = upstream.holders.find(entry);
    if (holder != upstream.holders.end() && holder->second.reportedAt == now) {
        grant.share = holder->second.share;
        grant.revision = holder->second.revision;
    }
    return grant;
}

} // namespace bamboomoor::standing
