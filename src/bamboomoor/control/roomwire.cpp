/**
 * Implements the encoding of rooms.
 */
#include "bamboomoor/control/roomwire.hpp"

#include <algorithm>

namespace bamboomoor::control
{

namespace
{

// More requests than an upstream has in progress, and a longer age than that of any signal in use.
constexpr std::int64_t MAX_COUNT = 1'000'000;
constexpr std::int64_t MAX_AGE = 3'600'000;

std::int64_t bounded(std::int64_t count)
{
    return std::clamp<std::int64_t>(count, 0, MAX_COUNT);
}

std::optional<std::int64_t> brittleOf(const peer::wire::UpstreamRoom &in)
{
    return in.brittle() ? std::optional(bounded(in.refusals())) : std::nullopt;
}

base::Millis receivedAt(base::Millis now, const peer::wire::UpstreamRoom &in)
{
    return now - base::Millis{std::clamp<std::int64_t>(in.age_ms(), 0, MAX_AGE)};
}

} // namespace

peer::wire::UpstreamRoom toWire(base::Millis now, const standing::RoomReport &report)
{
    peer::wire::UpstreamRoom out;
    out.set_brittle(report.brittle.has_value());
    out.set_refusals(report.brittle.value_or(0));
    out.set_age_ms((now - report.receivedAt).count);
    out.set_share(report.share);
    out.set_revision(report.revision);
    out.set_slots(report.slots);
    out.set_running(report.running);
    out.set_wanted(report.wanted);
    out.set_refused(report.rejections);
    return out;
}

peer::wire::UpstreamRoom toWire(base::Millis now, const standing::RoomGrant &grant)
{
    peer::wire::UpstreamRoom out;
    out.set_brittle(grant.brittle.has_value());
    out.set_refusals(grant.brittle.value_or(0));
    out.set_age_ms((now - grant.receivedAt).count);
    out.set_share(grant.share);
    out.set_revision(grant.revision);
    out.set_room(grant.room);
    out.set_entries(grant.entries);
    return out;
}

standing::RoomReport roomReport(base::Millis now, const peer::wire::UpstreamRoom &in)
{
    standing::RoomReport report;
    report.brittle = brittleOf(in);
    report.receivedAt = receivedAt(now, in);
    report.slots = bounded(in.slots());
    report.running = bounded(in.running());
    report.wanted = bounded(in.wanted());
    report.share = bounded(in.share());
    report.revision = in.revision();
    report.rejections = std::max<std::int64_t>(0, in.refused());
    return report;
}

standing::RoomGrant roomGrant(base::Millis now, const peer::wire::UpstreamRoom &in)
{
    standing::RoomGrant grant;
    grant.brittle = brittleOf(in);
    grant.receivedAt = receivedAt(now, in);
    grant.share = bounded(in.share());
    grant.revision = in.revision();
    grant.room = bounded(in.room());
    grant.entries = bounded(in.entries());
    return grant;
}

} // namespace bamboomoor::control
