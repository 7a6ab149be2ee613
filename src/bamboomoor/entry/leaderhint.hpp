/**
 * The voter that this daemon believes to lead; every reply of a voter may correct it.
 */
#pragma once

#include "bamboomoor/control/peerregistry.hpp"

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
     * @param leader A voter's name; one that is not listed and holds no address is ignored.
     */
    void learn(const std::string &leader)
    {
        const absl::MutexLock lock(&m_mutex);
        const bool listed = std::find(m_voters.begin(), m_voters.end(), leader) != m_voters.end();
        if (listed || !control::addressIn(leader).empty()) {
            m_leader = leader;
        }
    }

    /**
     * @brief Learns the voters of a group that finds itself.
     * @param voters Their names; an empty list changes nothing.
     */
    void learnVoters(std::vector<std::string> voters)
    {
        const absl::MutexLock lock(&m_mutex);
        if (!voters.empty()) {
            m_voters = std::move(voters);
            m_voters.insert(m_voters.end(), m_seeds.begin(), m_seeds.end());
        }
    }

    /**
     * @brief Replaces the members that are asked too when the voters known are all gone.
     * @param seeds Names that hold addresses.
     */
    void setSeeds(const std::vector<std::string> &seeds)
    {
        const absl::MutexLock lock(&m_mutex);
        std::erase_if(m_voters, [this](const std::string &it) {
            return std::find(m_seeds.begin(), m_seeds.end(), it) != m_seeds.end();
        });
        m_seeds = seeds;
        m_voters.insert(m_voters.end(), m_seeds.begin(), m_seeds.end());
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
        const bool last = it == m_voters.end() || std::next(it) == m_voters.end();
        m_leader = last ? m_voters.front() : *std::next(it);
    }

private:
    mutable absl::Mutex m_mutex;
    // Never empty.
    std::vector<std::string> m_voters ABSL_GUARDED_BY(m_mutex);
    // Listed in m_voters too.
    std::vector<std::string> m_seeds ABSL_GUARDED_BY(m_mutex);
    std::string m_leader ABSL_GUARDED_BY(m_mutex);
};

} // namespace bamboomoor::entry
