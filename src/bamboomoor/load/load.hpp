/**
 * The `bamboomoor load` tool: sends completions to entries at a given rate and reports what came back.
 */
#pragma once

#include "bamboomoor/load/options.hpp"
#include "bamboomoor/load/report.hpp"

namespace bamboomoor::load
{

/**
 * @brief Sends all requests of a run and waits for their answers.
 * @param options The run.
 * @return What was measured.
 */
[[nodiscard]] Report measure(const LoadOptions &options);

/**
 * @brief Runs the tool and prints its report on standard output.
 * @param argc The number of arguments.
 * @param argv The arguments; the first is the program's name.
 * @return 0 when the run was made, 2 when the arguments are unusable.
 */
[[nodiscard]] int runLoad(int argc, const char **argv);

} // namespace bamboomoor::load
