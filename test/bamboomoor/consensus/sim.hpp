/**
 * A simulated group: a network that drops, delays, duplicates and reorders messages, disks that lose unsynced data,
 * drifting clocks, and an oracle that checks every step.
 */
#pragma once

#include "bamboomoor/consensus/groupplanner.hpp"
#include "bamboomoor/consensus/node.hpp"

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace sim
{

using namespace bamboomoor;

enum class FaultKind {
    Crash,
    CutOneWay,
    CutPair,
    Isolate,
    Loss,
    SlowDisk,
    Wipe,
    Compact,
    AddSpare,
    Promote,
    Remove,
    Transfer,
    // Only with planned membership: a member restarts with an empty disk, a VM is replaced by another one, and a
    // replaced VM returns.
    LoseDisk,
    Replace,
    Return,
};
// Number of kinds that apply to a group without planned membership.
inline constexpr int FAULT_KINDS = 12;

struct Fault {
    std::int64_t at = 0;
    FaultKind kind = FaultKind::Crash;
    std::size_t a = 0;
    std::size_t b = 0;
    std::int64_t lasts = 0;
};

struct Scenario {
    std::size_t voters = 3;
    // The leader follows its membership plan, and disks that are not members ask to join.
    bool planned = false;
    std::uint64_t seed = 0;
    std::vector<Fault> faults;
    // Duration of every sync; 0 for fast disks that SlowDisk slows down.
    std::int64_t syncMs = 0;
};

/** @brief Synced contents of a member's disk. */
struct Disk {
    bool fresh = true;
    consensus::HardState hardState;
    consensus::Snapshot snapshot;
    std::vector<consensus::Entry> entries;

    void apply(const consensus::Persist &persist);
};

/** @brief The state machine: a chained hash over all applied entries. */
struct Machine {
    std::uint64_t applied = 0;
    std::uint64_t hash = 0;
};

struct Member {
    consensus::VoterId id;
    bool bootstrap = false;
    bool wiped = false;
    // The disk returns only after the group has replaced it, if at all.
    bool gone = false;
    std::unique_ptr<consensus::Node> node;
    consensus::GroupPlanner plan{{}};
    Disk disk;
    // Keyed by the time at which the sync completes.
    std::multimap<std::int64_t, consensus::Persist> syncing;
    std::int64_t lastSync = 0;
    Machine machine;
    std::int64_t downUntil = -1;
    std::int64_t slowUntil = -1;
    std::int64_t clockOffset = 0;
    std::int64_t clockPerMille = 1000;
    std::uint64_t starts = 0;
};

class Group
{
public:
    explicit Group(const Scenario &scenario);

    /** @brief Runs the scenario, heals all faults and expects progress; returns the failure, or an empty string. */
    [[nodiscard]] std::string run();

    [[nodiscard]] std::uint64_t committed() const
    {
        return m_hashes.empty() ? 0 : m_hashes.rbegin()->first;
    }

    std::size_t confirmedReads = 0;
    std::size_t installed = 0;
    std::size_t terms = 0;
    // Number of lost disks.
    std::size_t lost = 0;

private:
    struct Read {
        std::uint64_t floor = 0;
    };

    void advance();
    void start(Member &member);
    void begin(const Fault &fault);
    void lose(Member &member, const Fault &fault);
    void returnMember(std::int64_t at);
    void planMembership();
    void requestJoin(const Member &member);
    // Whether any running member knows it as a voter or learner.
    [[nodiscard]] bool isMember(const Member &member) const;
    [[nodiscard]] std::size_t missingMembers() const;
    [[nodiscard]] bool isCut(const Member &from, const Member &to) const;
    Member &add(const std::string &id);
    void workload();
    void feed(Member &member, consensus::Input input);
    void absorb(Member &member, consensus::Outputs &&outputs);
    void applyEntries(Member &member, const std::vector<consensus::Entry> &entries);
    void checkResults(const consensus::Outputs &outputs);
    void checkLeader(const Member &member);
    void post(consensus::Message &&message);
    void compact(Member &member);
    void fail(const std::string &text);
    [[nodiscard]] base::Millis localTime(const Member &member) const;
    [[nodiscard]] Member *anyLeader();
    [[nodiscard]] bool settled();
    [[nodiscard]] std::int64_t draw(std::int64_t low, std::int64_t high);

    Scenario m_scenario;
    std::mt19937_64 m_random;
    std::int64_t m_now = 0;
    std::int64_t m_lossUntil = -1;
    std::vector<std::unique_ptr<Member>> m_members;
    std::vector<consensus::VoterId> m_founders;
    std::multimap<std::int64_t, consensus::Message> m_wire;
    std::map<std::pair<std::string, std::string>, std::int64_t> m_cuts;
    std::uint64_t m_nextRequest = 0;
    // Oracle: hash after each committed index, payloads by index, rejected payloads, leaders by term.
    std::map<std::uint64_t, std::uint64_t> m_hashes;
    std::map<std::uint64_t, std::string> m_payloads;
    std::set<std::string> m_seen;
    std::set<std::string> m_refused;
    std::map<std::uint64_t, std::string> m_leaders;
    std::map<std::uint64_t, Read> m_reads;
    std::string m_failure;
};

} // namespace sim
