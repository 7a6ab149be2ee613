/**
 * The tokens by which entries recognise each other. The leader of the control group makes one for its leadership; the
 * one before stays valid, as entries learn of a new leader at different times.
 */
#pragma once

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <string>
#include <string_view>

namespace bamboomoor::gateway
{

/** @brief Makes a token that cannot be guessed. @return 32 hexadecimal digits. */
[[nodiscard]] std::string randomToken();

/** @brief Holds the current token and the one before; thread-safe. */
class PeerTokens
{
public:
    /** @brief Takes the leader's token. @param token The token; an empty one is ignored. */
    void learn(const std::string &token);

    /** @brief Returns the current token. @return Empty before the first. */
    [[nodiscard]] std::string current() const;

    /** @brief Tells whether a token is valid. @param token The token. @return False for an empty one. */
    [[nodiscard]] bool accepts(std::string_view token) const;

private:
    mutable absl::Mutex m_mutex;
    std::string m_current ABSL_GUARDED_BY(m_mutex);
    std::string m_previous ABSL_GUARDED_BY(m_mutex);
};

} // namespace bamboomoor::gateway
