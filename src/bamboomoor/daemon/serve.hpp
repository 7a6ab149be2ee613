/**
 * The command `bamboomoor serve`: one daemon in the foreground.
 */
#pragma once

namespace bamboomoor::daemon
{

/**
 * @brief Runs a daemon until SIGTERM, SIGINT or an operator's drain.
 * @param argc Number of arguments, the command's name included.
 * @param argv The arguments.
 * @return 0 after a drain that cut nothing, 1 after a failure, 2 for wrong usage.
 */
[[nodiscard]] int runServe(int argc, const char **argv);

} // namespace bamboomoor::daemon
