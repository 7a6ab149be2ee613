/**
 * The registry of live upstreams that each daemon keeps, and the deltas by which registries tell each other.
 *
 * For each upstream the state is a join: the greatest incarnation, in it the greatest sequence, the latest lease end
 * and "leaving" once seen. Merging is therefore idempotent and independent of order.
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
#include <vector>

namespace bamboomoor::membership
{

/** @brief What became of an announcement. */
enum class Verdict { Added, Renewed, Changed, Restarted, LeavingNoted, OlderIncarnation, Overtaken };

/** @brief Names of the verdicts, for counters. */
inline constexpr auto VERDICT_NAMES = base::makeNames<Verdict>(
    "added", "renewed", "changed", "restarted", "leaving_noted", "older_incarnation", "overtaken");

/** @brief A known upstream with the end of its lease. */
struct Entry {
    Announcement announcement;
    // First 16 hexadecimal digits of the SHA-256 of the announcement without sequence and load.
    std::string digest;
    // By this registry's clock; never later than the origin's grant.
    base::Millis expiresAt;
    // When the load that the announcement holds became known here.
    base::Millis loadAt;
};

/** @brief A whole upstream, as spread. */
struct SpreadEntry {
    Announcement announcement;
    // Milliseconds of lease left when the delta was made; greater than 0.
    base::Millis remaining;
    // Milliseconds since the load was reported.
    base::Millis loadAge;
};

/** @brief A renewal of an upstream whose content the receiver has. */
struct Renewal {
    std::string id;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    // Digest of the content that is renewed.
    std::string digest;
    Load load;
    // Milliseconds of lease left when the delta was made; greater than 0.
    base::Millis remaining;
    // Milliseconds since the load was reported.
    base::Millis loadAge;
};

/** @brief An upstream whose lease has ended at the sender; a receiver keeps its own lease. */
struct Removal {
    std::string id;
    std::uint64_t incarnation = 0;
    bool leaving = false;
};

/** @brief A place in the changes of one registry. */
struct Position {
    // Identifies one run of the registry's process.
    std::uint64_t epoch = 0;
    // Number of changes seen in that run.
    std::uint64_t revision = 0;

    friend bool operator==(const Position &, const Position &) = default;
};

/** @brief The changes of a registry since a position. */
struct Delta {
    std::vector<SpreadEntry> entries;
    std::vector<Renewal> renewals;
    std::vector<Removal> removed;
    // Where the next question starts.
    Position position;
};

/** @brief What a merge did. */
struct MergeResult {
    std::size_t changed = 0;
    // True when a renewal named content that is not known here; ask again from Position{}.
    bool incomplete = false;
};

/** @brief Settings of a registry. */
struct RegistryOptions {
    // Milliseconds from the receipt of an announcement.
    base::Millis lease{3'000};
    // Milliseconds for which incarnations of expired upstreams are remembered.
    base::Millis retention{60'000};
    // Different for each start of the process.
    std::uint64_t epoch = 1;
};

/** @brief The upstreams known to one daemon. */
class Registry
{
public:
    /**
     * @brief Makes an empty registry.
     * @param options Its settings.
     */
    explicit Registry(RegistryOptions options = {}) noexcept;

    /**
     * @brief Takes an announcement that came from the upstream itself.
     * @param now The time of receipt.
     * @param announcement The announcement.
     * @return What became of it; OlderIncarnation and Overtaken change nothing.
     */
    Verdict announce(base::Millis now, Announcement announcement);

    /**
     * @brief Drops the upstreams whose lease has ended.
     * @param now The present time.
     * @return The ids that were dropped.
     */
    std::vector<std::string> expire(base::Millis now);

    /**
     * @brief Finds a live upstream.
     * @param now The present time.
     * @param id The upstream's id.
     * @return The entry, valid until the next change, or null.
     */
    [[nodiscard]] const Entry *find(base::Millis now, std::string_view id) const;

    /**
     * @brief Lists the live upstreams, leaving ones included.
     * @param now The present time.
     * @return Entries by ascending id, valid until the next change.
     */
    [[nodiscard]] std::vector<const Entry *> list(base::Millis now) const;

    /**
     * @brief Lists the upstreams that may get new work.
     * @param now The present time.
     * @return Live entries that are not leaving, by ascending id, valid until the next change.
     */
    [[nodiscard]] std::vector<const Entry *> usable(base::Millis now) const;

    /**
     * @brief Collects what changed after a position.
     * @param now The present time, from which remaining leases are counted.
     * @param since A position of an earlier delta of this registry; another epoch means everything.
     * @return The changes and the new position.
     */
    [[nodiscard]] Delta changesSince(base::Millis now, Position since) const;

    /**
     * @brief Joins the changes of another registry.
     * @param asOf A time not later than the making of the delta: when the question was sent.
     * @param delta The changes.
     * @return What changed here.
     */
    MergeResult merge(base::Millis asOf, const Delta &delta);

    /**
     * @brief Tells the present position.
     * @return The epoch and the number of changes so far.
     */
    [[nodiscard]] Position position() const noexcept;

private:
    struct Record {
        Entry entry;
        // Revision of the last change of any kind; not above m_revision.
        std::uint64_t revision = 0;
        // Revision of the last change besides sequence, load and lease; not above revision.
        std::uint64_t contentRevision = 0;
        // True from expire() until the next lease.
        bool expired = false;
    };

    [[nodiscard]] bool isLive(base::Millis now, const Record &record) const noexcept;
    void setContent(Record &record, Announcement announcement);
    void touch(Record &record) noexcept;
    bool noteLeaving(Record &record);
    bool extend(Record &record, base::Millis until) noexcept;
    bool join(Announcement announcement, base::Millis until, base::Millis loadAt);
    bool joinRenewal(const Renewal &renewal, base::Millis asOf, bool &incomplete);
    bool joinRemoval(const Removal &removal);

    RegistryOptions m_options;
    // Live and recently expired upstreams by id.
    std::map<std::string, Record, std::less<>> m_records;
    std::uint64_t m_revision = 0;
};

} // namespace bamboomoor::membership
