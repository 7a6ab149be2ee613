/**
 * Forward declarations of the peer module.
 */
#pragma once

namespace bamboomoor::peer
{
class Handler;
class Server;
class Client;
class ClientPool;
} // namespace bamboomoor::peer
