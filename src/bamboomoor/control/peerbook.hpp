/**
 * The connections of this daemon to the voters of the control group, by name.
 */
#pragma once

#include "bamboomoor/peer/client.hpp"

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

/** @brief Clients of all voters; fixed after construction, usable from any thread. */
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
            m_clients.emplace(it.name, std::make_unique<peer::Client>(it.address));
        }
    }

    /**
     * @brief Finds a voter's client.
     * @param name The voter.
     * @return Its client, or null for an unknown name.
     */
    [[nodiscard]] peer::Client *find(const std::string &name) const
    {
        const auto it = m_clients.find(name);
        return it == m_clients.end() ? nullptr : it->second.get();
    }

    /** @brief Ends all calls and waits until their replies are taken. */
    void stop() const
    {
        for (const auto &[name, client] : m_clients) {
            client->stop();
        }
    }

    /**
     * @brief Lists the voters.
     * @return Their names, in the order of the settings.
     */
    [[nodiscard]] const std::vector<std::string> &names() const noexcept
    {
        return m_names;
    }

private:
    std::vector<std::string> m_names;
    std::map<std::string, std::unique_ptr<peer::Client>> m_clients;
};

} // namespace bamboomoor::control
