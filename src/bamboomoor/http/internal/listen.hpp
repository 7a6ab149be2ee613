/**
 * Listening sockets.
 */
#pragma once

#include "bamboomoor/base/outcome.hpp"
#include "bamboomoor/http/server.hpp"

#include <string>

namespace bamboomoor::http::internal
{

/** @brief A socket that listens. */
struct ListeningSocket {
    int socket = -1;
    // With the port in use.
    std::string address;
};

/**
 * @brief Opens a listening socket.
 * @param address IP:PORT or [IP]:PORT; port 0 takes a free port.
 * @return The socket, not blocking; or why it cannot be had.
 */
[[nodiscard]] base::Result<ListeningSocket, ServerError> listenOn(const std::string &address);

/**
 * @brief Lets a listening socket drop the first packet of every further connection, while handshakes under way end.
 * A caller whose packet was dropped sends it again a second later, and is refused once the socket is closed.
 * @param socket A listening socket.
 */
void dropNewConnections(int socket) noexcept;

/** @brief Raises the process's bound on open files to the highest that is allowed. */
void raiseFileLimit() noexcept;

} // namespace bamboomoor::http::internal
