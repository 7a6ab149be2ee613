/**
 * Tests of what notices a connection between daemons that has gone silent: the options of its sockets, and a peer that
 * answers no more.
 */
#include "bamboomoor/peer/channel.hpp"
#include "bamboomoor/peer/client.hpp"
#include "bamboomoor/peer/server.hpp"
#include "fakes/packetloss.hpp"

#include <absl/synchronization/mutex.h>
#include <absl/synchronization/notification.h>
#include <boost/test/unit_test.hpp>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <optional>
#include <set>
#include <string>
#include <vector>

using namespace bamboomoor;
using fakes::portOf;

namespace
{

constexpr int MAX_SOCKET = 1'024;
constexpr base::Millis CALL_TIMEOUT{300};
constexpr base::Millis LONG_TIMEOUT{10'000};
// A sound peer, or the path to it, may be silent for so long.
constexpr base::Millis PAUSE{1'300};

/** @brief Answers reads of the history, or keeps them. */
class Peer final : public peer::Handler
{
public:
    void deliver(const peer::wire::Envelope & /*envelope*/) override
    {
    }
    void propose(const peer::wire::ProposeRequest & /*request*/, peer::Answer<peer::wire::ProposeReply> answer) override
    {
        answer({});
    }
    void freshen(const peer::wire::FreshenRequest & /*request*/, peer::Answer<peer::wire::FreshenReply> answer) override
    {
        answer({});
    }
    void fetchPiece(const peer::wire::PieceRequest & /*request*/, peer::Answer<peer::wire::PieceReply> answer) override
    {
        answer({});
    }
    void witness(const peer::wire::WitnessRequest & /*request*/, peer::Answer<peer::wire::WitnessReply> answer) override
    {
        answer({});
    }
    void ask(const peer::wire::BudgetAsk & /*request*/, peer::Answer<peer::wire::BudgetReply> answer) override
    {
        answer({});
    }
    void syncUpstreams(
        const peer::wire::UpstreamSync & /*request*/, peer::Answer<peer::wire::UpstreamSync> answer) override
    {
        answer({});
    }
    void history(const peer::wire::HistoryRequest & /*request*/, peer::Answer<peer::wire::HistoryReply> answer) override
    {
        const absl::MutexLock lock(&m_mutex);
        if (m_silent) {
            m_kept.push_back(std::move(answer));
        } else {
            answer({});
        }
    }
    void reportDemand(
        const peer::wire::DemandReport & /*request*/, peer::Answer<peer::wire::DemandReply> answer) override
    {
        answer({});
    }
    void join(const peer::wire::JoinRequest & /*request*/, peer::Answer<peer::wire::JoinReply> answer) override
    {
        answer({});
    }
    void resolveOrigin(
        const peer::wire::OriginRequest & /*request*/, peer::Answer<peer::wire::OriginReply> answer) override
    {
        answer({});
    }

    void fallSilent()
    {
        const absl::MutexLock lock(&m_mutex);
        m_silent = true;
    }

    void goOn()
    {
        const absl::MutexLock lock(&m_mutex);
        m_silent = false;
        for (const auto &it : m_kept) {
            it({});
        }
        m_kept.clear();
    }

private:
    absl::Mutex m_mutex;
    bool m_silent = false;
    std::vector<peer::Answer<peer::wire::HistoryReply>> m_kept;
};

/** @brief Takes a port that is free now. */
int freePort()
{
    const int listener = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    BOOST_REQUIRE(bind(listener, reinterpret_cast<sockaddr *>(&address), size) == 0);
    getsockname(listener, reinterpret_cast<sockaddr *>(&address), &size);
    close(listener);
    return ntohs(address.sin_port);
}

enum class End { Local, Remote };

/** @brief Lists the connected sockets of this process whose local or remote port is the given one. */
std::vector<int> socketsAt(int port, End end)
{
    std::vector<int> sockets;
    for (int n = 0; n < MAX_SOCKET; ++n) {
        sockaddr_storage local{};
        sockaddr_storage remote{};
        socklen_t size = sizeof(local);
        socklen_t remoteSize = sizeof(remote);
        const bool connected = getsockname(n, reinterpret_cast<sockaddr *>(&local), &size) == 0
            && getpeername(n, reinterpret_cast<sockaddr *>(&remote), &remoteSize) == 0;
        if (connected && portOf(end == End::Local ? local : remote) == port) {
            sockets.push_back(n);
        }
    }
    return sockets;
}

/** @brief Lists the ports of the callers that are connected to a port of this process. */
std::set<int> callersAt(int port)
{
    std::set<int> ports;
    for (const int it : socketsAt(port, End::Local)) {
        sockaddr_storage remote{};
        socklen_t size = sizeof(remote);
        if (getpeername(it, reinterpret_cast<sockaddr *>(&remote), &size) == 0) {
            ports.insert(portOf(remote));
        }
    }
    return ports;
}

int userTimeoutOf(int socket)
{
    int value = -1;
    socklen_t size = sizeof(value);
    return getsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &value, &size) == 0 ? value : -1;
}

struct Fixture {
    Peer handler;
    peer::Server server{handler};
    const int port = freePort();
    peer::Client client{"127.0.0.1:" + std::to_string(port)};

    Fixture()
    {
        BOOST_REQUIRE(server.start("127.0.0.1:" + std::to_string(port)).has_value());
    }

    ~Fixture()
    {
        handler.goOn();
        client.stop();
        server.stop();
    }

    bool ask()
    {
        absl::Notification done;
        bool answered = false;
        client.call(
            peer::wire::HistoryRequest(), CALL_TIMEOUT, [&](const std::optional<peer::wire::HistoryReply> &reply) {
                answered = reply.has_value();
                done.Notify();
            });
        done.WaitForNotification();
        return answered;
    }

    bool join()
    {
        absl::Notification done;
        bool answered = false;
        client.call(peer::wire::JoinRequest(), CALL_TIMEOUT, [&](const std::optional<peer::wire::JoinReply> &reply) {
            answered = reply.has_value();
            done.Notify();
        });
        done.WaitForNotification();
        return answered;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(silence, Fixture)

BOOST_AUTO_TEST_CASE(connections_between_daemons_outlast_a_pause_of_seconds_and_a_server_closes_silent_ones)
{
    BOOST_REQUIRE(ask());
    const std::vector<int> accepted = socketsAt(port, End::Local);
    const std::vector<int> opened = socketsAt(port, End::Remote);
    BOOST_REQUIRE(accepted.size() == 1U);
    BOOST_REQUIRE(opened.size() == 1U);
    BOOST_TEST(userTimeoutOf(opened.front()) == 0);
    BOOST_TEST(userTimeoutOf(accepted.front()) == peer::SILENT_PEER_TIMEOUT.count);
    BOOST_TEST(peer::SILENT_PEER_TIMEOUT.count > 4'000);
}

BOOST_AUTO_TEST_CASE(a_partition_of_a_second_cuts_no_call_between_daemons_and_no_connection)
{
    BOOST_REQUIRE(ask());
    const std::set<int> before = callersAt(port);
    handler.fallSilent();
    absl::Notification running;
    absl::Notification sent;
    int answered = 0;
    const auto call = [&](absl::Notification &done) {
        client.call(
            peer::wire::HistoryRequest(), LONG_TIMEOUT, [&](const std::optional<peer::wire::HistoryReply> &reply) {
                answered += reply ? 1 : 0;
                done.Notify();
            });
    };
    call(running);
    absl::SleepFor(absl::Milliseconds(100));
    const fakes::PacketLoss loss(fakes::socketsAt(port));
    handler.goOn();
    call(sent);
    absl::SleepFor(absl::Milliseconds(PAUSE.count));
    loss.heal();
    running.WaitForNotification();
    sent.WaitForNotification();
    BOOST_TEST(answered == 2);
    BOOST_TEST((callersAt(port) == before));
}

BOOST_AUTO_TEST_CASE(a_lost_connection_costs_one_timeout_and_the_next_call_takes_a_new_one)
{
    BOOST_REQUIRE(ask());
    const fakes::PacketLoss loss(fakes::socketsAt(port));
    BOOST_TEST(!ask());
    BOOST_TEST(ask());
    loss.heal();
}

BOOST_AUTO_TEST_CASE(a_silent_peer_costs_one_timeout_and_the_next_call_takes_a_new_connection)
{
    BOOST_REQUIRE(ask());
    handler.fallSilent();
    BOOST_TEST(!ask());
    const std::set<int> before = callersAt(port);
    BOOST_TEST(before.size() == 1U);
    handler.goOn();
    BOOST_TEST(ask());
    const std::set<int> after = callersAt(port);
    BOOST_TEST(!std::includes(before.begin(), before.end(), after.begin(), after.end()));
}

BOOST_AUTO_TEST_CASE(a_late_answer_does_not_cost_a_connection_on_which_others_arrive)
{
    BOOST_REQUIRE(ask());
    handler.fallSilent();
    absl::Notification late;
    client.call(peer::wire::HistoryRequest(), CALL_TIMEOUT, [&late](const std::optional<peer::wire::HistoryReply> &) {
        late.Notify();
    });
    while (!late.WaitForNotificationWithTimeout(absl::Milliseconds(50))) {
        BOOST_TEST(join());
    }
    const std::set<int> before = callersAt(port);
    BOOST_TEST(before.size() == 1U);
    BOOST_TEST(join());
    BOOST_TEST((callersAt(port) == before));
}

BOOST_AUTO_TEST_SUITE_END()
