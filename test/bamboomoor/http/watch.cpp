/**
 * Tests of the watch over connections.
 */
#include "bamboomoor/http/internal/watch.hpp"
#include "bamboomoor/http/internal/tally.hpp"

#include <boost/test/unit_test.hpp>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <memory>

using namespace bamboomoor;
using http::internal::Phase;

BOOST_AUTO_TEST_SUITE(watch)

// Passed on, such a request would run without an answer for its caller.
BOOST_AUTO_TEST_CASE(a_request_that_begins_on_a_connection_just_closed_as_idle_is_told_apart)
{
    std::array<int, 2> sockets{};
    BOOST_REQUIRE(socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0, sockets.data()) == 0);
    http::internal::Watch watch({{60'000}, {20'000}}, std::make_shared<http::internal::Tally>());
    const auto id = watch.add(sockets[0]);
    watch.beginRequest(id, nullptr);
    watch.move(id, Phase::Handling);
    watch.move(id, Phase::Idle);
    BOOST_TEST(!watch.isShutDown(id));
    watch.closeIdle();
    char byte = 0;
    BOOST_TEST(read(sockets[1], &byte, 1) == 0);
    watch.beginRequest(id, nullptr);
    watch.move(id, Phase::Handling);
    BOOST_TEST(watch.isShutDown(id));
    watch.remove(id);
    close(sockets[0]);
    close(sockets[1]);
}

BOOST_AUTO_TEST_SUITE_END()
