/**
 * Runs a daemon as a process: settings, signals, reload, and graceful shutdown.
 */
#pragma once

#include "bamboomoor/base/outcome.hpp"
#include "bamboomoor/control/peerregistry.hpp"
#include "bamboomoor/gateway/dialect.hpp"
#include "bamboomoor/http/memoryplan.hpp"
#include "bamboomoor/http/server.hpp"
#include "bamboomoor/membership/registry.hpp"
#include "bamboomoor/settings/settings.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace bamboomoor::gateway
{

/** @brief Interface of a daemon that runProcess() controls. */
class Process
{
public:
    virtual ~Process() = default;

    /** @brief Starts all threads and listens. @return Success, or a one-line error. */
    [[nodiscard]] virtual base::Result<void, std::string> start() = 0;

    /** @brief Rejects new work and finishes what is in progress. @return True if nothing was cut off. */
    virtual bool drain() = 0;

    /** @brief Stops and joins all threads. */
    virtual void stop() = 0;

    /** @brief Applies those changed settings that can change at run time. @param settings The settings. */
    virtual void reload(const settings::Settings &settings) = 0;
};

// Maximum number of caller connections of an entry; the remaining file descriptors serve upstreams, peers and files.
inline constexpr unsigned MAX_CALLERS = 2'500;

/**
 * @brief Returns the names of the configured seeds.
 * @param settings The settings.
 * @return Member names without an identity, which contain the peer addresses of the seeds.
 */
[[nodiscard]] std::vector<std::string> seedNames(const settings::Settings &settings);

/** @brief Identifies this start of the process. @return A number that grows with every start. */
[[nodiscard]] std::uint64_t incarnation();

/**
 * @brief Returns the peer addresses of the configured seeds.
 * @param settings The settings.
 * @return The names of seedNames() with their addresses.
 */
[[nodiscard]] std::vector<control::VoterAddress> seedAddresses(const settings::Settings &settings);

/**
 * @brief Returns the options of the upstream registry.
 * @param settings The settings.
 */
[[nodiscard]] membership::RegistryOptions registryOptions(const settings::Settings &settings);

/**
 * @brief Returns the limits of an HTTP server for operators, upstreams or the load balancer.
 * @param settings The settings, for the memory of the machine.
 */
[[nodiscard]] http::ServerOptions controlServerOptions(const settings::Settings &settings);

/**
 * @brief Shares out the memory of this machine.
 * @param settings The settings; they may name another size than the machine reports.
 * @param role The part that the process plays.
 */
[[nodiscard]] http::MemoryPlan memoryPlan(const settings::Settings &settings, http::MemoryRole role);

/** @brief Makes the memory of request bodies, for one or several servers. @param plan The shares. */
[[nodiscard]] std::shared_ptr<http::RequestMemory> requestMemory(const http::MemoryPlan &plan);

/**
 * @brief Runs `bamboomoor entry` or `bamboomoor control` until SIGTERM or SIGINT.
 * @param argc Number of arguments, including the command name.
 * @param argv The arguments.
 * @param dialects Translate messages of the infrastructure.
 * @return 0 after a drain that cut nothing off, 1 after a failure, 2 for incorrect usage.
 */
[[nodiscard]] int runProcess(int argc, const char **argv, const Dialects &dialects);

} // namespace bamboomoor::gateway
