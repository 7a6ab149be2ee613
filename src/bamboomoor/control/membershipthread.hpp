/**
 * Provides the thread that maintains the membership of a self-forming control group. While this daemon's member ID is
 * neither a voter nor a learner, the thread sends join requests to the known members; while this voter is the leader,
 * it applies the membership changes that `consensus::GroupPlanner` selects, one at a time.
 */
#pragma once

#include "bamboomoor/base/clock.hpp"
#include "bamboomoor/base/ring.hpp"
#include "bamboomoor/consensus/groupplanner.hpp"
#include "bamboomoor/control/peerregistry.hpp"
#include "bamboomoor/control/voterthread.hpp"
#include "bamboomoor/peer/server.hpp"

#include <atomic>
#include <functional>
#include <string>
#include <thread>
#include <variant>
#include <vector>

namespace bamboomoor::control
{

/** @brief Settings of the membership thread. */
struct MembershipThreadOptions {
    // Member ID of this daemon.
    std::string self;
    // Members to contact if none of the known voters is reachable; each name contains the address.
    std::vector<std::string> seeds;
    consensus::GroupOptions plan;
    // Time between two checks of the membership.
    base::Millis interval{150};
    // Timeout of a join request.
    base::Millis timeout{500};
    // How long a leader counts as known after a member named it.
    base::Millis namedLeaderAge{1'000};
};

/** @brief Joins the control group and, on the leader, maintains its membership. */
class MembershipThread
{
public:
    /**
     * @brief Creates the object without starting its thread.
     * @param options The settings.
     * @param voter This daemon's voter; must outlive this object.
     * @param peers Receives the current list of voters; must outlive this object.
     * @param clock The source of time; must outlive this object.
     */
    MembershipThread(
        MembershipThreadOptions options, VoterThread &voter, PeerRegistry &peers, const base::Clock &clock);
    ~MembershipThread();
    MembershipThread(const MembershipThread &) = delete;
    MembershipThread &operator=(const MembershipThread &) = delete;

    /** @brief Starts the thread. */
    void start();

    /** @brief Stops and joins the thread. */
    void stop();

    /**
     * @brief Handles a join request; only the leader queues it.
     * @param request The member that wants to join.
     * @param answer Called with the current leader and voters, and whether the request was queued.
     */
    void join(const peer::wire::JoinRequest &request, const peer::Answer<peer::wire::JoinReply> &answer);

    /** @brief Replaces the seeds. @param seeds Member names that contain addresses. */
    void setSeeds(std::vector<std::string> seeds);

    /**
     * @brief Returns the leader as known to this daemon.
     * @return The leader that the local voter follows, otherwise one that a member following it named just now; empty
     * if unknown.
     */
    [[nodiscard]] std::string leader() const;

private:
    struct JoinRequested {
        std::string id;
    };
    struct JoinReplied {
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
    using Event = std::variant<JoinRequested, JoinReplied, NewSeeds, ChangeDone>;

    void run();
    void on(JoinRequested &event);
    void on(JoinReplied &event);
    void on(NewSeeds &event);
    void on(ChangeDone &event);
    void review();
    void sendJoinRequests(const VoterStatus &status);
    void changeGroup(const VoterStatus &status);

    MembershipThreadOptions m_options;
    VoterThread &m_voter;
    PeerRegistry &m_peers;
    const base::Clock &m_clock;
    base::Ring<Event> m_ring;
    std::thread m_thread;
    std::atomic<bool> m_stopping{false};
    // Accessed by this object's thread only.
    consensus::GroupPlanner m_plan;
    bool m_changing = false;
    std::vector<std::string> m_voters;

    mutable absl::Mutex m_mutex;
    // The leader named in the latest join reply; used while the local voter follows no leader.
    std::string m_namedLeader ABSL_GUARDED_BY(m_mutex);
    base::Millis m_namedAt ABSL_GUARDED_BY(m_mutex);
};

} // namespace bamboomoor::control
