/**
 * Implements the search for free addresses.
 */
#include "loopback.hpp"

#include <boost/test/unit_test.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace control_test
{

std::string freeAddress()
{
    const int listener = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    BOOST_REQUIRE(bind(listener, reinterpret_cast<sockaddr *>(&address), size) == 0);
    getsockname(listener, reinterpret_cast<sockaddr *>(&address), &size);
    close(listener);
    return "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
}

} // namespace control_test
