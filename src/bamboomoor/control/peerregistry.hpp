/**
 * Provides the registry of clients for the members of the control group. A client is created on first use and lives
 * as long as the registry.
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

/** @brief A voter listed in the settings. */
struct VoterAddress {
    std::string name;
    // "IP:PORT" at which the other members reach it.
    std::string address;
};

using consensus::addressIn;

/** @brief Holds the clients of the members by name, and the list of voters; thread-safe. */
class PeerRegistry
{
public:
    /**
     * @brief Registers the names and addresses of the configured voters.
     * @param voters The voters listed in the settings, including this daemon.
     */
    explicit PeerRegistry(const std::vector<VoterAddress> &voters)
    {
        for (const VoterAddress &it : voters) {
            m_names.push_back(it.name);
            m_addresses.emplace(it.name, it.address);
        }
    }

    /**
     * @brief Returns the client of a member, creating it if necessary.
     * @param name The member.
     * @return The client, owned by the registry; null if the name is unknown and contains no address.
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
     * @brief Replaces the list of voters of a self-forming group.
     * @param voters Their names, which contain their addresses; an empty list is ignored.
     */
    void learn(std::vector<std::string> voters)
    {
        if (voters.empty()) {
            return;
        }
        const absl::MutexLock lock(&m_mutex);
        m_names = std::move(voters);
    }

    /** @brief Cancels all calls and waits until their callbacks have run. */
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
     * @brief Returns the names of the voters.
     * @return The most recently learned names, or those of the settings in their order if none were learned.
     */
    [[nodiscard]] std::vector<std::string> names() const
    {
        const absl::MutexLock lock(&m_mutex);
        return m_names;
    }

private:
    // Addresses from the settings by name.
    std::map<std::string, std::string> m_addresses;
    mutable absl::Mutex m_mutex;
    // Never empty.
    std::vector<std::string> m_names ABSL_GUARDED_BY(m_mutex);
    // By address; clients are never removed.
    mutable std::map<std::string, std::unique_ptr<peer::Client>> m_clients ABSL_GUARDED_BY(m_mutex);
    bool m_stopped ABSL_GUARDED_BY(m_mutex) = false;
};

} // namespace bamboomoor::control
