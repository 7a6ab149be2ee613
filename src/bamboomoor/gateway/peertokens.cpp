/**
 * Implements the tokens between entries.
 */
#include "bamboomoor/gateway/peertokens.hpp"

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

void PeerTokens::learn(const std::string &token)
{
    const absl::MutexLock lock(&m_mutex);
    if (!token.empty() && token != m_current) {
        m_previous = std::exchange(m_current, token);
    }
}

std::string PeerTokens::current() const
{
    const absl::MutexLock lock(&m_mutex);
    return m_current;
}

bool PeerTokens::accepts(std::string_view token) const
{
    const absl::MutexLock lock(&m_mutex);
    return !token.empty() && (token == m_current || token == m_previous);
}

} // namespace bamboomoor::gateway
