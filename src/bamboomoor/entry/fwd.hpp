/**
 * Forward declarations of the entry module.
 */
#pragma once

namespace bamboomoor::entry
{
class InForce;
class UpstreamBook;
class LeaderHint;
class Desk;
class Metrics;
struct Exchange;
struct Generation;
struct Target;
struct DeskOptions;
} // namespace bamboomoor::entry
