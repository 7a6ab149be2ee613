/**
 * Implements the tokens between entries.
 */
#include "bamboomoor/gateway/peertokens.hpp"

#include <algorithm>
#include <random>
#include <utility>

namespace bamboomoor::gateway
{

std::string randomToken()
{
    constexpr std::size_t DIGITS = 32;
    constexpr std::string_view HEXADECIMAL = "0123456789abcdef";
    std::random_device random;
    std::string token;
    for (std::size_t n = 0; n < DIGITS; ++n) {
        token += HEXADECIMAL[random() % HEXADECIMAL.size()];
    }
    return token;
}

void PeerTokens::learn(const std::string &token, const std::vector<std::string> &peers)
{
    const absl::MutexLock lock(&m_mutex);
    if (token.empty()) {
        return;
    }
    if (token != m_current.token) {
        m_previous = std::move(m_current);
        m_current.token = token;
    }
    m_current.peers = peers;
}

std::string PeerTokens::tokenFor(const std::string &peer) const
{
    const absl::MutexLock lock(&m_mutex);
    const auto names = [&peer](const Leader &leader) {
        return std::find(leader.peers.begin(), leader.peers.end(), peer) != leader.peers.end();
    };
    // A peer that has not reported to the current leader yet knows only the token of the one before.
    return !names(m_current) && names(m_previous) ? m_previous.token : m_current.token;
}

bool PeerTokens::accepts(std::string_view token) const
{
    const absl::MutexLock lock(&m_mutex);
    return !token.empty() && (token == m_current.token || token == m_previous.token);
}

} // namespace bamboomoor::gateway
