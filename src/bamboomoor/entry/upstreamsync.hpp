/**
 * The thread that spreads upstreams: it pushes what upstreams announced here to every voter, and pulls from one voter
 * what was announced elsewhere. A voter pulls nothing, as everything is pushed to it; which daemons are voters may
 * change at any time.
 */
#pragma once

#include "bamboomoor/base/clock.hpp"
#include "bamboomoor/base/ring.hpp"
#include "bamboomoor/control/peerregistry.hpp"
#include "bamboomoor/entry/adaptivesize.hpp"
#include "bamboomoor/entry/upstreambook.hpp"

#include "peer.pb.h"

#include <atomic>
#include <map>
#include <optional>
#include <string>
#include <thread>

namespace bamboomoor::entry
{

/** @brief The settings of the thread. */
struct UpstreamSyncOptions {
    std::string vm;
    // This daemon's name while it is a voter; empty if it never is.
    std::string self;
    base::Millis interval{200};
    base::Millis timeout{500};
    // True when an entry that is cut off from the voters goes on with the upstreams that it knew.
    bool keepsWhenCutOff = false;
    // How long after the last pull leases still run out.
    base::Millis pullGrace{1'000};
    // The shortest time between two moves away from voters that say they are cut off. While no voter leads, all say so,
    // and the first pull from each takes the whole list.
    base::Millis cutOffPause{1'000};
};

/** @brief Spreads upstreams. */
class UpstreamSync
{
public:
    /**
     * @brief Makes a thread that does not run yet.
     * @param options The settings.
     * @param heard What upstreams announced to this daemon; outlives the thread.
     * @param book All upstreams known here; outlives the thread.
     * @param peers Connections to the voters; outlives the thread.
     * @param clock The time; outlives the thread.
     */
    UpstreamSync(UpstreamSyncOptions options, UpstreamBook &heard, UpstreamBook &book,
        const control::PeerRegistry &peers, const base::Clock &clock);
    ~UpstreamSync();
    UpstreamSync(const UpstreamSync &) = delete;
    UpstreamSync &operator=(const UpstreamSync &) = delete;

    /** @brief Starts the thread. */
    void start();

    /** @brief Ends the thread. */
    void stop();

    /**
     * @brief Returns how recent the list of upstreams is.
     * @return When the last answer of a voter was asked for, in milliseconds. A voter that has just started may know
     * few upstreams, but tells which processes have announced themselves since.
     */
    [[nodiscard]] base::Millis answeredAt() const noexcept
    {
        return {m_answeredAt};
    }

    /**
     * @brief Tells whether a voter that knows the upstreams has answered.
     * @return True from the first whole answer on; always true at a voter.
     */
    [[nodiscard]] bool synced() const noexcept
    {
        return m_synced;
    }

    /**
     * @brief Tells the time by which leases of the book are to be judged.
     * @return The present time; for an entry that keeps upstreams when cut off, not much after its last pull.
     */
    [[nodiscard]] base::Millis bookTime() const noexcept;

private:
    struct Answer {
        std::string voter;
        std::optional<peer::wire::UpstreamSync> reply;
        base::Millis sentAt;
        membership::Position pushed;
        bool pulled = false;
    };
    struct VoterState {
        // What of `heard` the voter has.
        membership::Position pushed;
        // What of the voter's book this daemon has.
        membership::Position pulled;
        bool waiting = false;
    };

    void run();
    void askAll();
    void followVoters();
    void ask(const std::string &voter, VoterState &state, bool pull);
    void take(Answer answer);
    void takeSoftware(const peer::wire::UpstreamSync &reply);
    void choosePuller(const std::string &failed);
    void leaveCutOff(base::Millis now, const std::string &voter);

    UpstreamSyncOptions m_options;
    UpstreamBook &m_heard;
    UpstreamBook &m_book;
    const control::PeerRegistry &m_peers;
    const base::Clock &m_clock;
    base::Ring<Answer> m_answers;
    std::thread m_thread;
    std::atomic<bool> m_stopping{false};
    std::atomic<bool> m_synced{false};
    // When the last whole pull was asked for.
    std::atomic<std::int64_t> m_pulledAt{0};
    // As in answeredAt().
    std::atomic<std::int64_t> m_answeredAt{0};
    // Used by the thread only.
    std::map<std::string, VoterState> m_voters;
    std::string m_puller;
    // Upstreams to pull at a time.
    AdaptiveSize m_page;
    // When a voter was left as it said that it is cut off.
    std::optional<base::Millis> m_leftCutOffAt;
};

/**
 * @brief Answers another daemon's sync.
 * @param request The question.
 * @param book The answerer's book.
 * @param now The present time.
 * @param warming Whether the answerer started less than two leases ago, or is no voter.
 * @return The answer.
 */
[[nodiscard]] peer::wire::UpstreamSync answerSync(
    const peer::wire::UpstreamSync &request, UpstreamBook &book, base::Millis now, bool warming);

} // namespace bamboomoor::entry
