/**
 * Plain types of the replicated log, shared by the node, its storage and its transport.
 */
#pragma once

#include "bamboomoor/base/clock.hpp"
#include "bamboomoor/base/nametable.hpp"
#include "bamboomoor/base/sharedbytes.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace bamboomoor::consensus
{

/** @brief Identity of one member of the group; not empty, without line feeds, never reused for another disk. */
using VoterId = std::string;

// Maximum bytes of one proposal, and of all proposals that are not committed yet; larger ones never enter the log.
inline constexpr std::size_t MAX_PROPOSAL_BYTES = 8UL * 1024 * 1024;

// Separates the unique part of an id from the address of its disk, as in "4f1c@10.0.0.1:7600".
inline constexpr char ADDRESS_MARK = '@';

/**
 * @brief Extracts the address from a member's id.
 * @param id The id.
 * @return "IP:PORT", or an empty string if the id has no address.
 */
[[nodiscard]] inline std::string addressIn(const VoterId &id)
{
    const std::size_t mark = id.find(ADDRESS_MARK);
    return mark == VoterId::npos ? std::string() : id.substr(mark + 1);
}

/** @brief Kind of a log entry. */
enum class EntryKind { Noop, Command, Voters };

/** @brief Names of the entry kinds. */
inline constexpr auto ENTRY_KIND_NAMES = base::makeNames<EntryKind>("noop", "command", "voters");

/** @brief One entry of the replicated log. */
struct Entry {
    // Consecutive, starting at 1.
    std::uint64_t index = 0;
    std::uint64_t term = 0;
    EntryKind kind = EntryKind::Noop;
    // Opaque for a Command; an encoded Membership for Voters.
    base::SharedBytes payload;

    friend bool operator==(const Entry &, const Entry &) = default;
};

/**
 * @brief Computes the memory that an entry occupies.
 * @param entry The entry.
 * @return Size in bytes, with its payload.
 */
[[nodiscard]] inline std::size_t footprint(const Entry &entry) noexcept
{
    return sizeof(Entry) + entry.payload.size();
}

/** @brief Election state that must survive restarts. */
struct HardState {
    std::uint64_t term = 0;
    // Empty if no vote was granted in the term.
    VoterId votedFor;
    // False for a disk that started empty and has not yet been a learner of a current leader; such a node never votes.
    bool joined = false;

    friend bool operator==(const HardState &, const HardState &) = default;
};

/** @brief Voters and learners of the group. Both lists are sorted and disjoint. */
struct Membership {
    std::vector<VoterId> voters;
    std::vector<VoterId> learners;

    friend bool operator==(const Membership &, const Membership &) = default;
};

/** @brief Contents of the state machine after entry `index`; replaces all entries up to it. */
struct Snapshot {
    std::uint64_t index = 0;
    std::uint64_t term = 0;
    std::vector<VoterId> voters;
    std::vector<VoterId> learners;
    base::SharedBytes data;

    friend bool operator==(const Snapshot &, const Snapshot &) = default;
};

/** @brief Settings of one node. */
struct Options {
    VoterId self;
    // Minimum election timeout in milliseconds; each randomized timeout lies between it and its double.
    base::Millis electionTimeout{600};
    // Heartbeat interval in milliseconds; well below the election timeout.
    base::Millis heartbeat{100};
    std::uint64_t seed = 0;
    // Maximum payload bytes of one message; a larger entry is sent on its own.
    std::size_t maxBatchBytes = 256UL * 1024;
    // Maximum payload bytes of uncommitted proposals; further ones are rejected.
    std::size_t maxPendingBytes = MAX_PROPOSAL_BYTES;
    // Maximum entries, and bytes of entries, sent to one peer ahead of its acknowledgement; one entry is always sent.
    std::uint64_t maxInflightEntries = 4096;
    std::size_t maxInflightBytes = 4UL * 1024 * 1024;
    // Maximum entries, and bytes of entries, kept in memory below a snapshot, so that slightly lagging members need no
    // snapshot.
    std::uint64_t keptEntries = 1024;
    std::size_t keptBytes = 4UL * 1024 * 1024;
    // A leader whose log in memory is larger, in bytes, rejects proposals until a snapshot has replaced entries.
    std::size_t maxLogBytes = 32UL * 1024 * 1024;
    // Members of a new group; the same on all of them.
    std::vector<VoterId> initialVoters;
    // Whether an initial voter with an empty disk may bootstrap the group.
    bool bootstrap = false;
};

/** @brief State recovered from the storage at start-up. */
struct RecoveredState {
    // True if the storage was empty.
    bool fresh = true;
    HardState hardState;
    // Index 0 if there is none.
    Snapshot snapshot;
    // Contiguous, starting directly after the snapshot.
    std::vector<Entry> entries;
};

/**
 * @brief Encodes a membership as the payload of a Voters entry.
 * @param membership The membership; its ids contain no line feeds.
 * @return One line per member.
 */
[[nodiscard]] std::string encodeMembership(const Membership &membership);

/**
 * @brief Decodes the payload of a Voters entry.
 * @param payload Result of encodeMembership().
 * @return The membership; malformed lines are ignored.
 */
[[nodiscard]] Membership decodeMembership(const std::string &payload);

} // namespace bamboomoor::consensus
