/**
 * Forward declarations of the daemon module.
 */
#pragma once

namespace bamboomoor::daemon
{
class Daemon;
class Front;
class OperatorDesk;
class PeerService;
class Voter;
} // namespace bamboomoor::daemon
