/**
 * Serves the active configuration to the daemons by long polling. A request that names another version is answered
 * immediately; otherwise the reply is held until the configuration or an evacuation changes or a short timeout expires.
 * A change thus reaches every daemon as soon as it is committed. What differs from the version that a daemon holds is
 * sent in pieces; many large pieces are sent to a part of the daemons at a time, as they are in memory until they are
 * sent.
 */
#pragma once

#include "bamboomoor/base/clock.hpp"
#include "bamboomoor/base/ring.hpp"
#include "bamboomoor/control/documentstore.hpp"
#include "bamboomoor/control/voterthread.hpp"
#include "bamboomoor/peer/server.hpp"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <thread>
#include <variant>
#include <vector>

namespace bamboomoor::control
{

/** @brief Serves quorum-confirmed reads of the active configuration on a voter. */
class ConfigurationThread final : public VoterObserver
{
public:
    /**
     * @brief Creates the object without starting its thread.
     * @param voter Confirms reads; must outlive this object.
     * @param clock The source of time; must outlive this object.
     */
    ConfigurationThread(VoterThread &voter, const base::Clock &clock);
    ~ConfigurationThread() override;
    ConfigurationThread(const ConfigurationThread &) = delete;
    ConfigurationThread &operator=(const ConfigurationThread &) = delete;

    /** @brief Starts the thread. */
    void start();

    /** @brief Stops and joins the thread; pending requests get an unconfirmed reply. */
    void stop();

    /**
     * @brief Handles a request; a confirmed reply contains state that a quorum confirmed after the request arrived.
     * @param request The request, with the version and digest that the caller knows.
     * @param answer Called with the reply; it is unconfirmed if the read could not be confirmed.
     */
    void freshen(const peer::wire::FreshenRequest &request, peer::Answer<peer::wire::FreshenReply> answer);

    /**
     * @brief Sends a piece of an encoded document; any voter that has it may be asked.
     * @param request The piece.
     * @param answer Called with the piece, or without if the document is not kept here.
     */
    void fetchPiece(const peer::wire::PieceRequest &request, peer::Answer<peer::wire::PieceReply> answer);

    void onLeading(std::uint64_t term, const state::Machine &machine) override;
    void onNotLeading() override;
    void onConfiguration(const state::Machine &machine) override;
    void onEvacuations(const state::Machine &machine) override;

private:
    struct Waiter {
        peer::Answer<peer::wire::FreshenReply> answer;
        // Without the document.
        peer::wire::FreshenReply unchanged;
        base::Millis until;
        // Whether the caller has the version that was in force when it asked.
        bool isKnown = false;
        // What the caller holds, and what it can take.
        std::string baseDigest;
        std::uint64_t partialChecksum = 0;
        std::size_t maxPieceBytes = 0;
    };
    struct PieceWaiter {
        peer::Answer<peer::wire::PieceReply> answer;
        peer::wire::PieceRequest request;
    };
    struct Changed {
        // Without the document.
        peer::wire::FreshenReply reply;
        std::string text;
    };
    // Without the document.
    struct EvacuationsChanged {
        peer::wire::FreshenReply reply;
    };
    struct Stopped {
    };
    // The replies to all that waited for the version in force, for the log.
    struct Distribution {
        base::Millis begunAt;
        std::size_t replies = 0;
        std::size_t bytes = 0;
    };
    using Event = std::variant<Waiter, PieceWaiter, Changed, EvacuationsChanged, Stopped>;

    // Called on the voter's thread; returns false if the ring is full.
    [[nodiscard]] bool queueDocument(const state::Machine &machine);
    void run();
    void on(Waiter &event);
    void on(PieceWaiter &event);
    void on(Changed &event);
    void on(EvacuationsChanged &event);
    void on(Stopped &event);
    void answerExpired();
    void answerDue();
    void answerDue(const Waiter &waiter);
    void noteDistribution(base::Millis now);
    [[nodiscard]] base::Millis nextDeadline() const;

    VoterThread &m_voter;
    const base::Clock &m_clock;
    base::Ring<Event> m_ring;
    std::thread m_thread;
    std::atomic<bool> m_stopping{false};
    // Digest of the document that was last put into the ring; accessed by the voter's thread only.
    std::string m_queuedDigest;
    // Pending requests in ascending order of `until`; accessed by this object's thread only.
    std::vector<Waiter> m_waiters;
    // The latest change, for requests that are queued after it was distributed.
    std::uint64_t m_version = 0;
    // Without the document, which is in m_store.
    peer::wire::FreshenReply m_latest;
    DocumentStore m_store;
    // The latest evacuations that were distributed, for the same purpose.
    peer::wire::FreshenReply m_evacuations;
    // Requests that are to get m_latest.
    std::deque<Waiter> m_due;
    // Bytes of the pieces sent since the current interval began, and its end.
    std::size_t m_sentBytes = 0;
    base::Millis m_intervalEnd;
    Distribution m_distribution;
};

} // namespace bamboomoor::control
