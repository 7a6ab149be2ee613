/**
 * All stand-ins of one process.
 */
#pragma once

#include "fakes/upstream.hpp"

#include <memory>
#include <string>
#include <vector>

namespace bamboomoor::fakes
{

/** @brief Hosts engines and services on their ports. */
class Fleet
{
public:
    /**
     * @brief Makes a fleet that does not listen yet.
     * @param options What it hosts.
     */
    explicit Fleet(FleetOptions options);
    ~Fleet();
    Fleet(const Fleet &) = delete;
    Fleet &operator=(const Fleet &) = delete;
    Fleet(Fleet &&) = delete;
    Fleet &operator=(Fleet &&) = delete;

    /**
     * @brief Opens all ports and begins to announce.
     * @return The addresses, engines first; or why one port cannot be had.
     */
    [[nodiscard]] base::Result<std::vector<std::string>, http::ServerError> start();

    /**
     * @brief Announces leaving, waits two intervals, finishes what runs and closes the ports.
     * @param limit The longest wait for what runs, in milliseconds.
     * @return True when everything was answered.
     */
    bool leaveAndStop(base::Millis limit);

    /**
     * @brief Reports what all stand-ins have seen.
     * @return A JSON array, one object for each.
     */
    [[nodiscard]] nlohmann::json stats() const;

private:
    Timer m_timer;
    http::Client m_client;
    Surroundings m_surroundings;
    std::vector<std::shared_ptr<Upstream>> m_upstreams;
};

} // namespace bamboomoor::fakes
