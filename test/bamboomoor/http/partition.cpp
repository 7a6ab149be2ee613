/**
 * Tests with partitions of real connections: which of them a silence outlasts, and which the kernel gives up.
 */
#include "support.hpp"

#include "bamboomoor/http/internal/keepalive.hpp"
#include "bamboomoor/http/internal/listen.hpp"
#include "fakes/packetloss.hpp"

#include <absl/synchronization/mutex.h>
#include <boost/test/unit_test.hpp>
#include <poll.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

using namespace bamboomoor;
using namespace bamboomoor::http::test;
using fakes::PacketLoss;
using fakes::socketsAt;
using http::EndKind;

namespace
{

constexpr int OK = 200;
constexpr base::Millis LONG_TIMEOUT{60'000};
// A sound upstream, or the path to it, may be silent for so long.
constexpr base::Millis PAUSE{1'300};
// Time to notice, beyond what the options say: clocks of the kernel and of a busy machine.
constexpr base::Millis SLACK{3'000};
constexpr std::size_t LARGE_BODY = 16'777'216;

const http::internal::KeepAlive PROBES = http::internal::UPSTREAM_KEEP_ALIVE;
const base::Millis NOTICED = PROBES.idle + PROBES.interval * PROBES.probes;

void sleepFor(base::Millis span)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(span.count));
}

http::Call callTo(const std::string &address)
{
    http::Call call;
    call.url = "http://" + address + "/";
    call.firstByteTimeout = LONG_TIMEOUT;
    call.progressTimeout = LONG_TIMEOUT;
    call.freshConnection = false;
    return call;
}

/** @brief Waits for a connection at a socket that does not block and takes it. */
int acceptOn(int listener)
{
    constexpr int LIMIT_MS = 10'000;
    pollfd polled{listener, POLLIN, 0};
    poll(&polled, 1, LIMIT_MS);
    return accept(listener, nullptr, nullptr);
}

/** @brief Reads until a number of bytes has arrived. @return False if the connection ended before. */
bool readAtLeast(int socket, std::size_t count)
{
    std::array<char, 65'536> buf{};
    for (std::size_t n = 0; n < count;) {
        const ssize_t got = recv(socket, buf.data(), buf.size(), 0);
        if (got <= 0) {
            return false;
        }
        n += static_cast<std::size_t>(got);
    }
    return true;
}

/** @brief An upstream that answers when told. */
class Fixture
{
public:
    std::shared_ptr<http::Responder> awaitRequest()
    {
        const absl::MutexLock lock(&m_mutex);
        const auto arrived = [this] {
            m_mutex.AssertReaderHeld();
            return !m_requests.empty();
        };
        BOOST_REQUIRE(m_mutex.AwaitWithTimeout(absl::Condition(&arrived), absl::Seconds(10)));
        auto it = std::move(m_requests.back());
        m_requests.pop_back();
        return it;
    }

    [[nodiscard]] int port() const
    {
        return std::stoi(address.substr(address.rfind(':') + 1));
    }

    std::shared_ptr<Collector> start(http::Call call)
    {
        auto collector = std::make_shared<Collector>();
        client.start(std::move(call), collector);
        return collector;
    }

private:
    absl::Mutex m_mutex;
    std::vector<std::shared_ptr<http::Responder>> m_requests ABSL_GUARDED_BY(m_mutex);

    FunctionHandler m_handler{[this](const http::Request & /*request*/, std::shared_ptr<http::Responder> responder) {
        const absl::MutexLock lock(&m_mutex);
        m_requests.push_back(std::move(responder));
    }};

public:
    http::Server server{m_handler};
    const std::string address = server.start("127.0.0.1:0").value();
    http::Client client;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(partition, Fixture)

BOOST_AUTO_TEST_CASE(a_sound_upstream_that_computes_or_pauses_for_longer_than_probes_take_is_not_cut)
{
    const auto computing = start(callTo(address));
    const auto answer = awaitRequest();
    const auto streaming = start(callTo(address));
    const auto stream = awaitRequest();
    stream->begin(OK, {});
    stream->write("begun");
    streaming->awaitHead();
    sleepFor(NOTICED + SLACK / 2);
    answer->respond({OK, {}, "late"});
    stream->write(" and ended");
    stream->end();
    BOOST_TEST((computing->await().kind == EndKind::Complete));
    BOOST_TEST(computing->body() == "late");
    BOOST_TEST((streaming->await().kind == EndKind::Complete));
    BOOST_TEST(streaming->body() == "begun and ended");
}

// Bytes that wait for a reader are not acknowledged, which a TCP_USER_TIMEOUT would take for the death of the reader.
BOOST_AUTO_TEST_CASE(a_sound_upstream_that_reads_a_long_body_late_is_not_cut)
{
    const auto listening = http::internal::listenOn("127.0.0.1:0").value();
    http::Call call = callTo(listening.address);
    call.method = "POST";
    call.body.assign(LARGE_BODY, 'x');
    const auto collector = start(std::move(call));
    const int connection = acceptOn(listening.socket);
    sleepFor(NOTICED + SLACK / 2);
    BOOST_TEST(readAtLeast(connection, LARGE_BODY));
    const std::string_view whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    BOOST_TEST(::send(connection, whole.data(), whole.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(whole.size()));
    BOOST_TEST((collector->await().kind == EndKind::Complete));
    close(connection);
    close(listening.socket);
}

BOOST_AUTO_TEST_CASE(a_partition_of_a_second_cuts_no_request_that_is_sent_runs_or_streams_in_it)
{
    const auto running = start(callTo(address));
    const auto answer = awaitRequest();
    const auto streaming = start(callTo(address));
    const auto stream = awaitRequest();
    stream->begin(OK, {});
    stream->write("begun");
    streaming->awaitHead();
    const auto first = start(callTo(address));
    awaitRequest()->respond({OK, {}, "first"});
    BOOST_TEST((first->await().kind == EndKind::Complete));
    const std::size_t connections = socketsAt(port()).size();
    {
        const PacketLoss loss(socketsAt(port()));
        // Goes out over the pooled connection and is not acknowledged.
        const auto sent = start(callTo(address));
        answer->respond({OK, {}, "answered"});
        stream->write(" and ended");
        sleepFor(PAUSE);
        BOOST_TEST(socketsAt(port()).size() == connections);
        loss.heal();
        stream->end();
        awaitRequest()->respond({OK, {}, "sent"});
        BOOST_TEST((sent->await().kind == EndKind::Complete));
        BOOST_TEST(sent->body() == "sent");
    }
    BOOST_TEST((running->await().kind == EndKind::Complete));
    BOOST_TEST((streaming->await().kind == EndKind::Complete));
    BOOST_TEST(streaming->body() == "begun and ended");
}

BOOST_AUTO_TEST_CASE(a_connection_lost_while_its_upstream_computes_or_while_idle_is_given_up_in_time)
{
    const auto idle = start(callTo(address));
    awaitRequest()->respond({OK, {}, ""});
    idle->await();
    const std::size_t pooled = socketsAt(port()).size();
    http::Call fresh = callTo(address);
    fresh.freshConnection = true;
    const auto computing = start(std::move(fresh));
    const auto answer = awaitRequest();
    const PacketLoss loss(socketsAt(port()));
    BOOST_TEST(socketsAt(port()).size() > pooled);
    const base::SteadyClock clock;
    const base::Millis begun = clock.now();
    BOOST_TEST((computing->await().kind == EndKind::ResetBeforeAnswer));
    const base::Millis taken = clock.now() - begun;
    BOOST_TEST(taken.count >= (PROBES.interval * (PROBES.probes - 1)).count);
    BOOST_TEST(taken.count <= (NOTICED + SLACK).count);
    // The pooled connection may have shown its last sign of life later; by then, no call finds it in the pool.
    sleepFor(std::max(begun + NOTICED + SLACK - clock.now(), base::Millis{0}));
    const auto next = start(callTo(address));
    awaitRequest()->respond({OK, {}, "next"});
    BOOST_TEST((next->await().kind == EndKind::Complete));
    answer->abort();
}

BOOST_AUTO_TEST_SUITE_END()
