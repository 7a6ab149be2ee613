/**
 * The thread that reports this entry's demand to the leader, and carries out what the leader wants drained.
 */
#pragma once

#include "bamboomoor/base/clock.hpp"
#include "bamboomoor/base/ring.hpp"
#include "bamboomoor/control/peerbook.hpp"
#include "bamboomoor/entry/desk.hpp"
#include "bamboomoor/entry/leaderhint.hpp"
#include "bamboomoor/entry/upstreambook.hpp"

#include "peer.pb.h"

#include <atomic>
#include <optional>
#include <set>
#include <string>
#include <thread>

namespace bamboomoor::entry
{

/** @brief The settings of the thread. */
struct DemandReportOptions {
    std::string vm;
    base::Millis interval{1'000};
    base::Millis timeout{700};
};

/** @brief Reports demand. */
class DemandReport
{
public:
    /**
     * @brief Makes a thread that does not run yet.
     * @param options The settings.
     * @param desk Counts the demand; outlives the thread.
     * @param book Takes what drains; outlives the thread.
     * @param peers Connections to the voters; outlives the thread.
     * @param leader The guess at the leader; outlives the thread.
     * @param clock The time; outlives the thread.
     */
    DemandReport(DemandReportOptions options, Desk &desk, UpstreamBook &book, const control::PeerBook &peers,
        LeaderHint &leader, const base::Clock &clock);
    ~DemandReport();
    DemandReport(const DemandReport &) = delete;
    DemandReport &operator=(const DemandReport &) = delete;

    /** @brief Starts the thread. */
    void start();

    /** @brief Ends the thread. */
    void stop();

private:
    void run();
    [[nodiscard]] peer::wire::DemandReport makeReport();
    void take(const peer::wire::DemandReply &reply);

    DemandReportOptions m_options;
    Desk &m_desk;
    UpstreamBook &m_book;
    const control::PeerBook &m_peers;
    LeaderHint &m_leader;
    const base::Clock &m_clock;
    base::Ring<std::optional<peer::wire::DemandReply>> m_answers;
    std::thread m_thread;
    std::atomic<bool> m_stopping{false};
    base::Millis m_countedSince;
    // What the book has been told to drain.
    std::set<DrainingReplica> m_draining;
};

} // namespace bamboomoor::entry
