/**
 * Registry of live upstreams that each daemon keeps, and the deltas by which registries replicate.
 *
 * The state of each upstream is a join semilattice (a CRDT): the greatest incarnation, within it the greatest sequence,
 * the latest lease expiry, and "leaving" once set. Merging is therefore idempotent and independent of order. A
 * withdrawal sets "leaving" for an incarnation and all earlier ones, also if none of them is known yet.
 */
#pragma once

#include "bamboomoor/base/clock.hpp"
#include "bamboomoor/base/nametable.hpp"
#include "bamboomoor/membership/announcement.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace bamboomoor::membership
{

/** @brief Outcome of an announcement. */
enum class AnnounceOutcome { Added, Renewed, Changed, Restarted, LeavingNoted, OlderIncarnation, Overtaken };

/** @brief Names of the outcomes, used as metric labels. */
inline constexpr auto ANNOUNCE_OUTCOME_NAMES = base::makeNames<AnnounceOutcome>(
    "added", "renewed", "changed", "restarted", "leaving_noted", "older_incarnation", "overtaken");

/** @brief A known upstream and its lease. */
struct Entry {
    Announcement announcement;
    // First 16 hexadecimal digits of the SHA-256 of the announcement, excluding sequence and load.
    std::string digest;
    // Lease expiry by this registry's clock; never later than the lease granted by the origin.
    base::Millis expiresAt;
    // Time at which the announcement's load was reported, by this registry's clock.
    base::Millis loadReportedAt;
};

/** @brief Complete state of an upstream in a delta. */
struct DeltaEntry {
    Announcement announcement;
    // Remaining lease in milliseconds when the delta was created; greater than 0.
    base::Millis remaining;
    // Milliseconds since the load was reported.
    base::Millis loadAge;
};

/** @brief A lease renewal of an upstream whose content the receiver already has. */
struct Renewal {
    std::string id;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    // Digest of the renewed content.
    std::string digest;
    Load load;
    // Remaining lease in milliseconds when the delta was created; greater than 0.
    base::Millis remaining;
    // Milliseconds since the load was reported.
    base::Millis loadAge;
};

/** @brief An upstream that is not live at the sender; the receiver keeps its own lease. */
struct Removal {
    std::string id;
    std::uint64_t incarnation = 0;
    // True if this incarnation and all earlier ones are leaving.
    bool leaving = false;
};

/** @brief A position in the change history of one registry. */
struct Position {
    // Identifies one run of the registry's process.
    std::uint64_t epoch = 0;
    // Number of changes seen in that run.
    std::uint64_t revision = 0;

    friend bool operator==(const Position &, const Position &) = default;
};

/** @brief The changes of a registry since a position. */
struct Delta {
    std::vector<DeltaEntry> entries;
    std::vector<Renewal> renewals;
    std::vector<Removal> removed;
    // Position from which to request the next delta.
    Position position;
    // Paths of the elements that parseDelta() left out because it could not read them; not encoded.
    std::vector<std::string> unreadable;
};

/** @brief Result of a merge. */
struct MergeResult {
    std::size_t changed = 0;
    // True if a renewal refers to unknown content; request a full delta from Position{}.
    bool incomplete = false;
};

/** @brief Settings of a registry. */
struct RegistryOptions {
    // Lease duration in milliseconds from the receipt of an announcement.
    base::Millis lease{3'000};
    // Milliseconds for which the incarnations of expired upstreams, and withdrawals, are retained.
    base::Millis retention{60'000};
    // Unique for each start of the process.
    std::uint64_t epoch = 1;
};

/** @brief The upstreams known to one daemon. */
class Registry
{
public:
    /**
     * @brief Constructs an empty registry.
     * @param options Settings.
     */
    explicit Registry(RegistryOptions options = {}) noexcept;

    /**
     * @brief Records an announcement received directly from the upstream.
     * @param now Time of receipt.
     * @param announcement The announcement.
     * @return The outcome; OlderIncarnation and Overtaken change nothing.
     */
    AnnounceOutcome announce(base::Millis now, Announcement announcement);

    /**
     * @brief Marks an upstream as leaving that has withdrawn itself, without a lease for it. Announcements that arrive
     * later, of this incarnation or earlier ones, are marked as well.
     * @param now Time of the withdrawal.
     * @param id The upstream's id.
     * @param incarnation The incarnation that has withdrawn.
     */
    void withdraw(base::Millis now, const std::string &id, std::uint64_t incarnation);

    /**
     * @brief Expires the upstreams whose lease has ended.
     * @param now Current time.
     * @return Ids of the newly expired upstreams.
     */
    std::vector<std::string> expire(base::Millis now);

    /**
     * @brief Finds a live upstream.
     * @param now Current time.
     * @param id The upstream's id.
     * @return The entry, valid until the next change; null if unknown or expired.
     */
    [[nodiscard]] const Entry *find(base::Millis now, std::string_view id) const;

    /**
     * @brief Finds an upstream whose lease may have ended.
     * @param id The upstream's id.
     * @return The entry, valid until the next change; null if it is unknown or its lease ended longer than the
     * retention ago.
     */
    [[nodiscard]] const Entry *findRetained(std::string_view id) const;

    /**
     * @brief Lists the live upstreams, including leaving ones, without those that were replaced.
     * @param now Current time.
     * @return Entries by ascending id, valid until the next change.
     */
    [[nodiscard]] std::vector<const Entry *> list(base::Millis now) const;

    /**
     * @brief Lists the upstreams whose address a live later process has announced, also those whose lease has ended.
     * @param now Current time.
     * @return Entries by ascending id, valid until the next change.
     */
    [[nodiscard]] std::vector<const Entry *> replaced(base::Millis now) const;

    /**
     * @brief Lists the upstreams that accept new work.
     * @param now Current time.
     * @return Live entries that are not leaving, by ascending id, valid until the next change.
     */
    [[nodiscard]] std::vector<const Entry *> usable(base::Millis now) const;

    /**
     * @brief Collects the changes after a position.
     * @param now Current time, from which remaining leases are computed.
     * @param since Position of an earlier delta of this registry; with another epoch everything is returned.
     * @param most The most upstreams in the delta, the longest unchanged first; 0 for all.
     * @return The changes and the new position.
     */
    [[nodiscard]] Delta changesSince(base::Millis now, Position since, std::size_t most = 0) const;

    /**
     * @brief Merges the changes of another registry.
     * @param asOf A time not later than the creation of the delta: when the request was sent.
     * @param delta The changes.
     * @return Number of upstreams changed here, and whether the delta was incomplete.
     */
    MergeResult merge(base::Millis asOf, const Delta &delta);

    /**
     * @brief Returns the current position.
     * @return The epoch and the number of changes so far.
     */
    [[nodiscard]] Position position() const noexcept;

private:
    struct Record {
        Entry entry;
        // Revision of the last change; at most m_revision.
        std::uint64_t revision = 0;
        // Revision of the last change other than sequence, load and lease; at most revision.
        std::uint64_t contentRevision = 0;
        // Set by expire(), cleared by the next lease.
        bool expired = false;
    };

    struct Withdrawal {
        std::uint64_t incarnation = 0;
        base::Millis at;
        // Revision of the last change; at most m_revision.
        std::uint64_t revision = 0;
    };

    // The latest incarnation at each address of a live upstream.
    using LatestRuns = std::unordered_map<std::string_view, std::uint64_t>;

    // Returns the revision up to which at most that many upstreams changed after another revision.
    [[nodiscard]] std::uint64_t revisionOfPage(std::uint64_t after, std::size_t most) const;
    [[nodiscard]] bool isLive(base::Millis now, const Record &record) const noexcept;
    [[nodiscard]] bool isReplaced(const Record &record, const LatestRuns &latest) const;
    [[nodiscard]] LatestRuns latestRuns(base::Millis now) const;
    void setContent(Record &record, Announcement announcement);
    void touch(Record &record) noexcept;
    bool markLeaving(Record &record);
    [[nodiscard]] bool isWithdrawn(const Announcement &announcement) const;
    bool extend(Record &record, base::Millis until) noexcept;
    bool mergeEntry(Announcement announcement, base::Millis until, base::Millis loadAt);
    bool mergeRenewal(const Renewal &renewal, base::Millis asOf, bool &incomplete);
    bool mergeRemoval(const Removal &removal, base::Millis asOf);

    RegistryOptions m_options;
    // Live and recently expired upstreams by id.
    std::map<std::string, Record, std::less<>> m_records;
    // The greatest withdrawn incarnations by id; a record of one of them is leaving.
    std::map<std::string, Withdrawal, std::less<>> m_withdrawals;
    std::uint64_t m_revision = 0;
};

} // namespace bamboomoor::membership
