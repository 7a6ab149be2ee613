/**
 * Detection of a partition between this entry and all upstreams, and selection of the entries that forward requests
 * meanwhile.
 *
 * Failed connections to several upstreams without a success over a new connection since, or several attempts without
 * any answer, are taken for a partition: connections that are open already may survive it. It ends with an answer over
 * a new direct connection, which trial requests look for.
 */
#pragma once

#include "bamboomoor/base/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace bamboomoor::relay
{

/** @brief The settings of the detection. */
struct UpstreamReachOptions {
    std::uint64_t seed = 1;
    // The number of different upstreams that must have failed, or all if fewer are known; at least two.
    std::size_t minFailedUpstreams = 3;
    // The number of connections that must have failed if answers still arrive over older ones.
    std::size_t minFailedConnections = 8;
    // How long a failure counts. An entry with few requests needs some seconds for failures of several upstreams.
    base::Millis failureLifetime{10'000};
    // How long failures must have gone without an answer.
    base::Millis minSilence{250};
    // The interval between two direct trial requests during a partition; a request that may not be repeated may be lost
    // by a trial and is used only after the longer one.
    base::Millis trialInterval{400};
    base::Millis unrepeatableTrialInterval{2'000};
    // Requests that are forwarded between two trials, so that few are lost by trials where there are few.
    int minForwardedPerTrial = 4;
    // How long a peer that failed is not used.
    base::Millis peerBackoff{1'000};
    // How long peers that a new leader does not name are kept: until every entry has reported to it.
    base::Millis formerPeerLife{2'000};
    // The number of upstreams in a row that a peer may not reach before it counts as failed.
    int maxPeerMisses = 2;
};

/** @brief How a direct attempt at an upstream failed. */
enum class ReachFailure { NotConnected, NoAnswer };

/** @brief A change of the detected state. */
struct ReachChange {
    bool cutOff = false;
    // The upstreams that failed; 0 at the end of a partition.
    std::size_t failedUpstreams = 0;
    // The peers that can forward requests.
    std::size_t peers = 0;
    // Since the previous change.
    base::Millis lasted;
};

/** @brief Whether this entry reaches upstreams, and through whom it can if not. Not thread-safe. */
class UpstreamReach
{
public:
    /** @brief Creates an entry that reaches upstreams and knows no peer. @param options The settings. */
    explicit UpstreamReach(UpstreamReachOptions options);

    /** @brief Sets the number of known upstreams. @param count The number. */
    void setUpstreamCount(std::size_t count) noexcept
    {
        m_upstreams = count;
    }

    /**
     * @brief Replaces the list of entries that can forward requests. A new leader may not know all of them yet, so
     * those that the one before named are kept for a while, up to their number then.
     * @param now The current time.
     * @param addresses "IP:PORT" of each.
     * @param term The term of the leader that names them.
     */
    void setPeers(base::Millis now, std::vector<std::string> addresses, std::uint64_t term);

    /** @brief Records a failed direct attempt. @param now The current time. @param upstream The upstream. @param
     * failure How it failed. */
    void onFailed(base::Millis now, const std::string &upstream, ReachFailure failure);

    /** @brief Records an answer to a direct attempt. @param now The current time. @param sentAt When it was sent.
     * @param newConnection Whether it required a new connection. */
    void onAnswered(base::Millis now, base::Millis sentAt, bool newConnection);

    /** @brief Records an answer that a peer passed on. @param peer The peer's address. */
    void onPeerAnswered(const std::string &peer);

    /** @brief Records that a peer did not reach an upstream. @param now The current time. @param peer Its address. */
    void onPeerMissed(base::Millis now, const std::string &peer);

    /** @brief Records that a peer does not forward. @param now The current time. @param peer Its address. */
    void onPeerFailed(base::Millis now, const std::string &peer);

    /** @brief Reevaluates the state. @param now The current time. @return The change since the last call, if any. */
    [[nodiscard]] std::optional<ReachChange> evaluate(base::Millis now);

    /** @brief Tells whether this entry is partitioned from upstreams. */
    [[nodiscard]] bool isCutOff() const noexcept
    {
        return m_cutOff;
    }

    /** @brief Tells whether a request can be forwarded. @param now The current time. */
    [[nodiscard]] bool hasPeer(base::Millis now) const;

    /** @brief Takes the turn of the direct trial that is due. @param now The current time. @param repeatable
     * Whether the request may be executed again. @return True if it should be sent directly. */
    [[nodiscard]] bool takeTrial(base::Millis now, bool repeatable);

    /** @brief Selects a peer. @param now The current time. @return Its address, or nothing if none is usable. */
    [[nodiscard]] std::optional<std::string> selectPeer(base::Millis now);

    /** @brief Returns when an upstream last answered a direct attempt. @return The time; unset if none has. */
    [[nodiscard]] std::optional<base::Millis> lastAnswerAt() const noexcept
    {
        return m_lastAnswerAt;
    }

private:
    struct Failure {
        base::Millis at;
        ReachFailure kind = ReachFailure::NotConnected;
    };
    struct Peer {
        std::string address;
        base::Millis backoffUntil;
        int misses = 0;
        // Of a peer that the current leader has not named: until when it is kept.
        std::optional<base::Millis> keptUntil{};
    };

    [[nodiscard]] Peer *find(const std::string &address);
    [[nodiscard]] bool indicatesPartition(base::Millis now) const;

    UpstreamReachOptions m_options;
    std::mt19937_64 m_random;
    std::size_t m_upstreams = 0;
    // The oldest unrefuted failure of each upstream.
    std::map<std::string, Failure> m_failures;
    // Connections that failed, and whether an older one brought an answer, since the last success over a new one.
    std::size_t m_failedConnections = 0;
    bool m_answeredSince = false;
    std::vector<Peer> m_peers;
    // The term of the leader that named peers last.
    std::uint64_t m_peersTerm = 0;
    std::optional<base::Millis> m_lastAnswerAt;
    bool m_cutOff = false;
    // An answer has ended the partition; evaluate() reports it.
    bool m_reached = false;
    base::Millis m_changedAt;
    base::Millis m_lastTrialAt;
    int m_forwardedSinceTrial = 0;
};

} // namespace bamboomoor::relay
