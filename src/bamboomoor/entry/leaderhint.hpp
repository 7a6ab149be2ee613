/**
 * The voter that this daemon believes to lead; every reply of a voter may correct it.
 */
#pragma once

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace bamboomoor::entry
{

/** @brief A shared guess at the leader; a wrong guess costs one more call. */
class LeaderHint
{
public:
    /**
     * @brief Starts with the first voter.
     * @param voters The names of the voters, at least one.
     */
    explicit LeaderHint(std::vector<std::string> voters)
        : m_voters(std::move(voters))
        , m_leader(m_voters.front())
    {
    }

    /**
     * @brief Reads the guess.
     * @return A voter's name.
     */
    [[nodiscard]] std::string get() const
    {
        const absl::MutexLock lock(&m_mutex);
        return m_leader;
    }

    /**
     * @brief Learns who leads.
     * @param leader A voter's name; an unknown one is ignored.
     */
    void learn(const std::string &leader)
    {
        const absl::MutexLock lock(&m_mutex);
        if (std::find(m_voters.begin(), m_voters.end(), leader) != m_voters.end()) {
            m_leader = leader;
        }
    }

    /**
     * @brief Guesses the next voter, after one that does not lead or does not answer.
     * @param failed The voter that was asked; when the guess is another one already, it stays.
     */
    void skip(const std::string &failed)
    {
        const absl::MutexLock lock(&m_mutex);
        if (m_leader != failed) {
            return;
        }
        const auto it = std::find(m_voters.begin(), m_voters.end(), m_leader);
        m_leader = std::next(it) == m_voters.end() ? m_voters.front() : *std::next(it);
    }

private:
    const std::vector<std::string> m_voters;
    mutable absl::Mutex m_mutex;
    // One of m_voters.
    std::string m_leader ABSL_GUARDED_BY(m_mutex);
};

} // namespace bamboomoor::entry
