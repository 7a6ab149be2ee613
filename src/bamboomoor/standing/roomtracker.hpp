/**
 * How many requests this entry may have in progress at upstreams that are brittle: those that crash if they have to
 * reject too many requests in a second for lack of room.
 *
 * The leader splits the room of a brittle upstream into shares of the entries, which are leases. An entry sends only
 * while it has fewer requests in progress there than its share, so that all entries together exceed the room by no more
 * than the leader's margin, and the upstream rejects no more than that. An entry that is rejected nevertheless sends
 * nothing there for a time that grows with each rejection. Once its lease has ended, an entry goes on with an equal
 * part of the room as it last knew it.
 *
 * Upstreams of one service become brittle together: one that is new in such a service counts as brittle until its first
 * response tells.
 */
#pragma once

#include "bamboomoor/base/clock.hpp"
#include "bamboomoor/standing/upstreamsignal.hpp"

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace bamboomoor::standing
{

/** @brief An upstream in the list of those that are available. */
struct ListedRun {
    Run run;
    std::string service;
    // The most requests that it runs at once; 0 if unknown.
    std::int64_t slots = 0;
    // Requests need permits until then, as it is cold; 0 if it is not.
    base::Millis coldUntil = {};
};

/** @brief The settings of RoomTracker. */
struct RoomTrackerOptions {
    // A signal expires if no response has renewed it for this time. It outlasts a time without requests, as those that
    // end it would all be sent at once.
    base::Millis signalLife{600'000};
    // The end of a signal is reported for this time.
    base::Millis endLife{30'000};
    // A share is valid for this time, counted from the report that the leader replied to.
    base::Millis leaseLife{3'000};
    // What is in progress when an upstream becomes brittle stays the share for this time, in which the leader replies.
    // Upstreams shorten their queues some seconds after the signal, by when requests beyond have to have ended.
    base::Millis initialLease{1'000};
    // Demand for room expires after this time unless it is renewed.
    base::Millis demandLife{300};
    // The least interval between two urgent reports.
    base::Millis requestInterval{200};
    // How long an upstream is closed to this entry after a rejection: the first time, and at most; up to twice as long
    // by chance.
    base::Millis initialClosure{1'000};
    base::Millis maxClosure{8'000};
    // The slots of an upstream that announces none, and the number of entries that share while no leader has told.
    std::int64_t assumedSlots = 6;
    std::int64_t assumedEntries = 32;
    std::uint64_t seed = 1;
};

/** @brief A report of an entry on the room of one upstream; empty unless it is known to be or to have been brittle. */
struct RoomReport {
    // The signalled bound on rejections in a second; unset if the upstream is not brittle any more.
    std::optional<std::int64_t> brittle;
    base::Millis receivedAt;
    std::int64_t slots = 0;
    // Requests in progress now, and the most that this entry has use for.
    std::int64_t running = 0;
    std::int64_t wanted = 0;
    // The share that the entry keeps to, and the revision of the leader's reply that set it.
    std::int64_t share = 0;
    std::uint64_t revision = 0;
    // Rejections by this incarnation so far.
    std::int64_t rejections = 0;

    friend bool operator==(const RoomReport &, const RoomReport &) = default;
};

/** @brief A reply of the leader on the room of one upstream. */
struct RoomGrant {
    std::optional<std::int64_t> brittle;
    base::Millis receivedAt;
    // The share of the entry, if it has reported the upstream; the revision is 0 otherwise.
    std::int64_t share = 0;
    std::uint64_t revision = 0;
    // What is shared by how many entries.
    std::int64_t room = 0;
    std::int64_t entries = 0;

    friend bool operator==(const RoomGrant &, const RoomGrant &) = default;
};

/** @brief Whether a brittle upstream takes another request of this entry. */
enum class Room { Free, Full, Closed };

/** @brief Tracks the shares of one entry. Not thread-safe. */
class RoomTracker
{
public:
    /** @brief Creates a tracker without brittle upstreams. @param options The settings. */
    explicit RoomTracker(RoomTrackerOptions options = {}) noexcept
        : m_options(options)
        , m_random(options.seed)
    {
    }

    /** @brief What a response changed. */
    struct Changes {
        bool isBrittle = false;
        bool ended = false;
        // For how long the upstream is closed to this entry; 0 unless this response closed it.
        base::Millis closedFor;
    };

    /** @brief Applies the signals of a response. @param now The current time. @param run The responding upstream.
     * @param signal The signals. @param sentAt When the request was sent. @param ran False if the upstream rejected
     * the request. @return The changes. */
    Changes onSignal(base::Millis now, const Run &run, const UpstreamSignal &signal, base::Millis sentAt, bool ran);

    /** @brief Applies a reply of the leader. @param now The current time. @param run The upstream. @param grant The
     * reply. @param requestedAt When the report was made that it replies to. */
    void onGrant(base::Millis now, const Run &run, const RoomGrant &grant, base::Millis requestedAt);

    /** @brief Updates which upstreams are listed. @param runs The complete list. */
    void setListed(const std::vector<ListedRun> &runs);

    /** @brief Tells whether an upstream takes another request. @param now The current time. @param run The upstream. */
    [[nodiscard]] Room room(base::Millis now, const Run &run) const;

    /** @brief Returns for how long an upstream is closed to this entry. @param now The current time. @param run The
     * upstream. @return The time; 0 if it is not closed. */
    [[nodiscard]] base::Millis closedFor(base::Millis now, const Run &run) const;

    /** @brief Records that a request is sent. @param run The upstream. */
    void onSent(const Run &run);

    /** @brief Records the end of a request. @param run The upstream. */
    void onEnded(const Run &run);

    /** @brief Registers demand for room, ignored unless the upstream is brittle. @param now The current time. @param
     * run The upstream. @param count The number of requests. */
    void addDemand(base::Millis now, const Run &run, std::int64_t count);

    /** @brief Tells whether a report should be made at once. @param now The current time. */
    [[nodiscard]] bool reportDue(base::Millis now) const;

    /** @brief Takes the report on one upstream. @param now The current time. @param run The upstream. @return The
     * report, or nothing if no valid signal is known. */
    [[nodiscard]] std::optional<RoomReport> takeReport(base::Millis now, const Run &run);

    /** @brief Lists the upstreams with a valid signal. @param now The current time. */
    [[nodiscard]] std::vector<Run> reportable(base::Millis now) const;

private:
    struct Record {
        std::uint64_t incarnation = 0;
        std::string service;
        std::int64_t slots = 0;
        std::int64_t running = 0;
        // The most requests in progress since the last report.
        std::int64_t peak = 0;
        std::optional<std::int64_t> brittle;
        // When the newest signal was received, here or by another entry.
        base::Millis receivedAt;
        std::int64_t share = 0;
        std::uint64_t revision = 0;
        base::Millis leaseUntil;
        std::int64_t room = 0;
        std::int64_t entries = 0;
        std::int64_t demand = 0;
        base::Millis demandedAt;
        base::Millis nextRequestAt;
        std::int64_t rejections = 0;
        std::int64_t reportedRejections = 0;
        base::Millis closure;
        base::Millis closedUntil;
        base::Millis rejectedAt;
        // The number of consecutive lists without the upstream.
        int unlisted = 0;
    };

    [[nodiscard]] const Record *find(const Run &run) const;
    [[nodiscard]] Record *recordOf(const Run &run);
    [[nodiscard]] bool isReportable(base::Millis now, const Record &record) const noexcept;
    [[nodiscard]] bool isBrittle(base::Millis now, const Record &record) const noexcept;
    [[nodiscard]] std::int64_t allowed(base::Millis now, const std::string &id, const Record &record) const;
    void begin(base::Millis now, Record &record) const noexcept;
    base::Millis close(base::Millis now, Record &record);
    void assume(Record &record) const;
    [[nodiscard]] bool reportDue(base::Millis now, const std::string &id, const Record &record) const;

    RoomTrackerOptions m_options;
    std::mt19937_64 m_random;
    // By upstream id; the latest known incarnation.
    std::unordered_map<std::string, Record> m_records;
    // False only if no record has a signal, so that a fleet without brittle upstreams is chosen from at no cost.
    bool m_anyBrittle = false;
};

} // namespace bamboomoor::standing
