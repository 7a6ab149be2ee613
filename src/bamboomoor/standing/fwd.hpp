/**
 * Forward declarations of the standing module.
 */
#pragma once

namespace bamboomoor::standing
{
class PermitAuthority;
class UpstreamTracker;
struct Run;
struct UpstreamSignal;
} // namespace bamboomoor::standing
