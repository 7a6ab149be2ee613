/**
 * Unit and property tests of the sharing of the room of brittle upstreams.
 */
#include "bamboomoor/standing/roomauthority.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

using namespace bamboomoor;
using standing::Room;
using standing::RoomAuthority;
using standing::RoomGrant;
using standing::RoomReport;
using standing::RoomTracker;
using standing::UpstreamSignal;

namespace
{

const standing::Run FIRST{"w1", 1};

UpstreamSignal brittle(std::int64_t rejections)
{
    UpstreamSignal signal;
    signal.brittle = rejections;
    return signal;
}

/** @brief An entry, and messages between it and the leader on their way. */
struct Entry {
    std::string name;
    RoomTracker tracker;
    std::int64_t running = 0;
    std::optional<RoomReport> report;
    std::optional<RoomGrant> reply;
    std::int64_t reportedAt = 0;
    std::int64_t arrivesAt = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(rooms)

BOOST_AUTO_TEST_CASE(entries_with_leases_exceed_the_room_by_no_more_than_the_bearable_rejections)
{
    BOOST_TEST(rc::check([] {
        const std::int64_t slots = *rc::gen::element<std::int64_t>(1, 6, 32, 64);
        const std::int64_t rejections = *rc::gen::inRange<std::int64_t>(0, 12);
        const auto count = *rc::gen::inRange<std::size_t>(1, 20);
        std::int64_t now = 100'000;
        RoomAuthority authority({now - 10'000}, 1);
        std::uint64_t term = 1;
        std::vector<Entry> entries(count);
        for (std::size_t n = 0; n < count; ++n) {
            entries[n].name = std::to_string(n);
            entries[n].tracker.setListed({{FIRST, "s", slots}});
            entries[n].tracker.onSignal({now}, FIRST, brittle(rejections), {now}, true);
        }
        const int steps = *rc::gen::inRange(1, 800);
        for (int step = 0; step < steps; ++step) {
            now += *rc::gen::inRange<std::int64_t>(0, 60);
            if (*rc::gen::inRange(0, 200) == 0) {
                authority = RoomAuthority({now}, ++term);
            }
            Entry &it = entries[*rc::gen::inRange<std::size_t>(0, count)];
            it.tracker.onSignal({now}, FIRST, brittle(rejections), {now}, true);
            switch (*rc::gen::inRange(0, 4)) {
            case 0:
                if (it.tracker.room({now}, FIRST) == Room::Free) {
                    it.tracker.onSent(FIRST);
                    ++it.running;
                } else {
                    it.tracker.addDemand({now}, FIRST, *rc::gen::inRange<std::int64_t>(1, 9));
                }
                break;
            case 1:
                if (it.running > 0) {
                    it.tracker.onEnded(FIRST);
                    --it.running;
                }
                break;
            case 2:
                // One exchange at a time; a report that was collected earlier may be sent.
                if (!it.report) {
                    it.report = it.tracker.takeReport({now}, FIRST);
                    it.reportedAt = now;
                }
                break;
            default:
                if (it.report) {
                    authority.onReport({now}, it.name, FIRST, *it.report);
                    it.report.reset();
                    it.reply = authority.grant({now}, it.name, FIRST);
                } else if (it.reply) {
                    // The reply may be lost.
                    if (*rc::gen::inRange(0, 5) > 0) {
                        it.tracker.onGrant({now}, FIRST, *it.reply, {it.reportedAt});
                    }
                    it.reply.reset();
                }
                break;
            }
            std::int64_t total = 0;
            for (const Entry &entry : entries) {
                total += entry.running;
            }
            // Entries whose leases have ended by the lack of reports each add a part of the room, rounded up.
            const auto expired = std::count_if(entries.begin(), entries.end(), [now](const Entry &entry) {
                return now - entry.reportedAt > 2'900;
            });
            const std::int64_t bound = slots + rejections;
            RC_ASSERT(total <= bound + expired * (bound / 2 + 1));
        }
    }));
}

BOOST_AUTO_TEST_CASE(a_rejection_closes_a_brittle_upstream_for_a_growing_time)
{
    RoomTracker it;
    it.setListed({{FIRST, "s", 6}});
    const auto first = it.onSignal({1'000}, FIRST, brittle(5), {900}, false);
    BOOST_TEST(first.isBrittle);
    BOOST_TEST((first.closedFor >= base::Millis{1'000} && first.closedFor < base::Millis{2'000}));
    BOOST_TEST((it.room({1'999}, FIRST) == Room::Closed));
    const auto second = it.onSignal({3'000}, FIRST, brittle(5), {2'900}, false);
    BOOST_TEST((second.closedFor >= base::Millis{2'000} && second.closedFor < base::Millis{4'000}));
    BOOST_TEST(it.onSignal({10'000}, FIRST, {}, {9'000}, true).ended);
    BOOST_TEST((it.room({10'000}, FIRST) == Room::Free));
}

BOOST_AUTO_TEST_CASE(a_response_to_an_earlier_request_or_a_malformed_one_does_not_end_the_signal)
{
    RoomTracker it;
    it.setListed({{FIRST, "s", 6}});
    it.onSignal({1'000}, FIRST, brittle(5), {900}, true);
    UpstreamSignal malformed;
    malformed.malformed = true;
    BOOST_TEST(!it.onSignal({1'100}, FIRST, {}, {950}, true).ended);
    BOOST_TEST(!it.onSignal({1'100}, FIRST, malformed, {1'050}, true).ended);
    BOOST_TEST(it.onSignal({1'100}, FIRST, {}, {1'050}, true).ended);
}

BOOST_AUTO_TEST_CASE(a_new_upstream_of_a_brittle_service_counts_as_brittle_until_its_first_response)
{
    RoomTracker it;
    it.setListed({{FIRST, "s", 6}});
    it.onSignal({1'000}, FIRST, brittle(5), {900}, true);
    const standing::Run next{"w2", 1};
    it.setListed({{FIRST, "s", 6}, {next, "s", 6}, {{"w3", 1}, "other", 6}});
    BOOST_TEST(it.takeReport({1'100}, next).has_value());
    BOOST_TEST((it.takeReport({1'100}, next)->brittle == 5));
    BOOST_TEST((it.room({1'100}, {"w3", 1}) == Room::Free));
    BOOST_TEST(it.onSignal({1'200}, next, {}, {1'150}, true).ended);
    BOOST_TEST((it.room({1'200}, next) == Room::Free));
}

BOOST_AUTO_TEST_CASE(a_later_incarnation_has_nothing_in_progress)
{
    RoomAuthority authority({0}, 1);
    RoomReport report;
    report.brittle = 4;
    report.receivedAt = {10'000};
    report.slots = 6;
    report.running = 6;
    authority.onReport({10'000}, "a", FIRST, report);
    BOOST_TEST(!authority.grant({10'000}, "a", {"w1", 2}).has_value());
    report.running = 0;
    report.wanted = 6;
    authority.onReport({10'100}, "b", {"w1", 2}, report);
    BOOST_TEST(authority.grant({10'100}, "b", {"w1", 2})->share >= 6);
    BOOST_TEST(!authority.onReport({10'200}, "a", FIRST, report));
}

BOOST_AUTO_TEST_SUITE_END()
