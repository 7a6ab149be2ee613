/**
 * Start and stop of all stand-ins of a process.
 */
#include "fakes/fleet.hpp"

#include "fakes/engine.hpp"
#include "fakes/service.hpp"

#include <atomic>
#include <chrono>
#include <thread>
#include <utility>

namespace bamboomoor::fakes
{

Fleet::Fleet(FleetOptions options)
    : m_surroundings{std::move(options), m_timer, m_client}
{
    unsigned index = 0;
    for (unsigned n = 0; n < m_surroundings.options.engines; ++n) {
        m_upstreams.push_back(std::make_shared<Engine>(m_surroundings, index++));
    }
    for (unsigned n = 0; n < m_surroundings.options.services; ++n) {
        m_upstreams.push_back(std::make_shared<Service>(m_surroundings, index++));
    }
}

Fleet::~Fleet()
{
    // Nothing may run on the timer while the stand-ins go.
    m_timer.stop();
    for (const auto &it : m_upstreams) {
        it->stop({0});
    }
    m_client.stop();
}

base::Result<std::vector<std::string>, http::ServerError> Fleet::start()
{
    std::vector<std::string> addresses;
    for (const auto &it : m_upstreams) {
        auto started = it->start();
        if (started.has_error()) {
            return base::failure(started.error());
        }
        addresses.push_back(started.value());
    }
    return addresses;
}

bool Fleet::leaveAndStop(base::Millis limit)
{
    for (const auto &it : m_upstreams) {
        it->leave();
    }
    const base::Millis notice = m_surroundings.options.announceInterval * 2;
    std::this_thread::sleep_for(std::chrono::milliseconds(notice.count));
    std::atomic<bool> answered = true;
    std::vector<std::thread> stopping;
    stopping.reserve(m_upstreams.size());
    for (const auto &it : m_upstreams) {
        stopping.emplace_back([&answered, &it, limit] {
            if (!it->stop(limit)) {
                answered = false;
            }
        });
    }
    for (std::thread &it : stopping) {
        it.join();
    }
    return answered;
}

nlohmann::json Fleet::stats() const
{
    auto list = nlohmann::json::array();
    for (const auto &it : m_upstreams) {
        list.push_back(it->stats());
    }
    return list;
}

} // namespace bamboomoor::fakes
