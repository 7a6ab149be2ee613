/**
 * The state of upstreams as they signalled it themselves, and whether a request may be sent to one of them now.
 *
 * It protects overloaded upstreams that accept fewer requests per second than the entries would send. As no entry sees
 * the requests of the others, a limit for all entries together is enforced by permits of the leader, one for each
 * request. Without a permit an entry does not send to a limited upstream, even if it cannot reach the leader. An
 * upstream that closed itself to this entry gets no requests from it until the closure ends, and one that is shutting
 * down gets none any more.
 *
 * Signals are merged by the time at which they were received, here or by another entry, so that neither order nor
 * repetition matters. A signal belongs to one incarnation of the upstream's process; a later one starts without state.
 */
#pragma once

#include "bamboomoor/base/clock.hpp"
#include "bamboomoor/base/nametable.hpp"
#include "bamboomoor/standing/roomtracker.hpp"
#include "bamboomoor/standing/upstreamsignal.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace bamboomoor::standing
{

/** @brief The settings of UpstreamTracker. */
struct UpstreamTrackerOptions {
    // A limit expires if no response has signalled it for this time.
    base::Millis limitLife{30'000};
    // A permit is valid for this time, counted from when it was requested.
    base::Millis permitLife{1'000};
    // Demand for permits expires after this time unless it is renewed.
    base::Millis demandLife{300};
    // The least interval between two permit requests for one upstream, and the longest wait for a reply.
    base::Millis requestInterval{100};
    base::Millis requestTimeout{1'000};
    // The most permits requested for one upstream at once.
    std::int64_t maxRequestedPermits = 8;
    // The upper bound of a closure; longer ones are shortened to it.
    base::Millis maxClosure{600'000};
    RoomTrackerOptions rooms;
};

/** @brief Whether a request may be sent to an upstream now, or why not. */
enum class Access { Open, NoPermit, NoRoom, Closed, Leaving };

/** @brief A change that the signals of a response caused. */
enum class Change { LimitSignalled, LimitEnded, Leaving, Closed, Malformed, Brittle, BrittleEnded, Rejected };

/** @brief The names of Change in logs. */
inline constexpr auto CHANGE_NAMES = base::makeNames<Change>(
    "limit_named", "limit_ended", "leaving", "closed", "unreadable", "brittle", "brittle_ended", "closed_by_rejection");

/** @brief A report of an entry to the leader on one upstream. */
struct Report {
    Run run;
    // In thousandths of requests per second; unset if the upstream no longer signals a limit.
    std::optional<std::int64_t> limit;
    base::Millis limitReceivedAt;
    // The number of requested permits.
    std::int64_t requestedPermits = 0;
    bool leaving = false;
    std::optional<RoomReport> room = std::nullopt;
};

/** @brief A report of the leader to an entry on one upstream. */
struct LeaderReport {
    Run run;
    std::optional<std::int64_t> limit;
    base::Millis limitReceivedAt;
    // Permits granted to this entry; valid for permitLife from requestedAt.
    std::int64_t permits = 0;
    base::Millis requestedAt;
    // The expected time until the next permit for this entry; 0 if it requested none.
    base::Millis nextPermitIn;
    bool leaving = false;
    std::optional<RoomGrant> room = std::nullopt;
};

/** @brief Tracks the signalled state of all upstreams for one entry. Not thread-safe. */
class UpstreamTracker
{
public:
    /** @brief Creates a tracker without signalled state. @param options The settings. */
    explicit UpstreamTracker(UpstreamTrackerOptions options = {}) noexcept
        : m_options(options)
        , m_rooms(options.rooms)
    {
    }

    /**
     * @brief Applies the signals of a response.
     * @param now The current time.
     * @param run The responding upstream; an earlier incarnation than the known one is ignored.
     * @param signal The signals.
     * @param sentAt When the request was sent; a response without a limit ends the known limit only if the request was
     * sent after the limit was last received.
     * @param ran False if the upstream rejected the request; such a response does not end a limit.
     * @return The resulting changes.
     */
    std::vector<Change> onSignal(
        base::Millis now, const Run &run, const UpstreamSignal &signal, base::Millis sentAt, bool ran);

    /** @brief Applies a report of the leader. @param now The current time. @param report The report. */
    void onLeaderReport(base::Millis now, const LeaderReport &report);

    /**
     * @brief Updates which upstreams are listed; the state of one that is unlisted for long is discarded.
     * @param runs The complete list.
     */
    void setListed(const std::vector<ListedRun> &runs);

    /** @brief Tells whether a request may be sent to an upstream. @param now The current time. @param run The upstream.
     * @return Open if it may, else the reason. */
    [[nodiscard]] Access access(base::Millis now, const Run &run) const;

    /**
     * @brief Estimates when a request may be sent to an upstream.
     * @param now The current time.
     * @param run The upstream.
     * @param ahead The number of requests that wait for a permit before it.
     * @return The time until then; 0 if it needs no permit or has one, base::NEVER if the upstream is shutting down.
     * When a brittle upstream has room again is not known.
     */
    [[nodiscard]] base::Millis opensIn(base::Millis now, const Run &run, std::int64_t ahead) const;

    /**
     * @brief Records that a request is sent, and consumes a permit if one is needed.
     * @param now The current time.
     * @param run The upstream.
     * @return True if a permit was consumed.
     */
    bool sent(base::Millis now, const Run &run);

    /** @brief Records the end of a request. @param run The upstream. */
    void ended(const Run &run);

    /**
     * @brief Registers demand for permits or room; ignored for an upstream without signalled state.
     * @param now The current time.
     * @param run The upstream.
     * @param count The number of waiting requests.
     */
    void addPermitDemand(base::Millis now, const Run &run, std::int64_t count);

    /** @brief Tells whether permits or room should be requested from the leader now. @param now The current time. */
    [[nodiscard]] bool permitRequestDue(base::Millis now) const;

    /** @brief Takes the reports that are due to the leader, and marks their permits as requested. @param now The
     * current time. @return One report for each upstream with valid signalled state. */
    [[nodiscard]] std::vector<Report> takeReports(base::Millis now);

private:
    struct Record {
        std::uint64_t incarnation = 0;
        std::optional<std::int64_t> limit;
        // When the newest signal about the limit was received, here or by another entry.
        base::Millis limitReceivedAt;
        bool leaving = false;
        base::Millis closedUntil;
        // Until then requests need permits, whether or not the upstream signals a limit.
        base::Millis coldUntil;
        // When each permit expires, in ascending order.
        std::deque<base::Millis> permits;
        std::int64_t demandedPermits = 0;
        base::Millis demandedAt;
        // No permit is requested before this time.
        base::Millis nextRequestAt;
        // When the leader expects to grant the next permit, and the expected interval between further ones.
        base::Millis nextPermitAt;
        base::Millis interval;
        // The number of consecutive lists without the upstream.
        int unlisted = 0;
    };

    [[nodiscard]] std::optional<Change> mergeLimit(
        base::Millis now, Record &record, const UpstreamSignal &signal, base::Millis sentAt, bool ran);
    [[nodiscard]] const Record *find(const Run &run) const;
    [[nodiscard]] Record *recordOf(const Run &run);
    [[nodiscard]] bool isLimited(base::Millis now, const Record &record) const noexcept;
    [[nodiscard]] static std::int64_t validPermits(base::Millis now, const Record &record) noexcept;
    [[nodiscard]] bool permitRequestDue(base::Millis now, const Record &record) const noexcept;

    UpstreamTrackerOptions m_options;
    // By upstream id; the latest incarnation with signalled state.
    std::unordered_map<std::string, Record> m_records;
    RoomTracker m_rooms;
};

} // namespace bamboomoor::standing
