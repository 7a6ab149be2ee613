/**
 * The entry's side of the quarantine of prompt parts and requests: it reports lost attempts and survivals to the
 * leader, applies the leader's quarantines, and decides by its own evidence too, as it may be cut off from the leader.
 *
 * Reports are repeated until the leader of the current term has acknowledged them, so a new leader learns what is still
 * known here: recent lost attempts and all quarantines.
 */
#pragma once

#include "bamboomoor/base/clock.hpp"
#include "bamboomoor/quarantine/crashanalysis.hpp"
#include "bamboomoor/standing/upstreamsignal.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace bamboomoor::quarantine
{

/** @brief What may be quarantined about a request. */
struct RequestTraits {
    // The ids of all parts of its prompt.
    std::vector<std::string> parts;
    // A digest that is the same for all tries of the request.
    std::string fingerprint;
};

/** @brief A report of an entry to the leader. */
struct Report {
    // Increases with each report; the leader's reply to it acknowledges everything in it.
    std::uint64_t sequence = 0;
    std::vector<LostAttempt> lostAttempts;
    std::vector<Survival> survivals;
    std::vector<Quarantine> quarantines;
};

/** @brief The leader's reply to an entry. */
struct LeaderReply {
    std::uint64_t term = 0;
    // The sequence number of the answered report.
    std::uint64_t acknowledged = 0;
    // Parts whose survivals the leader wants to know.
    std::vector<std::string> suspects;
    // Those that are over have been lifted.
    std::vector<Quarantine> quarantines;
};

/** @brief The settings of PromptGuard. */
struct PromptGuardOptions {
    // An entry needs more crashes than the leader, as it may not see the requests that caused them. If it is
    // partitioned from upstreams, its retries lose one after the other within a moment, and none has crashed.
    CrashAnalysisOptions analysis{.minCrashes = 5, .countBursts = false};
    // Lost attempts in one report; the next one contains others when it has been acknowledged.
    std::size_t maxReported = 512;
    // As many as an entry has streams at several upstreams that crash, and as a burst of reset connections loses.
    std::size_t maxLost = 4'096;
    // Lost attempts that are kept for a new leader.
    base::Millis reportLife{60'000};
    std::size_t maxWatched = 1'024;
};

/** @brief Decides which requests an entry rejects because of their prompt. Not thread-safe. */
class PromptGuard
{
public:
    /** @brief Creates a guard that lets all requests pass. @param options The settings. */
    explicit PromptGuard(PromptGuardOptions options = {}) noexcept
        : m_options(options)
        , m_analysis(options.analysis)
    {
    }

    /**
     * @brief Records that an attempt was lost before its upstream had answered more than one event.
     * @param now The current time.
     * @param run The upstream.
     * @param request The request.
     * @param sentAt When the attempt was sent.
     */
    void onLost(base::Millis now, const standing::Run &run, const RequestTraits &request, base::Millis sentAt);

    /**
     * @brief Records that an upstream accepts no connection. While this entry is partitioned from upstreams, none does;
     * so only losses count after which an upstream answered over a new connection, or if all others have crashed.
     * @param now The current time.
     * @param upstream Its id.
     */
    void onUnreachable(base::Millis now, const std::string &upstream);

    /** @brief Records that a direct connection brought bytes of a response. @param sentAt When the attempt was sent.
     * @param newConnection Whether it required a new connection. */
    void onReached(base::Millis sentAt, bool newConnection) noexcept;

    /** @brief Records that an upstream answered an attempt, so that it has not crashed. @param run The upstream.
     * @param sentAt When the attempt was sent. */
    void onAnswered(const standing::Run &run, base::Millis sentAt);

    /** @brief Records the running incarnations of upstreams. @param now The current time. @param runs The incarnations;
     * none if they are as before. */
    void onRuns(base::Millis now, const std::vector<standing::Run> &runs);

    /** @brief Tells whether survivals matter now, so that callers need not collect the traits of every request. */
    [[nodiscard]] bool isWatching() const noexcept
    {
        return !m_watched.empty();
    }

    /** @brief Records that a request was answered beyond its first event, or completely. @param now The current time.
     * @param request The request. */
    void onSurvival(base::Millis now, const RequestTraits &request);

    /**
     * @brief Tells whether a request must not be sent.
     * @param now The current time.
     * @param request The request.
     * @return The quarantined part or request and the time left, or nothing if it may be sent.
     */
    [[nodiscard]] std::optional<std::pair<std::string, base::Millis>> quarantined(
        base::Millis now, const RequestTraits &request) const;

    /** @brief Tells whether no part is quarantined or on probation, so that quarantined() finds nothing. */
    [[nodiscard]] bool isEmpty() const noexcept
    {
        return m_analysis.isEmpty();
    }

    /** @brief Applies the leader's reply. @param now The current time. @param reply The reply. @return The parts that
     * are quarantined now and were not before. */
    std::vector<Finding> onLeaderReply(base::Millis now, const LeaderReply &reply);

    /** @brief Quarantines parts that this entry's own evidence suffices for. @param now The current time. @return The
     * new quarantines. */
    std::vector<Finding> evaluate(base::Millis now);

    /** @brief Makes the report that is due to the leader. @param now The current time. @return The report. */
    [[nodiscard]] Report takeReport(base::Millis now);

    /** @brief Tests and clears the flag for news that the leader should get at once. @return True if there is some. */
    [[nodiscard]] bool takeUrgent() noexcept
    {
        return std::exchange(m_urgent, false);
    }

private:
    struct Unacknowledged {
        LostAttempt attempt;
        // The first report that contained it; 0 before.
        std::uint64_t sequence = 0;
        bool acknowledged = false;
    };
    struct Watched {
        base::Millis since;
        std::optional<base::Millis> survivedAt;
        // The first report that contained the survival; 0 before.
        std::uint64_t sequence = 0;
        bool acknowledged = false;
    };

    void watch(base::Millis now, const std::string &part);
    [[nodiscard]] bool haveOthersCrashed(const std::string &upstream) const;
    void dropLost();

    PromptGuardOptions m_options;
    CrashAnalysis m_analysis;
    // Lost attempts that are younger than reportLife, oldest first; at most maxLost. Acknowledged ones, which only a
    // new leader needs, are dropped first.
    std::deque<Unacknowledged> m_lost;
    // Suspected parts, which are watched for survivals; at most maxWatched.
    std::unordered_map<std::string, Watched> m_watched;
    std::vector<standing::Run> m_runs;
    // When the latest attempt was sent that an upstream answered over a new connection.
    std::optional<base::Millis> m_reachedAt;
    std::uint64_t m_lastSequence = 0;
    std::uint64_t m_term = 0;
    bool m_urgent = false;
};

} // namespace bamboomoor::quarantine
