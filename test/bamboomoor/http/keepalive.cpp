/**
 * Tests of what notices a connection that has gone silent: the options of sockets, and calls over a pooled connection.
 */
#include "rawserver.hpp"
#include "support.hpp"

#include "bamboomoor/http/internal/keepalive.hpp"

#include <boost/test/unit_test.hpp>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <chrono>
#include <string>
#include <thread>

using namespace bamboomoor;
using namespace bamboomoor::http::test;
using http::EndKind;

namespace
{

constexpr int MAX_SOCKET = 1'024;
constexpr const char *WHOLE = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

int portOf(const std::string &address)
{
    return std::stoi(address.substr(address.rfind(':') + 1));
}

enum class End { Local, Remote };

/** @brief Finds the connected socket of this process whose local or remote port is the given one. */
int socketAt(int port, End end)
{
    for (int n = 0; n < MAX_SOCKET; ++n) {
        sockaddr_in local{};
        sockaddr_in remote{};
        socklen_t size = sizeof(local);
        socklen_t remoteSize = sizeof(remote);
        const bool connected = getsockname(n, reinterpret_cast<sockaddr *>(&local), &size) == 0
            && getpeername(n, reinterpret_cast<sockaddr *>(&remote), &remoteSize) == 0 && local.sin_family == AF_INET;
        if (connected && ntohs(end == End::Local ? local.sin_port : remote.sin_port) == port) {
            return n;
        }
    }
    return -1;
}

int optionOf(int socket, int level, int name)
{
    int value = -1;
    socklen_t size = sizeof(value);
    return getsockopt(socket, level, name, &value, &size) == 0 ? value : -1;
}

void checkOptions(int socket, const http::internal::KeepAlive &wanted)
{
    BOOST_REQUIRE(socket >= 0);
    BOOST_TEST(optionOf(socket, SOL_SOCKET, SO_KEEPALIVE) == 1);
    BOOST_TEST(optionOf(socket, IPPROTO_TCP, TCP_KEEPIDLE) == wanted.idle.count / 1'000);
    BOOST_TEST(optionOf(socket, IPPROTO_TCP, TCP_KEEPINTVL) == wanted.interval.count / 1'000);
    BOOST_TEST(optionOf(socket, IPPROTO_TCP, TCP_KEEPCNT) == wanted.probes);
    BOOST_TEST(optionOf(socket, IPPROTO_TCP, TCP_USER_TIMEOUT) == 0);
}

http::Call pooledCallTo(const std::string &url)
{
    http::Call call;
    call.url = url;
    call.firstByteTimeout = {300};
    call.freshConnection = false;
    return call;
}

class Answerer final : public http::Handler
{
public:
    void handle(http::Request /*request*/, std::shared_ptr<http::Responder> responder) override
    {
        responder->respond({200, {}, "ok"});
    }
};

} // namespace

BOOST_AUTO_TEST_CASE(a_connection_to_an_upstream_that_goes_silent_while_idle_is_noticed_by_probes)
{
    http::Client client;
    RawServer server(WHOLE, Then::Hold);
    const std::string url = server.url();
    auto collector = std::make_shared<Collector>();
    client.start(pooledCallTo(url), collector);
    BOOST_REQUIRE((collector->await().kind == EndKind::Complete));
    checkOptions(socketAt(portOf(url.substr(0, url.size() - 1)), End::Remote), http::internal::UPSTREAM_KEEP_ALIVE);
}

BOOST_AUTO_TEST_CASE(a_connection_of_a_caller_that_goes_silent_while_idle_is_noticed_by_probes)
{
    Answerer answerer;
    http::Server server(answerer);
    const std::string address = server.start("127.0.0.1:0").value();
    http::Client client;
    auto collector = std::make_shared<Collector>();
    client.start(pooledCallTo("http://" + address + "/"), collector);
    BOOST_REQUIRE((collector->await().kind == EndKind::Complete));
    checkOptions(socketAt(portOf(address), End::Local), http::internal::CALLER_KEEP_ALIVE);
}

BOOST_AUTO_TEST_CASE(probes_outlast_a_sound_pause_and_end_before_the_pool_forgets_the_connection)
{
    const http::internal::KeepAlive it = http::internal::UPSTREAM_KEEP_ALIVE;
    const base::Millis noticed = it.idle + it.interval * it.probes;
    BOOST_TEST(noticed.count > 4'000);
    BOOST_TEST(noticed.count < http::ClientOptions{}.maxIdleAge.count);
}

BOOST_AUTO_TEST_SUITE(silentpooled)

BOOST_AUTO_TEST_CASE(a_call_over_a_pooled_connection_gone_silent_ends_in_time_and_the_next_takes_a_new_connection)
{
    http::Client client;
    RawServer server(WHOLE, Then::Hold);
    auto first = std::make_shared<Collector>();
    client.start(pooledCallTo(server.url()), first);
    BOOST_REQUIRE((first->await().kind == EndKind::Complete));
    server.change("", Then::Hold);
    auto silent = std::make_shared<Collector>();
    client.start(pooledCallTo(server.url()), silent);
    BOOST_TEST((silent->await().kind == EndKind::Silent));
    BOOST_TEST(silent->await().bytesSent);
    server.change(WHOLE, Then::Hold);
    auto next = std::make_shared<Collector>();
    client.start(pooledCallTo(server.url()), next);
    BOOST_TEST((next->await().kind == EndKind::Complete));
    BOOST_TEST(server.closedByCaller() == 1);
}

BOOST_AUTO_TEST_SUITE_END()
