/**
 * The life of a process of an infrastructure: settings, signals, reload, and the graceful end.
 */
#pragma once

#include "bamboomoor/base/outcome.hpp"
#include "bamboomoor/control/peerbook.hpp"
#include "bamboomoor/gateway/dialect.hpp"
#include "bamboomoor/http/server.hpp"
#include "bamboomoor/membership/registry.hpp"
#include "bamboomoor/settings/settings.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace bamboomoor::gateway
{

/** @brief A daemon as its process sees it. */
class Process
{
public:
    virtual ~Process() = default;

    /** @brief Starts all threads and listens. @return Nothing, or one line that says what failed. */
    [[nodiscard]] virtual base::Result<void, std::string> start() = 0;

    /** @brief Finishes what is in progress and takes nothing new. @return True when nothing was cut. */
    virtual bool drain() = 0;

    /** @brief Ends all threads. */
    virtual void stop() = 0;

    /** @brief Takes changed settings, as far as they can change while it runs. @param settings The settings. */
    virtual void reload(const settings::Settings &settings) = 0;
};

// Callers' connections of an entry; the rest of its descriptors is for upstreams, peers and files.
inline constexpr unsigned MAX_CALLERS = 2'500;

/**
 * @brief Names the seeds of the settings.
 * @param settings The settings.
 * @return Names without an identity, which hold the peer addresses of the seeds.
 */
[[nodiscard]] std::vector<std::string> seedNames(const settings::Settings &settings);

/** @brief Tells apart the starts of this process. @return A number that later starts exceed. */
[[nodiscard]] std::uint64_t incarnation();

/**
 * @brief Finds the peer addresses of the seeds.
 * @param settings The settings.
 * @return The names of seedNames() with their addresses.
 */
[[nodiscard]] std::vector<control::VoterAddress> seedAddresses(const settings::Settings &settings);

/**
 * @brief Makes the options of a registry of upstreams.
 * @param settings The settings.
 * @return The options.
 */
[[nodiscard]] membership::RegistryOptions registryOptions(const settings::Settings &settings);

/**
 * @brief Makes the bounds of a server for operators, upstreams or the balancer.
 * @return The bounds.
 */
[[nodiscard]] http::ServerOptions controlServerOptions();

/**
 * @brief Runs `bamboomoor entry` or `bamboomoor control` until SIGTERM or SIGINT.
 * @param argc Number of arguments, the command's name included.
 * @param argv The arguments.
 * @param dialects Translate to the infrastructure.
 * @return 0 after a drain that cut nothing, 1 after a failure, 2 for wrong usage.
 */
[[nodiscard]] int runProcess(int argc, const char **argv, const Dialects &dialects);

} // namespace bamboomoor::gateway
