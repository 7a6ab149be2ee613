/**
 * The connections of this daemon to the members of the control group.
 */
#pragma once

#include "bamboomoor/consensus/types.hpp"
#include "bamboomoor/peer/client.hpp"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace bamboomoor::control
{

/** @brief One voter as the settings name it. */
struct VoterAddress {
    std::string name;
    // "IP:PORT" where its peers reach it.
    std::string address;
};

using consensus::addressIn;

/** @brief Clients of the members by name, and the list of the voters; usable from any thread. */
class PeerBook
{
public:
    /**
     * @brief Makes a client for each voter.
     * @param voters The voters of the settings, this daemon included.
     */
    explicit PeerBook(const std::vector<VoterAddress> &voters)
    {
        for (const VoterAddress &it : voters) {
            m_names.push_back(it.name);
            m_addresses.emplace(it.name, it.address);
        }
    }

    /**
     * @brief Finds a member's client.
     * @param name The member.
     * @return Its client, valid as long as the book; null for a name that is not known and holds no address.
     */
    [[nodiscard]] peer::Client *find(const std::string &name) const
    {
        const auto known = m_addresses.find(name);
        const std::string address = known == m_addresses.end() ? addressIn(name) : known->second;
        if (address.empty()) {
            return nullptr;
        }
        const absl::MutexLock lock(&m_mutex);
        std::unique_ptr<peer::Client> &client = m_clients[address];
        if (!client) {
            client = std::make_unique<peer::Client>(address);
            if (m_stopped) {
                client->stop();
            }
        }
        return client.get();
    }

    /**
     * @brief Learns the voters of a group that finds itself.
     * @param voters Their names, which hold their addresses; an empty list changes nothing.
     */
    void learn(std::vector<std::string> voters)
    {
        if (voters.empty()) {
            return;
        }
        const absl::MutexLock lock(&m_mutex);
        m_names = std::move(voters);
    }

    /** @brief Ends all calls and waits until their replies are taken. */
    void stop()
    {
        std::vector<peer::Client *> clients;
        {
            const absl::MutexLock lock(&m_mutex);
            m_stopped = true;
            for (const auto &[address, client] : m_clients) {
                clients.push_back(client.get());
            }
        }
        for (peer::Client *it : clients) {
            it->stop();
        }
    }

    /**
     * @brief Lists the voters.
     * @return Their names as last learned, else in the order of the settings.
     */
    [[nodiscard]] std::vector<std::string> names() const
    {
        const absl::MutexLock lock(&m_mutex);
        return m_names;
    }

private:
    // Addresses of the settings by name.
    std::map<std::string, std::string> m_addresses;
    mutable absl::Mutex m_mutex;
    // Never empty.
    std::vector<std::string> m_names ABSL_GUARDED_BY(m_mutex);
    // By address; never removed.
    mutable std::map<std::string, std::unique_ptr<peer::Client>> m_clients ABSL_GUARDED_BY(m_mutex);
    bool m_stopped ABSL_GUARDED_BY(m_mutex) = false;
};

} // namespace bamboomoor::control
