/**
 * Evidence for a partition from all upstreams, and the peers that forward requests.
 */
#include "bamboomoor/relay/upstreamreach.hpp"

#include <algorithm>
#include <utility>

namespace bamboomoor::relay
{

UpstreamReach::UpstreamReach(UpstreamReachOptions options)
    : m_options(options)
    , m_random(options.seed)
{
}

UpstreamReach::Peer *UpstreamReach::find(const std::string &address)
{
    const auto it = std::find_if(m_peers.begin(), m_peers.end(), [&address](const Peer &peer) {
        return peer.address == address;
    });
    return it == m_peers.end() ? nullptr : &*it;
}

void UpstreamReach::setPeers(base::Millis now, std::vector<std::string> addresses, std::uint64_t term)
{
    const bool isOtherLeader = std::exchange(m_peersTerm, term) != term;
    std::vector<Peer> next;
    for (std::string &it : addresses) {
        if (const Peer *known = find(it)) {
            next.push_back(*known);
            next.back().keptUntil.reset();
        } else {
            next.push_back({std::move(it), {}, 0, {}});
        }
    }
    const std::size_t named = next.size();
    for (Peer &it : m_peers) {
        const bool isNamed =
            std::any_of(next.begin(), next.begin() + static_cast<std::ptrdiff_t>(named), [&](const Peer &peer) {
                return peer.address == it.address;
            });
        if (isNamed || next.size() >= m_peers.size()) {
            continue;
        }
        if (isOtherLeader && !it.keptUntil) {
            it.keptUntil = now + m_options.formerPeerLife;
        }
        if (it.keptUntil && now < *it.keptUntil) {
            next.push_back(std::move(it));
        }
    }
    m_peers = std::move(next);
}

void UpstreamReach::onFailed(base::Millis now, const std::string &upstream, ReachFailure failure)
{
    Failure &known = m_failures.try_emplace(upstream, Failure{now, failure}).first->second;
    if (now - known.at > m_options.failureLifetime) {
        known = {now, failure};
    } else if (failure == ReachFailure::NotConnected) {
        known.kind = failure;
    }
    m_failedConnections += failure == ReachFailure::NotConnected ? 1 : 0;
}

void UpstreamReach::onAnswered(base::Millis now, base::Millis sentAt, bool newConnection)
{
    m_lastAnswerAt = now;
    std::size_t refuted = 0;
    std::erase_if(m_failures, [&](const auto &it) {
        const bool byConnection = newConnection && sentAt >= it.second.at;
        refuted += byConnection ? 1 : 0;
        return it.second.kind == ReachFailure::NoAnswer || byConnection;
    });
    m_answeredSince = refuted == 0 && !m_failures.empty();
    m_failedConnections = refuted == 0 ? m_failedConnections : 0;
    m_reached = m_reached || (m_cutOff && newConnection && sentAt >= m_changedAt);
}

void UpstreamReach::onPeerAnswered(const std::string &peer)
{
    if (Peer *it = find(peer)) {
        it->misses = 0;
    }
}

void UpstreamReach::onPeerMissed(base::Millis now, const std::string &peer)
{
    // The upstreams may have failed instead of the path to them.
    m_lastTrialAt = std::min(m_lastTrialAt, now - m_options.trialInterval);
    m_forwardedSinceTrial = m_options.minForwardedPerTrial;
    if (Peer *it = find(peer); it != nullptr && ++it->misses >= m_options.maxPeerMisses) {
        onPeerFailed(now, peer);
    }
}

void UpstreamReach::onPeerFailed(base::Millis now, const std::string &peer)
{
    if (Peer *it = find(peer)) {
        it->misses = 0;
        it->backoffUntil = now + m_options.peerBackoff;
    }
}

bool UpstreamReach::indicatesPartition(base::Millis now) const
{
    const std::size_t needed = std::max<std::size_t>(2, std::min(m_upstreams, m_options.minFailedUpstreams));
    base::Millis oldest = now;
    for (const auto &[upstream, failure] : m_failures) {
        oldest = std::min(oldest, failure.at);
    }
    return m_failures.size() >= needed && now - oldest >= m_options.minSilence
        && (!m_answeredSince || m_failedConnections >= m_options.minFailedConnections);
}

std::optional<ReachChange> UpstreamReach::evaluate(base::Millis now)
{
    std::erase_if(m_failures, [&](const auto &it) {
        return now - it.second.at > m_options.failureLifetime;
    });
    if (m_failures.empty()) {
        m_failedConnections = 0;
        m_answeredSince = false;
    }
    const bool ends = m_cutOff && std::exchange(m_reached, false);
    const bool begins = !m_cutOff && indicatesPartition(now);
    if (!ends && !begins) {
        return std::nullopt;
    }
    const auto usable = std::count_if(m_peers.begin(), m_peers.end(), [now](const Peer &it) {
        return now >= it.backoffUntil;
    });
    const ReachChange change{begins, begins ? m_failures.size() : 0, static_cast<std::size_t>(usable),
        now - std::exchange(m_changedAt, now)};
    m_cutOff = begins;
    m_failures.clear();
    m_failedConnections = 0;
    m_answeredSince = false;
    m_lastTrialAt = now;
    m_forwardedSinceTrial = 0;
    return change;
}

bool UpstreamReach::hasPeer(base::Millis now) const
{
    return std::any_of(m_peers.begin(), m_peers.end(), [now](const Peer &it) {
        return now >= it.backoffUntil;
    });
}

bool UpstreamReach::takeTrial(base::Millis now, bool repeatable)
{
    const base::Millis interval = repeatable ? m_options.trialInterval : m_options.unrepeatableTrialInterval;
    const bool isForwarding = hasPeer(now) && m_forwardedSinceTrial < m_options.minForwardedPerTrial;
    if (!m_cutOff || now - m_lastTrialAt < interval || isForwarding) {
        return false;
    }
    m_lastTrialAt = now;
    m_forwardedSinceTrial = 0;
    return true;
}

std::optional<std::string> UpstreamReach::selectPeer(base::Millis now)
{
    std::vector<const Peer *> usable;
    for (const Peer &it : m_peers) {
        if (now >= it.backoffUntil) {
            usable.push_back(&it);
        }
    }
    if (usable.empty()) {
        return std::nullopt;
    }
    ++m_forwardedSinceTrial;
    return usable[m_random() % usable.size()]->address;
}

} // namespace bamboomoor::relay
