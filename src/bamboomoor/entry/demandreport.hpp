/**
 * The thread that reports this entry's demand to the leader, and carries out what the leader wants drained.
 */
#pragma once

#include "bamboomoor/base/clock.hpp"
#include "bamboomoor/base/ring.hpp"
#include "bamboomoor/control/peerregistry.hpp"
#include "bamboomoor/entry/leaderhint.hpp"
#include "bamboomoor/entry/target.hpp"
#include "bamboomoor/entry/upstreambook.hpp"
#include "bamboomoor/lineage/origin.hpp"
#include "bamboomoor/quarantine/promptguard.hpp"
#include "bamboomoor/standing/upstreamtracker.hpp"

#include "peer.pb.h"

#include <atomic>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace bamboomoor::entry
{

/** @brief What placement needs to know of an entry: the requests for one target since the last report. */
struct TargetDemand {
    Target target;
    std::uint64_t requests = 0;
    // Requests that wait at present.
    std::uint64_t queued = 0;
    // Tokens of the prompts of these requests; 0 where they are not counted.
    std::int64_t tokens = 0;
};

/** @brief A model or adapter that comes to an upstream, or came to it lately. */
struct Placement {
    std::string upstream;
    std::string model;
    // Empty for the model itself.
    std::string adapter;
    // 0 when it is there.
    base::Millis readyIn;
};

/** @brief What the leader tells an entry of the others and of its orders. */
struct LeaderNews {
    // Prompt tokens that other entries have waiting, by upstream.
    std::map<std::string, std::int64_t> waiting;
    std::vector<Placement> placements;
    std::vector<standing::LeaderReport> words;
    quarantine::LeaderReply quarantine;
    // "IP:PORT" of entries that forward requests, and the token that entries present to each other.
    std::vector<std::string> peers;
    std::string peerToken;
    // The leader's term, and the report on streams that it has taken.
    std::uint64_t term = 0;
    std::uint64_t streamSequence = 0;
};

/** @brief Counts the demand of an entry; usable from any thread. */
class DemandSource
{
public:
    virtual ~DemandSource() = default;

    /**
     * @brief Reads and resets the demand since the last call.
     * @return One entry for each target with requests.
     */
    [[nodiscard]] virtual std::vector<TargetDemand> takeDemand() = 0;

    /**
     * @brief Tells whether this entry has requests at a replica, of whichever version.
     * @param replica The replica.
     * @return True while an attempt is open.
     */
    [[nodiscard]] virtual bool runsAt(const DrainingReplica &replica) const = 0;

    /**
     * @brief Lists what this entry has waiting at upstreams.
     * @return Prompt tokens by upstream; none where they are not counted.
     */
    [[nodiscard]] virtual std::map<std::string, std::int64_t> waiting() const
    {
        return {};
    }

    /** @brief Lists the upstreams that accept no connection of this entry. @return Their ids. */
    [[nodiscard]] virtual std::vector<std::string> unreachable() const
    {
        return {};
    }

    /**
     * @brief Reads what upstreams said of themselves to this entry, and takes the permits that it asks for.
     * @return One word of each upstream; none where they are not followed.
     */
    [[nodiscard]] virtual std::vector<standing::Report> takeWords()
    {
        return {};
    }

    /** @brief Reads the report on prompt parts. @return The report; empty where they are not followed. */
    [[nodiscard]] virtual quarantine::Report takeQuarantineReport()
    {
        return {};
    }

    /** @brief Reads the report on begun streams. @return The report; empty where they are not followed. */
    [[nodiscard]] virtual lineage::Report takeStreamReport()
    {
        return {};
    }

    /** @brief Returns where this entry forwards requests of others. @return "IP:PORT"; empty unless upstreams answered
     * lately. */
    [[nodiscard]] virtual std::string forwardAddress() const
    {
        return {};
    }

    /** @brief Takes what the leader tells. @param news The news. */
    virtual void takeNews(LeaderNews news)
    {
        static_cast<void>(news);
    }
};

/** @brief The settings of the thread. */
struct DemandReportOptions {
    std::string vm;
    std::string dataCentre;
    base::Millis interval{1'000};
    // The demand of a shorter time is not reported yet, as rates over it vary too much.
    base::Millis minDemandSpan;
    base::Millis timeout{700};
};

/** @brief Reports demand. */
class DemandReport
{
public:
    /**
     * @brief Makes a thread that does not run yet.
     * @param options The settings.
     * @param source Counts the demand; outlives the thread.
     * @param book Takes what drains; outlives the thread.
     * @param peers Connections to the voters; outlives the thread.
     * @param leader The guess at the leader; outlives the thread.
     * @param clock The time; outlives the thread.
     */
    DemandReport(DemandReportOptions options, DemandSource &source, UpstreamBook &book,
        const control::PeerRegistry &peers, LeaderHint &leader, const base::Clock &clock);
    ~DemandReport();
    DemandReport(const DemandReport &) = delete;
    DemandReport &operator=(const DemandReport &) = delete;

    /** @brief Starts the thread. */
    void start();

    /** @brief Ends the thread. */
    void stop();

    /** @brief Reports at once, as a request waits for what the leader decides; usable from any thread. */
    void urge();

private:
    // The end of a call, or a wish for the next one.
    struct Wake {
        bool urged = false;
        std::optional<peer::wire::DemandReply> reply;
    };

    void run();
    void rest(base::Millis sentAt);
    [[nodiscard]] peer::wire::DemandReport makeReport();
    void addDemand(base::Millis now, peer::wire::DemandReport &report);
    void take(const peer::wire::DemandReply &reply, base::Millis sentAt);

    DemandReportOptions m_options;
    DemandSource &m_source;
    UpstreamBook &m_book;
    const control::PeerRegistry &m_peers;
    LeaderHint &m_leader;
    const base::Clock &m_clock;
    base::Ring<Wake> m_wakes;
    // A wish came while a call was under way.
    bool m_urged = false;
    std::thread m_thread;
    std::atomic<bool> m_stopping{false};
    base::Millis m_countedSince;
    // What the book has been told to drain.
    std::set<DrainingReplica> m_draining;
};

} // namespace bamboomoor::entry
