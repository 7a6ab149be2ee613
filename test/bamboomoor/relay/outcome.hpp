/**
 * The result counters of a simulated load.
 */
#pragma once

namespace bamboomoor::relay::test
{

/** @brief Callers by result; those still being served at the end of a simulation count only in `requested`. */
struct Outcome {
    int requested = 0;
    int inTime = 0;
    int late = 0;
    int refused = 0;
};

} // namespace bamboomoor::relay::test
