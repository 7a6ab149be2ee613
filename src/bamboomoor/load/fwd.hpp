/**
 * Forward declarations of the load module.
 */
#pragma once

namespace bamboomoor::load
{
struct LoadOptions;
struct Arrival;
struct Sample;
class Report;
} // namespace bamboomoor::load
