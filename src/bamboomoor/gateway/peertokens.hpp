/**
 * The tokens by which entries recognise each other. The leader of the control group makes one for its leadership; the
 * one before stays valid, as entries learn of a new leader at different times.
 */
#pragma once

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <string>
#include <string_view>
#include <vector>

namespace bamboomoor::gateway
{

/** @brief Makes a token that cannot be guessed. @return 32 hexadecimal digits. */
[[nodiscard]] std::string randomToken();

/** @brief Holds the current token and the one before; thread-safe. */
class PeerTokens
{
public:
    /** @brief Takes the leader's token. @param token The token; an empty one is ignored. @param peers The addresses of
     * the entries that the leader names, which know the token. */
    void learn(const std::string &token, const std::vector<std::string> &peers);

    /** @brief Selects the token that a peer knows. @param peer Its address. @return The token of the last leader that
     * named it; empty before the first. */
    [[nodiscard]] std::string tokenFor(const std::string &peer) const;

    /** @brief Tells whether a token is valid. @param token The token. @return False for an empty one. */
    [[nodiscard]] bool accepts(std::string_view token) const;

private:
    struct Leader {
        std::string token;
        // The peers that it named last.
        std::vector<std::string> peers;
    };

    mutable absl::Mutex m_mutex;
    Leader m_current ABSL_GUARDED_BY(m_mutex);
    Leader m_previous ABSL_GUARDED_BY(m_mutex);
};

} // namespace bamboomoor::gateway
