/**
 * The leader's side of the protection of brittle upstreams: it splits the room of each into shares of the entries.
 *
 * The invariant: what entries may have in progress at an upstream, by all shares that the leader has given out and that
 * may still be in use, exceeds the room by no more than a margin. A share that is lowered counts in full until a report
 * confirms the lower one, and until its lease has ended if no report comes; only then others get more. As each request
 * that is rejected closes the upstream to its entry for a second or longer, rejections in any second are at most what
 * may be in progress less what the upstream accepts, which the margin keeps below the number that it bears.
 *
 * Nothing is replicated: a new leader takes the shares from the reports, and gives out more only once the leases of its
 * predecessor have ended.
 */
#pragma once

#include "bamboomoor/base/clock.hpp"
#include "bamboomoor/standing/roomtracker.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace bamboomoor::standing
{

/** @brief The settings of RoomAuthority. */
struct RoomOptions {
    // As in RoomTrackerOptions.
    base::Millis signalLife{600'000};
    base::Millis endLife{30'000};
    base::Millis leaseLife{3'000};
    // How long requests of an entry that does not report any more count as in progress.
    base::Millis runLife{10'000};
    // The part of the bearable rejections by which shares exceed the room, in percent.
    std::int64_t marginPercent = 50;
    // The interval between two rounds of the rounding of small shares.
    base::Millis round{1'500};
    // What rejections took off the room grows back by this part of the slots each second, in percent.
    std::int64_t growthPercent = 10;
    // The slots of an upstream that announces none.
    std::int64_t assumedSlots = 6;
};

/** @brief Shares the room of brittle upstreams. Not thread-safe. */
class RoomAuthority
{
public:
    /** @brief Creates an authority without known upstreams. @param startedAt The begin of the leadership. @param term
     * Its number, greater than those before. @param options The settings. */
    explicit RoomAuthority(base::Millis startedAt = {}, std::uint64_t term = 0, RoomOptions options = {}) noexcept;

    /** @brief Records that an entry reports. @param now The current time. @param entry The entry. */
    void onEntry(base::Millis now, const std::string &entry);

    /**
     * @brief Merges the report of an entry and sets its share.
     * @param now The current time.
     * @param entry The entry.
     * @param run The upstream.
     * @param report The report, with its times converted to the leader's clock.
     * @return The change of what is known: true if the upstream became or ceased to be brittle.
     */
    bool onReport(base::Millis now, const std::string &entry, const Run &run, const RoomReport &report);

    /** @brief Returns what an entry should know of an upstream. @param now The current time. @param entry The entry.
     * @param run The upstream. @return The reply, or nothing if no valid signal is known. */
    [[nodiscard]] std::optional<RoomGrant> grant(base::Millis now, const std::string &entry, const Run &run);

private:
    struct Holder {
        // What the entry may have in progress, by all that it was told or reported.
        std::int64_t occupied = 0;
        std::int64_t running = 0;
        std::int64_t wanted = 0;
        std::int64_t share = 0;
        std::uint64_t revision = 0;
        std::int64_t rejections = 0;
        base::Millis reportedAt;
    };
    struct Upstream {
        std::uint64_t incarnation = 0;
        std::optional<std::int64_t> brittle;
        base::Millis receivedAt;
        std::int64_t slots = 0;
        // The room and the margin, less what was rejected, in thousandths of requests, as of grownAt.
        std::int64_t roomMilli = 0;
        base::Millis grownAt;
        // When the first report arrived.
        base::Millis knownSince;
        base::Millis shrunkAt;
        // By entry.
        std::map<std::string, Holder> holders;
    };

    [[nodiscard]] bool isBrittle(base::Millis now, const Upstream &upstream) const noexcept;
    [[nodiscard]] std::int64_t slotsOf(const Upstream &upstream) const noexcept;
    void grow(base::Millis now, Upstream &upstream) const;
    void onRejections(base::Millis now, Upstream &upstream, std::int64_t count) const;
    [[nodiscard]] std::int64_t mostMilli(const Upstream &upstream) const noexcept;
    void expire(base::Millis now, Upstream &upstream) const;
    [[nodiscard]] std::int64_t totalOf(const Upstream &upstream) const noexcept;
    [[nodiscard]] std::int64_t shareOf(base::Millis now, const std::string &entry, const std::string &id,
        const Upstream &upstream, const Holder &holder) const;

    RoomOptions m_options;
    base::Millis m_startedAt;
    std::uint64_t m_revision = 0;
    // When each entry last reported.
    std::map<std::string, base::Millis> m_entries;
    // By upstream id.
    std::map<std::string, Upstream> m_upstreams;
};

} // namespace bamboomoor::standing
