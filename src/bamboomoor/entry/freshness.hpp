/**
 * The thread that keeps this daemon's configuration in force: it asks the leader, which confirms by a quorum, and,
 * while there is no leader, a majority of the voters directly. Without either the lease runs out.
 * A later version comes as a patch of the one held, in pieces; one that was begun is completed before a later one is
 * asked for, so that changes in quick succession cannot keep an entry behind a narrow link from any of them.
 */
#pragma once

#include "bamboomoor/base/clock.hpp"
#include "bamboomoor/base/ring.hpp"
#include "bamboomoor/control/peerregistry.hpp"
#include "bamboomoor/entry/adaptivesize.hpp"
#include "bamboomoor/entry/documenttransfer.hpp"
#include "bamboomoor/entry/inforce.hpp"
#include "bamboomoor/entry/leaderhint.hpp"

#include "peer.pb.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace bamboomoor::entry
{

/** @brief The settings of the thread. */
struct FreshnessOptions {
    std::string vm;
    // Counted from the moment a question is sent, by this daemon's clock.
    base::Millis lease{2'000};
    // The longest wait for an answer.
    base::Millis timeout{700};
    // The pause after an answer without confirmation, doubled with each further one up to the longest, so that entries
    // without a leader do not ask more often than a leader holds their questions.
    base::Millis pause{50};
    base::Millis longestPause{400};
    // True in a group that finds itself: the voters are those that the leader names.
    bool learnsVoters = false;
};

/** @brief What one voter testified without a leader. */
struct WitnessAnswer {
    std::string voter;
    peer::wire::WitnessReply reply;
};

/**
 * @brief Judges testimonies: a change is in the logs of a majority before it is in force, so that a majority without
 * a later one shows that there was none when the question was sent.
 * @param answers The answers of distinct voters.
 * @param version The version that this daemon holds.
 * @return True when a majority of the voters, all of the same membership, has usable logs without a later version.
 */
[[nodiscard]] bool confirmsVersion(const std::vector<WitnessAnswer> &answers, std::uint64_t version);

/** @brief Keeps the configuration in force. */
class Freshness
{
public:
    /**
     * @brief Makes a thread that does not run yet.
     * @param options The settings.
     * @param inForce The configuration; outlives the thread.
     * @param peers Connections to the voters; outlives the thread.
     * @param leader The guess at the leader; outlives the thread.
     * @param clock The time; outlives the thread.
     * @param onChange Called on the thread after another version was taken.
     */
    Freshness(FreshnessOptions options, InForce &inForce, control::PeerRegistry &peers, LeaderHint &leader,
        const base::Clock &clock, std::function<void()> onChange);
    ~Freshness();
    Freshness(const Freshness &) = delete;
    Freshness &operator=(const Freshness &) = delete;

    /** @brief Starts the thread. */
    void start();

    /** @brief Ends the thread. */
    void stop();

private:
    struct LeaderAnswer {
        std::uint64_t round = 0;
        std::optional<peer::wire::FreshenReply> reply;
    };
    struct PieceAnswer {
        std::uint64_t round = 0;
        std::optional<peer::wire::PieceReply> reply;
    };
    struct VoterAnswer {
        std::uint64_t round = 0;
        std::optional<WitnessAnswer> answer;
    };

    // Redirected: the voter does not lead and named another one.
    enum class Answered { Confirmed, Redirected, Unconfirmed };

    void run();
    [[nodiscard]] Answered askLeader(const std::string &voter);
    void askVoters();
    [[nodiscard]] bool needsVoters() const;
    void learnVoters(const peer::wire::FreshenReply &reply);
    // Returns whether they differ from those known before.
    [[nodiscard]] bool takeEvacuations(const peer::wire::FreshenReply &reply);
    [[nodiscard]] bool take(const peer::wire::FreshenReply &reply, base::Millis sentAt);
    void takePiece(const peer::wire::FreshenReply &reply, base::Millis sentAt);
    // Ends the transfer; returns false if what arrived cannot be taken.
    [[nodiscard]] bool install(base::Millis receivedAt);
    // Asks for the next pieces of the transfer until it is complete, or one does not come; false in the latter case.
    [[nodiscard]] bool continueTransfer();
    [[nodiscard]] std::optional<peer::wire::PieceReply> fetchPiece();
    void watchLease();
    void noteUnanswered(const std::string &voter, base::Millis waited);

    FreshnessOptions m_options;
    InForce &m_inForce;
    control::PeerRegistry &m_peers;
    LeaderHint &m_leader;
    const base::Clock &m_clock;
    std::function<void()> m_onChange;
    base::Ring<LeaderAnswer> m_answers;
    base::Ring<PieceAnswer> m_pieces;
    base::Ring<VoterAnswer> m_testimonies;
    std::thread m_thread;
    std::atomic<bool> m_stopping{false};
    // Tells answers of this question from late ones.
    std::uint64_t m_round = 0;
    bool m_wasFresh = false;
    // Questions without a reply since the last confirmation.
    int m_unanswered = 0;
    // The version that is arriving, and when its first piece was asked for.
    std::optional<DocumentTransfer> m_transfer;
    base::Millis m_transferBegunAt;
    AdaptiveSize m_pieceSize;
    // A patch could not be applied, so that the next document is to be whole.
    bool m_needsWhole = false;
};

} // namespace bamboomoor::entry
