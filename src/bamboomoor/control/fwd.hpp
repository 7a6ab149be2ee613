/**
 * Forward declarations of the control module.
 */
#pragma once

namespace bamboomoor::control
{
class VoterDesk;
class VoterWatcher;
class PeerBook;
struct VoterOptions;
} // namespace bamboomoor::control
