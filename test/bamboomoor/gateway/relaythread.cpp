/**
 * Tests of the thread of relayed requests with an upstream in the same process: what an accepted request waits for is
 * not lost to a full ring or a stop.
 */
#include "bamboomoor/gateway/relaythread.hpp"
#include "bamboomoor/entry/heldcaller.hpp"

#include <boost/test/unit_test.hpp>

#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

using namespace bamboomoor;
using entry::test::HeldCaller;

namespace
{

constexpr std::size_t RING_SIZE = 4;
constexpr std::size_t LONG_RING = 1'024;
// More than the thread takes before it looks whether it stops.
constexpr int CROWD = 600;
constexpr absl::Duration SETTLING = absl::Milliseconds(500);
constexpr int MAX_TRIES = 50;
constexpr base::Millis ROUTE_TIMEOUT{8'000};
constexpr int OK = 200;
constexpr int UNAVAILABLE = 503;
constexpr const char *FOREIGN = "Foreign";

/** @brief Knows requests by their path only. */
class Callers final : public gateway::CallerDialect
{
public:
    [[nodiscard]] base::Result<relay::Request, http::Response> read(http::Request request) const override
    {
        relay::Request out;
        out.host = "h";
        out.method = request.method;
        out.path = request.path;
        return out;
    }

    [[nodiscard]] http::Response refusal(
        const relay::LocalReply &refused, const std::string & /*requestId*/) const override
    {
        return {UNAVAILABLE, {}, std::string(relay::REASON_NAMES.name(refused.reason))};
    }
};

/** @brief Takes each response for the right one unless it names another request. */
class Upstreams final : public gateway::UpstreamDialect
{
public:
    [[nodiscard]] http::Call call(const relay::Attempt &attempt, const relay::Request &request) const override
    {
        http::Call out;
        out.method = request.method;
        out.url = "http://" + attempt.address + request.path;
        return out;
    }

    [[nodiscard]] relay::ResponseHead readHead(
        int status, http::Headers headers, const std::string & /*requestId*/) const override
    {
        relay::ResponseHead head;
        head.status = status;
        const bool isForeign = http::findHeader(headers, FOREIGN) != nullptr;
        head.owner = isForeign ? relay::ResponseOwner::Other : relay::ResponseOwner::Same;
        head.headers = std::move(headers);
        head.isSigned = true;
        return head;
    }
};

/** @brief Keeps requests until it is told to answer them. */
class Upstream final : public http::Handler
{
public:
    void handle(http::Request /*request*/, std::shared_ptr<http::Responder> responder) override
    {
        const absl::MutexLock lock(&m_mutex);
        m_held.push_back(std::move(responder));
    }

    void awaitReceived()
    {
        BOOST_REQUIRE(isReceived(absl::Seconds(10)));
    }

    /** @brief Waits for a request. @param limit The longest wait. @return False when none came. */
    [[nodiscard]] bool isReceived(absl::Duration limit)
    {
        const absl::MutexLock lock(&m_mutex);
        const auto received = [this] {
            m_mutex.AssertReaderHeld();
            return !m_held.empty();
        };
        return m_mutex.AwaitWithTimeout(absl::Condition(&received), limit);
    }

    void answer(const std::string &body = "whole", const http::Headers &headers = {})
    {
        const absl::MutexLock lock(&m_mutex);
        for (const auto &it : m_held) {
            it->respond({OK, headers, body});
        }
        m_held.clear();
    }

private:
    absl::Mutex m_mutex;
    std::vector<std::shared_ptr<http::Responder>> m_held ABSL_GUARDED_BY(m_mutex);
};

config::Document documentOf(const std::string &prefix)
{
    config::Document document;
    document.services.push_back({"service", 10, {}});
    config::Relay route;
    route.name = "route";
    route.host = "h";
    route.prefix = prefix;
    route.timeout = ROUTE_TIMEOUT;
    route.open = true;
    route.shares = {{"service", 1}};
    document.relays.push_back(route);
    return document;
}

/** @brief One entry without a leader, and one upstream. */
class Fixture
{
public:
    explicit Fixture(std::size_t ringSize = RING_SIZE)
        : m_server(upstream)
    {
        const auto address = m_server.start("127.0.0.1:0");
        BOOST_REQUIRE(address.has_value());
        membership::Announcement announcement;
        announcement.id = "upstream";
        announcement.incarnation = 1;
        announcement.sequence = 1;
        announcement.address = address.value();
        announcement.kind = membership::UpstreamKind::Service;
        announcement.service = "service";
        m_book.announce(m_clock.now(), std::move(announcement));
        gateway::RelayThreadOptions options;
        options.ringSize = ringSize;
        thread = std::make_unique<gateway::RelayThread>(options,
            gateway::RelayThreadContext{m_clock, m_inForce, m_book, m_sync, m_peers, m_leader, m_client, m_callers,
                m_upstreams, m_tokens, m_metrics, m_log});
        install("/a/");
        thread->configurationChanged();
        thread->start();
        serve("/a/");
    }

    ~Fixture()
    {
        thread->stop();
        m_client.stop();
        m_peers.stop();
        m_server.stop({0});
    }

    Fixture(const Fixture &) = delete;
    Fixture &operator=(const Fixture &) = delete;

    void install(const std::string &prefix)
    {
        m_inForce.install(entry::makeConfiguration(++m_version, "d", documentOf(prefix)));
        m_inForce.extend(m_version, base::NEVER);
    }

    /** @brief Notes that a version after the one held is in force. */
    void noteLater()
    {
        m_inForce.noteLater(m_version + 1, m_clock.now());
    }

    /** @brief Waits until requests with a prefix are served. */
    void serve(const std::string &prefix)
    {
        for (int n = 0; n < MAX_TRIES; ++n) {
            const auto caller = post(prefix + "x");
            if (upstream.isReceived(absl::Milliseconds(100))) {
                upstream.answer();
                BOOST_REQUIRE(caller->await());
                BOOST_TEST(caller->status() == OK);
                return;
            }
        }
        BOOST_FAIL("no request is served");
    }

    std::shared_ptr<HeldCaller> post(const std::string &path, bool holds = false) const
    {
        auto caller = std::make_shared<HeldCaller>(holds);
        http::Request request;
        request.method = "POST";
        request.path = path;
        thread->handle(std::move(request), caller);
        return caller;
    }

    /** @brief Holds the thread. @return The caller that holds it. */
    std::shared_ptr<HeldCaller> holdThread() const
    {
        auto caller = post("/none/", true);
        caller->awaitHeld();
        return caller;
    }

    /** @brief Fills the ring while the thread is held. */
    void fillRing() const
    {
        while (post("/none/")->ends() == 0) { }
    }

    /** @brief Puts many requests before what comes next, while the thread is held. */
    void crowdRing() const
    {
        for (int n = 0; n < CROWD; ++n) {
            static_cast<void>(post("/none/"));
        }
    }

    /** @brief Stops the thread while it is held, then lets it go. */
    void stopHeld(HeldCaller &holder) const
    {
        std::thread stopping([this] {
            thread->stop();
        });
        fillRing();
        absl::SleepFor(SETTLING);
        holder.letGo();
        stopping.join();
    }

    /** @brief Counts the open connections to the upstream. */
    [[nodiscard]] std::uint64_t connections() const
    {
        return m_server.counters().openConnections;
    }

    Upstream upstream;
    std::unique_ptr<gateway::RelayThread> thread;

private:
    static membership::RegistryOptions longLease()
    {
        membership::RegistryOptions options;
        options.lease = base::Millis{600'000};
        return options;
    }

    base::SteadyClock m_clock;
    http::Server m_server;
    std::uint64_t m_version = 0;
    entry::InForce m_inForce;
    entry::UpstreamBook m_heard{longLease()};
    entry::UpstreamBook m_book{longLease()};
    control::PeerRegistry m_peers{{{"v", "127.0.0.1:1"}}};
    entry::LeaderHint m_leader{{"v"}};
    entry::UpstreamSync m_sync{{}, m_heard, m_book, m_peers, m_clock};
    http::Client m_client;
    Callers m_callers;
    Upstreams m_upstreams;
    gateway::PeerTokens m_tokens;
    gateway::RelayMetrics m_metrics;
    base::EventLog m_log{{.linesPerSecond = 0}};
};

} // namespace

BOOST_AUTO_TEST_SUITE(relaythread)

// Guards against entries that serve by an old configuration although they know of a later one.
BOOST_AUTO_TEST_CASE(an_entry_that_cannot_fetch_a_later_version_refuses_requests_until_it_has_it)
{
    Fixture it;
    it.noteLater();
    for (int n = 0; n < MAX_TRIES && !it.thread->isOutdated(); ++n) {
        absl::SleepFor(absl::Milliseconds(100));
    }
    const auto refused = it.post("/a/x");
    BOOST_REQUIRE(refused->await());
    BOOST_TEST(refused->status() == UNAVAILABLE);
    it.install("/b/");
    it.thread->configurationChanged();
    it.serve("/b/");
    BOOST_TEST(!it.thread->isOutdated());
}

BOOST_AUTO_TEST_CASE(an_entry_without_pulled_upstreams_does_not_count_as_one_that_knows_them)
{
    const Fixture fixture;
    BOOST_TEST(fixture.thread->isConfigured());
    BOOST_TEST(!fixture.thread->knowsUpstreams());
}

BOOST_AUTO_TEST_CASE(the_end_of_a_response_that_meets_a_full_ring_is_not_lost)
{
    Fixture fixture;
    const auto caller = fixture.post("/a/x");
    fixture.upstream.awaitReceived();
    const auto holder = fixture.holdThread();
    // Room for the head and the bytes of the response, but not for its end.
    static_cast<void>(fixture.post("/none/"));
    static_cast<void>(fixture.post("/none/"));
    fixture.upstream.answer();
    absl::SleepFor(SETTLING);
    holder->letGo();
    BOOST_TEST(caller->await());
    BOOST_TEST(caller->status() == OK);
    BOOST_TEST(caller->body() == "whole");
}

BOOST_AUTO_TEST_CASE(a_response_whose_bytes_meet_a_full_ring_fails_at_once)
{
    Fixture fixture;
    const auto caller = fixture.post("/a/x");
    fixture.upstream.awaitReceived();
    const auto holder = fixture.holdThread();
    fixture.fillRing();
    fixture.upstream.answer();
    absl::SleepFor(SETTLING);
    holder->letGo();
    BOOST_TEST(caller->await(absl::Seconds(2)));
    BOOST_TEST(caller->body() != "timed_out");
}

BOOST_AUTO_TEST_CASE(a_change_of_the_configuration_that_meets_a_full_ring_takes_effect)
{
    Fixture fixture;
    const auto holder = fixture.holdThread();
    fixture.fillRing();
    fixture.install("/b/");
    fixture.thread->configurationChanged();
    holder->letGo();
    fixture.serve("/b/");
}

BOOST_AUTO_TEST_CASE(a_caller_that_leaves_while_the_ring_is_full_does_not_keep_its_request)
{
    Fixture fixture;
    const auto caller = fixture.post("/a/x");
    fixture.upstream.awaitReceived();
    const auto holder = fixture.holdThread();
    fixture.fillRing();
    caller->leave();
    holder->letGo();
    for (int n = 0; n < MAX_TRIES && fixture.thread->inProgress() > 0; ++n) {
        absl::SleepFor(absl::Milliseconds(100));
    }
    BOOST_TEST(fixture.thread->inProgress() == 0U);
}

BOOST_AUTO_TEST_CASE(a_response_that_waits_in_the_ring_of_a_stopping_entry_is_given)
{
    Fixture fixture(LONG_RING);
    const auto caller = fixture.post("/a/x");
    fixture.upstream.awaitReceived();
    const auto holder = fixture.holdThread();
    fixture.crowdRing();
    fixture.upstream.answer();
    absl::SleepFor(SETTLING);
    fixture.stopHeld(*holder);
    BOOST_TEST(caller->ends() == 1);
    BOOST_TEST(caller->status() == OK);
}

BOOST_AUTO_TEST_CASE(a_request_that_waits_in_the_ring_of_a_stopping_entry_is_refused)
{
    Fixture fixture(LONG_RING);
    const auto holder = fixture.holdThread();
    fixture.crowdRing();
    const auto caller = fixture.post("/a/x");
    fixture.stopHeld(*holder);
    BOOST_TEST(caller->ends() == 1);
    BOOST_TEST(caller->body() == "stopping");
}

BOOST_AUTO_TEST_CASE(an_upstream_that_delivered_a_foreign_response_is_not_left_running_the_request)
{
    Fixture fixture;
    const std::uint64_t pooled = fixture.connections();
    const auto caller = fixture.post("/a/x");
    fixture.upstream.awaitReceived();
    BOOST_TEST(fixture.connections() == pooled + 1);
    fixture.upstream.answer("", {{FOREIGN, "1"}});
    BOOST_TEST(caller->await());
    BOOST_TEST(caller->body() == "upstream_failed");
    for (int n = 0; n < MAX_TRIES && fixture.connections() > pooled; ++n) {
        absl::SleepFor(absl::Milliseconds(100));
    }
    BOOST_TEST(fixture.connections() == pooled);
}

BOOST_AUTO_TEST_SUITE_END()
