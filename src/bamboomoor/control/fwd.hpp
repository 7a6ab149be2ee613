/**
 * Forward declarations of the control module.
 */
#pragma once

namespace bamboomoor::control
{
class VoterThread;
class VoterObserver;
class PeerRegistry;
struct VoterOptions;
} // namespace bamboomoor::control
