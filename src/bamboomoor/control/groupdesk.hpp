/**
 * The thread that keeps this daemon's place in a control group that finds itself: while its disk has no place it asks
 * for one, and while this voter leads it carries out the plan of the membership.
 */
#pragma once

#include "bamboomoor/base/clock.hpp"
#include "bamboomoor/base/ring.hpp"
#include "bamboomoor/consensus/groupplan.hpp"
#include "bamboomoor/control/peerbook.hpp"
#include "bamboomoor/control/voterdesk.hpp"
#include "bamboomoor/peer/server.hpp"

#include <atomic>
#include <functional>
#include <string>
#include <thread>
#include <variant>
#include <vector>

namespace bamboomoor::control
{

/** @brief The settings of the thread. */
struct GroupDeskOptions {
    // This daemon's identity.
    std::string self;
    // Members that may be asked when the voters known are all gone; their names hold their addresses.
    std::vector<std::string> seeds;
    consensus::GroupOptions plan;
    // Between two looks at the group.
    base::Millis interval{150};
    // The longest wait for an answer.
    base::Millis timeout{500};
};

/** @brief Keeps the membership. */
class GroupDesk
{
public:
    /**
     * @brief Makes a desk that does not run yet.
     * @param options The settings.
     * @param voter This daemon's voter; outlives the desk.
     * @param peers Learns the voters; outlives the desk.
     * @param clock The time; outlives the desk.
     */
    GroupDesk(GroupDeskOptions options, VoterDesk &voter, PeerBook &peers, const base::Clock &clock);
    ~GroupDesk();
    GroupDesk(const GroupDesk &) = delete;
    GroupDesk &operator=(const GroupDesk &) = delete;

    /** @brief Starts the thread. */
    void start();

    /** @brief Ends the thread. */
    void stop();

    /**
     * @brief Takes a disk's question for a place.
     * @param request The disk.
     * @param answer Takes who leads and who votes.
     */
    void join(const peer::wire::JoinRequest &request, const peer::Answer<peer::wire::JoinReply> &answer);

    /** @brief Replaces the seeds. @param seeds Names that hold addresses. */
    void setSeeds(std::vector<std::string> seeds);

    /**
     * @brief Tells who leads, as this daemon knows it.
     * @return The leader that its voter follows, else the one that a member named; empty when nobody is known.
     */
    [[nodiscard]] std::string leader() const;

private:
    struct Asked {
        std::string id;
    };
    struct Told {
        peer::wire::JoinReply reply;
    };
    struct NewSeeds {
        std::vector<std::string> seeds;
    };
    struct ChangeDone {
        consensus::GroupChange change;
        consensus::ProposalStatus status = consensus::ProposalStatus::Rejected;
        consensus::RejectReason reason = consensus::RejectReason::None;
    };
    using Event = std::variant<Asked, Told, NewSeeds, ChangeDone>;

    void run();
    void on(Asked &event);
    void on(Told &event);
    void on(NewSeeds &event);
    void on(ChangeDone &event);
    void review();
    void askForPlace(const VoterStatus &status);
    void changeGroup(const VoterStatus &status);

    GroupDeskOptions m_options;
    VoterDesk &m_voter;
    PeerBook &m_peers;
    const base::Clock &m_clock;
    base::Ring<Event> m_ring;
    std::thread m_thread;
    std::atomic<bool> m_stopping{false};
    // Used by the thread only.
    consensus::GroupPlan m_plan;
    bool m_changing = false;
    std::vector<std::string> m_voters;

    mutable absl::Mutex m_mutex;
    // Named by a member while this voter follows nobody.
    std::string m_namedLeader ABSL_GUARDED_BY(m_mutex);
};

} // namespace bamboomoor::control
