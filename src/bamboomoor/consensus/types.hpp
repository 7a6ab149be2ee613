/**
 * The plain types of the replicated log that the core, its storage and the shell share.
 */
#pragma once

#include "bamboomoor/base/clock.hpp"
#include "bamboomoor/base/nametable.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace bamboomoor::consensus
{

/** @brief The identity of one member of the group; not empty, without line feeds, never used for a second disk. */
using VoterId = std::string;

// Parts an identity from the address at which its disk is served, in ids such as "4f1c@10.0.0.1:7600".
inline constexpr char ADDRESS_MARK = '@';

/**
 * @brief Reads the address out of a member's id.
 * @param id The id.
 * @return "IP:PORT", or an empty text when the id holds none.
 */
[[nodiscard]] inline std::string addressIn(const VoterId &id)
{
    const std::size_t mark = id.find(ADDRESS_MARK);
    return mark == VoterId::npos ? std::string() : id.substr(mark + 1);
}

/** @brief What an entry of the log means. */
enum class EntryKind { Noop, Command, Voters };

/** @brief The names of the kinds of entries. */
inline constexpr auto ENTRY_KIND_NAMES = base::makeNames<EntryKind>("noop", "command", "voters");

/** @brief One entry of the replicated log. */
struct Entry {
    // Counts up from 1 without gaps.
    std::uint64_t index = 0;
    std::uint64_t term = 0;
    EntryKind kind = EntryKind::Noop;
    // A Command's payload is opaque; that of Voters is an encoded Membership.
    std::string payload;

    friend bool operator==(const Entry &, const Entry &) = default;
};

/** @brief What a member must remember about elections across restarts. */
struct HardState {
    std::uint64_t term = 0;
    // Empty when no vote was given in the term.
    VoterId votedFor;
    // False for a disk that started empty and has not yet been a learner of a leader; such a member never votes.
    bool joined = false;

    friend bool operator==(const HardState &, const HardState &) = default;
};

/** @brief The voters and the learners of the group; each list is sorted, no id is in both. */
struct Membership {
    std::vector<VoterId> voters;
    std::vector<VoterId> learners;

    friend bool operator==(const Membership &, const Membership &) = default;
};

/** @brief The state machine's contents after the entry `index`, which replaces all entries up to it. */
struct Snapshot {
    std::uint64_t index = 0;
    std::uint64_t term = 0;
    std::vector<VoterId> voters;
    std::vector<VoterId> learners;
    std::string data;

    friend bool operator==(const Snapshot &, const Snapshot &) = default;
};

/** @brief The settings of one member. */
struct Options {
    VoterId self;
    // The shortest election timeout in milliseconds; each draw lies between it and its double.
    base::Millis electionTimeout{600};
    // Milliseconds between two heartbeats; well below the election timeout.
    base::Millis heartbeat{100};
    std::uint64_t seed = 0;
    // Payload bytes of one message; a larger single entry travels alone.
    std::size_t maxBatchBytes = 256UL * 1024;
    // Payload bytes of proposals that are not yet committed; more are refused.
    std::size_t maxPendingBytes = 16UL * 1024 * 1024;
    // Entries sent to one peer ahead of its acknowledgement.
    std::uint64_t maxInflightEntries = 4096;
    // Entries kept in memory behind a snapshot for members that lag a little.
    std::uint64_t keptEntries = 1024;
    // The members of a new group, the same on each of them.
    std::vector<VoterId> initialVoters;
    // Whether a member with an empty disk that is an initial voter may start the group.
    bool bootstrap = false;
};

/** @brief What the member's storage held at its start. */
struct Recovered {
    // True when the storage was empty.
    bool fresh = true;
    HardState hardState;
    // Index 0 when there is none.
    Snapshot snapshot;
    // Contiguous, and starting right behind the snapshot.
    std::vector<Entry> entries;
};

/**
 * @brief Encodes a membership as the payload of a Voters entry.
 * @param membership The membership; its ids hold no line feeds.
 * @return One line for each member.
 */
[[nodiscard]] std::string encodeMembership(const Membership &membership);

/**
 * @brief Decodes the payload of a Voters entry.
 * @param payload The result of encodeMembership().
 * @return The membership; lines of another form are left out.
 */
[[nodiscard]] Membership decodeMembership(const std::string &payload);

} // namespace bamboomoor::consensus
