/**
 * What the callers of a played load got.
 */
#pragma once

namespace bamboomoor::relay::test
{

/** @brief Callers by what they got; those that are still served at the end of a play are in none but asked. */
struct Outcome {
    int asked = 0;
    int inTime = 0;
    int late = 0;
    int refused = 0;
};

} // namespace bamboomoor::relay::test
