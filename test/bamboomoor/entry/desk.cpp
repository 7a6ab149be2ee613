/**
 * Tests of the entry's thread with a leader and an upstream in the same process: accepted requests end with their
 * answer when the ring is full, when the configuration changes, and when the entry stops.
 */
#include "bamboomoor/entry/desk.hpp"
#include "heldcaller.hpp"

#include "bamboomoor/base/digest.hpp"
#include "bamboomoor/control/budgetwire.hpp"
#include "bamboomoor/peer/server.hpp"
#include "bamboomoor/state/machine.hpp"

#include "bamboomoor/control/loopback.hpp"

#include <boost/test/unit_test.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <utility>
#include <variant>
#include <vector>

using namespace bamboomoor;
using entry::test::HeldCaller;

namespace
{

constexpr std::size_t RING_SIZE = 4;
constexpr std::size_t LONG_RING = 1'024;
// More than the desk takes before it looks whether it stops.
constexpr int CROWD = 600;
// Each below the timeout of a call to the leader.
constexpr absl::Duration SETTLING = absl::Milliseconds(500);
constexpr int OK = 200;
constexpr int UNAVAILABLE = 503;
constexpr std::uint64_t SEEDS = 12;
constexpr int STEPS = 300;
constexpr const char *STREAM = R"({"model":"m","messages":[],"max_tokens":9,"stream":true})";
constexpr const char *GENERATION = R"({"model":"m","messages":[],"max_tokens":9})";
constexpr std::int64_t GRANT = 1'000'000;

/** @brief Leads alone: applies commands, now or when told, and grants what holders want. */
class Leader final : public control_test::EmptyHandler
{
public:
    void propose(const peer::wire::ProposeRequest &request, peer::Answer<peer::wire::ProposeReply> answer) override
    {
        const absl::MutexLock lock(&m_mutex);
        peer::wire::ProposeReply reply;
        const auto command = state::decode(request.command());
        if (m_refusesClaims && command && std::holds_alternative<state::OpenClaim>(command.value())) {
            ++m_refusedClaims;
            reply.set_verdict(peer::wire::NOT_LEADER);
            answer(std::move(reply));
            return;
        }
        reply.set_verdict(peer::wire::APPLIED);
        reply.set_outcome(state::encode(m_machine.apply(++m_index, request.command())));
        ++m_proposals;
        if (m_holds) {
            m_held.emplace_back(std::move(answer), std::move(reply));
        } else {
            answer(std::move(reply));
        }
    }

    void ask(const peer::wire::BudgetAsk &request, peer::Answer<peer::wire::BudgetReply> answer) override
    {
        const budget::TokenRequest wanted = control::fromWire(request);
        budget::TokenReply reply{wanted.holder, wanted.session, 1, wanted.sequence,
            budget::TokenRequestStatus::Processed, base::Millis{60'000}, {}};
        for (const budget::TokenRequestEntry &it : wanted.entries) {
            budget::TokenReplyEntry entry;
            entry.organisation = it.organisation;
            entry.granted = GRANT;
            entry.needs.assign(it.needs.size(), {budget::AdmissionDecision::Admitted, {}});
            reply.entries.push_back(std::move(entry));
        }
        answer(control::toWire(reply));
    }

    /** @brief Keeps the replies to commands from now on; the commands are applied all the same. */
    void hold()
    {
        const absl::MutexLock lock(&m_mutex);
        m_holds = true;
    }

    /** @brief Waits for a held reply. */
    void awaitHeld()
    {
        const absl::MutexLock lock(&m_mutex);
        const auto holds = [this] {
            m_mutex.AssertReaderHeld();
            return !m_held.empty();
        };
        BOOST_REQUIRE(m_mutex.AwaitWithTimeout(absl::Condition(&holds), absl::Seconds(10)));
    }

    /** @brief Opens no claims for now, or opens them again. */
    void refuseClaims(bool refuses)
    {
        const absl::MutexLock lock(&m_mutex);
        m_refusesClaims = refuses;
    }

    /** @brief Waits until it refused to open a claim. */
    void awaitRefusedClaim()
    {
        const absl::MutexLock lock(&m_mutex);
        const auto refused = [this] {
            m_mutex.AssertReaderHeld();
            return m_refusedClaims > 0;
        };
        BOOST_REQUIRE(m_mutex.AwaitWithTimeout(absl::Condition(&refused), absl::Seconds(10)));
    }

    /** @brief Waits for a number of commands since the start. */
    void awaitProposals(int number)
    {
        const absl::MutexLock lock(&m_mutex);
        const auto reached = [this, number] {
            m_mutex.AssertReaderHeld();
            return m_proposals >= number;
        };
        BOOST_REQUIRE(m_mutex.AwaitWithTimeout(absl::Condition(&reached), absl::Seconds(10)));
    }

    /** @brief Sends what it holds. */
    void letGo()
    {
        const absl::MutexLock lock(&m_mutex);
        m_holds = false;
        for (auto &[answer, reply] : m_held) {
            answer(std::move(reply));
        }
        m_held.clear();
    }

private:
    absl::Mutex m_mutex;
    state::Machine m_machine ABSL_GUARDED_BY(m_mutex);
    std::uint64_t m_index ABSL_GUARDED_BY(m_mutex) = 0;
    int m_proposals ABSL_GUARDED_BY(m_mutex) = 0;
    bool m_holds ABSL_GUARDED_BY(m_mutex) = false;
    bool m_refusesClaims ABSL_GUARDED_BY(m_mutex) = false;
    int m_refusedClaims ABSL_GUARDED_BY(m_mutex) = 0;
    std::vector<std::pair<peer::Answer<peer::wire::ProposeReply>, peer::wire::ProposeReply>> m_held ABSL_GUARDED_BY(
        m_mutex);
};

/** @brief Answers at once, or when told; a stream gets its first event at once. */
class Upstream final : public http::Handler
{
public:
    void handle(http::Request request, std::shared_ptr<http::Responder> responder) override
    {
        const absl::MutexLock lock(&m_mutex);
        const bool streams = request.body.find(R"("stream":true)") != std::string::npos;
        if (m_next && (!streams || m_interrupted)) {
            ++m_received;
            http::Response response = *m_next;
            if (m_echoes) {
                response.headers.push_back({"X-Request-Id", std::string(request.header("X-Request-Id"))});
            }
            responder->respond(std::move(response));
            return;
        }
        if (m_next) {
            ++m_received;
            m_interrupted = true;
            responder->begin(OK, {{"Content-Type", "text/event-stream"}});
            responder->write(event());
            m_broken = std::move(responder);
            return;
        }
        if (streams) {
            responder->begin(OK, {{"Content-Type", "text/event-stream"}});
            responder->write(event());
        }
        ++m_received;
        if (m_holds) {
            m_held.emplace_back(std::move(responder), streams);
        } else {
            answer(*responder, streams);
        }
    }

    /** @brief Answers with this from now on, but begins the first stream and leaves it to interrupt(). */
    void answerWith(http::Response response, bool echoes = true)
    {
        const absl::MutexLock lock(&m_mutex);
        m_next = std::move(response);
        m_echoes = echoes;
    }

    /** @brief Breaks the stream off that answerWith() left. */
    void interrupt()
    {
        const absl::MutexLock lock(&m_mutex);
        m_broken->abort();
        m_broken.reset();
    }

    void hold()
    {
        const absl::MutexLock lock(&m_mutex);
        m_holds = true;
    }

    void letGo()
    {
        const absl::MutexLock lock(&m_mutex);
        m_holds = false;
        for (auto &[responder, streams] : m_held) {
            answer(*responder, streams);
        }
        m_held.clear();
    }

    /** @brief Sends all but the end of the answers that it holds. */
    void begin()
    {
        const absl::MutexLock lock(&m_mutex);
        for (auto &[responder, streams] : m_held) {
            responder->begin(OK, {});
            responder->write("whole");
        }
    }

    /** @brief Ends the answers that have begun. */
    void end()
    {
        const absl::MutexLock lock(&m_mutex);
        for (auto &[responder, streams] : m_held) {
            responder->end();
        }
        m_held.clear();
    }

    [[nodiscard]] int received()
    {
        const absl::MutexLock lock(&m_mutex);
        return m_received;
    }

    void awaitReceived(int number)
    {
        const absl::MutexLock lock(&m_mutex);
        const auto reached = [this, number] {
            m_mutex.AssertReaderHeld();
            return m_received >= number;
        };
        BOOST_REQUIRE(m_mutex.AwaitWithTimeout(absl::Condition(&reached), absl::Seconds(10)));
    }

private:
    static std::string event()
    {
        return "data: {\"id\":\"g\",\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n";
    }

    static void answer(http::Responder &responder, bool streams)
    {
        if (streams) {
            responder.write(event());
            responder.write("data: [DONE]\n\n");
            responder.end();
        } else {
            responder.respond({OK, {}, R"({"choices":[{"message":{"content":"a"}}],"usage":{"completion_tokens":1}})"});
        }
    }

    absl::Mutex m_mutex;
    int m_received ABSL_GUARDED_BY(m_mutex) = 0;
    bool m_holds ABSL_GUARDED_BY(m_mutex) = false;
    std::optional<http::Response> m_next ABSL_GUARDED_BY(m_mutex);
    bool m_echoes ABSL_GUARDED_BY(m_mutex) = false;
    bool m_interrupted ABSL_GUARDED_BY(m_mutex) = false;
    std::shared_ptr<http::Responder> m_broken ABSL_GUARDED_BY(m_mutex);
    std::vector<std::pair<std::shared_ptr<http::Responder>, bool>> m_held ABSL_GUARDED_BY(m_mutex);
};

config::Document wholeDocument()
{
    config::Document document;
    document.models.push_back({.name = "m", .memoryMib = 1});
    document.routes.push_back({.prefix = "/once", .upstream = "service"});
    for (const char *name : {"one", "two"}) {
        config::Organisation organisation;
        organisation.name = name;
        organisation.rate = organisation.burst = GRANT;
        organisation.keys.push_back({"k", base::sha256(std::string("key-") + name), false});
        document.organisations.push_back(organisation);
    }
    return document;
}

/** @brief Leaves out, or moves, any part of the document. */
config::Document changedDocument(std::mt19937_64 &random)
{
    config::Document document = wholeDocument();
    const auto chance = [&random] {
        return random() % 4 == 0;
    };
    if (chance()) {
        document.models.clear();
    }
    if (chance()) {
        document.routes.clear();
    } else {
        document.routes.front().idempotent = chance();
        document.routes.front().open = chance();
    }
    if (chance()) {
        document.organisations.front().keys.clear();
    }
    if (chance()) {
        document.organisations.front().keys.swap(document.organisations.back().keys);
    }
    if (chance()) {
        document.organisations.pop_back();
    }
    document.limits.queueDeadline = base::Millis{static_cast<std::int64_t>(random() % 2'000)};
    return document;
}

/** @brief One entry with its leader and one upstream, all in this process. */
class Fixture
{
public:
    explicit Fixture(
        std::size_t ringSize = RING_SIZE, bool hasSecondWorker = false, const std::string &secondSoftware = {})
        : m_peerServer(leader)
        , m_upstreamServer(upstream)
        , m_newerServer(newer)
    {
        const std::string leaderAddress = control_test::freeAddress();
        BOOST_REQUIRE(m_peerServer.start(leaderAddress).has_value());
        m_peers = std::make_unique<control::PeerRegistry>(std::vector<control::VoterAddress>{{"v", leaderAddress}});
        const auto address = m_upstreamServer.start("127.0.0.1:0");
        BOOST_REQUIRE(address.has_value());
        announce(address.value(), "worker", {});
        if (hasSecondWorker) {
            const auto other = secondSoftware.empty() ? address : m_newerServer.start("127.0.0.1:0");
            announce(other.value(), "second", {}, secondSoftware);
        }
        announce(address.value(), "plain", "service");
        install(wholeDocument());
        entry::DeskOptions options;
        options.vm = "vm";
        options.incarnation = 2;
        options.ringSize = ringSize;
        desk = std::make_unique<entry::Desk>(
            options, entry::DeskContext{m_clock, inForce, m_book, *m_peers, m_leaderHint, m_client, m_metrics});
        desk->start();
        // Claims of the process before are abandoned first.
        leader.awaitProposals(1);
    }

    ~Fixture()
    {
        leader.letGo();
        upstream.letGo();
        newer.letGo();
        desk->stop();
        m_client.stop();
        m_peers->stop();
        m_peerServer.stop();
        m_upstreamServer.stop({0});
        m_newerServer.stop({0});
    }

    Fixture(const Fixture &) = delete;
    Fixture &operator=(const Fixture &) = delete;

    void install(config::Document document)
    {
        inForce.install(entry::makeConfiguration(++m_version, "d", std::move(document)));
        inForce.extend(m_version, base::NEVER);
    }

    std::shared_ptr<HeldCaller> post(const std::string &path, const std::string &body, const std::string &claim = {},
        const std::string &key = "key-one", bool holds = false) const
    {
        auto caller = std::make_shared<HeldCaller>(holds);
        http::Request request;
        request.method = "POST";
        request.path = path;
        request.body = body;
        request.headers = {{"Authorization", "Bearer " + key}};
        if (!claim.empty()) {
            request.headers.push_back({"Idempotency-Key", claim});
        }
        desk->handle(std::move(request), caller);
        return caller;
    }

    std::shared_ptr<HeldCaller> stream() const
    {
        return post("/v1/chat/completions", STREAM);
    }

    /** @brief Holds the desk's thread. @return The caller that holds it. */
    std::shared_ptr<HeldCaller> holdDesk() const
    {
        auto caller = post("/once", "", {}, "unknown", true);
        caller->awaitHeld();
        return caller;
    }

    /** @brief Fills the ring while the desk's thread is held. */
    void fillRing() const
    {
        while (post("/once", "", {}, "unknown")->ends() == 0) { }
    }

    /** @brief Puts many requests before what comes next, while the desk's thread is held. */
    void crowdRing() const
    {
        for (int n = 0; n < CROWD; ++n) {
            static_cast<void>(post("/once", "", {}, "unknown"));
        }
    }

    /** @brief Stops the desk while its thread is held, then lets it go. */
    void stopHeld(HeldCaller &holder) const
    {
        std::thread stopping([this] {
            desk->stop();
        });
        fillRing();
        absl::SleepFor(SETTLING);
        holder.letGo();
        stopping.join();
    }

    /** @brief Tells whether an answer of an upstream was counted as given. */
    [[nodiscard]] bool hasAnswered() const
    {
        return m_metrics.text().find("bamboomoor_answers_total{") != std::string::npos;
    }

    Leader leader;
    Upstream upstream;
    // The upstream of another software version, if there is one.
    Upstream newer;
    entry::InForce inForce;
    std::unique_ptr<entry::Desk> desk;

private:
    void announce(
        const std::string &address, const std::string &id, const std::string &service, const std::string &software = {})
    {
        membership::Announcement out;
        out.id = id;
        out.incarnation = 1;
        out.sequence = 1;
        out.address = address;
        out.service = service;
        out.softwareVersion = software;
        out.kind = service.empty() ? membership::UpstreamKind::ModelWorker : membership::UpstreamKind::Service;
        if (service.empty()) {
            out.accelerators.push_back({"a", 10, {{"m", {}, {}, 1}}});
        }
        m_book.announce(m_clock.now(), std::move(out));
    }

    static membership::RegistryOptions longLease()
    {
        membership::RegistryOptions options;
        options.lease = base::Millis{600'000};
        return options;
    }

    base::SteadyClock m_clock;
    peer::Server m_peerServer;
    http::Server m_upstreamServer;
    http::Server m_newerServer;
    std::uint64_t m_version = 0;
    entry::UpstreamBook m_book{longLease()};
    std::unique_ptr<control::PeerRegistry> m_peers;
    entry::LeaderHint m_leaderHint{{"v"}};
    http::Client m_client;
    entry::Metrics m_metrics;
};

} // namespace

BOOST_AUTO_TEST_SUITE(desk)

BOOST_AUTO_TEST_CASE(a_reply_to_a_claim_that_meets_a_full_ring_is_not_lost)
{
    Fixture fixture;
    fixture.leader.hold();
    const auto caller = fixture.post("/once", "x", "claim");
    fixture.leader.awaitHeld();
    const auto holder = fixture.holdDesk();
    fixture.fillRing();
    fixture.leader.letGo();
    absl::SleepFor(SETTLING);
    holder->letGo();
    BOOST_TEST(caller->await());
    BOOST_TEST(caller->status() == OK);
}

BOOST_AUTO_TEST_CASE(a_reply_to_the_storing_of_an_answer_that_meets_a_full_ring_is_not_lost)
{
    Fixture fixture;
    fixture.upstream.hold();
    const auto caller = fixture.post("/once", "x", "claim");
    fixture.upstream.awaitReceived(1);
    fixture.leader.hold();
    fixture.upstream.letGo();
    fixture.leader.awaitHeld();
    const auto holder = fixture.holdDesk();
    fixture.fillRing();
    fixture.leader.letGo();
    absl::SleepFor(SETTLING);
    holder->letGo();
    BOOST_TEST(caller->await());
    BOOST_TEST(caller->status() == OK);
}

BOOST_AUTO_TEST_CASE(the_end_of_an_answer_that_meets_a_full_ring_is_not_lost)
{
    Fixture fixture;
    fixture.upstream.hold();
    const auto caller = fixture.post("/once", "x");
    fixture.upstream.awaitReceived(1);
    fixture.upstream.begin();
    // The head and the bytes come to the desk, the end to its full ring.
    absl::SleepFor(SETTLING);
    const auto holder = fixture.holdDesk();
    fixture.fillRing();
    fixture.upstream.end();
    absl::SleepFor(SETTLING);
    holder->letGo();
    BOOST_TEST(caller->await());
    BOOST_TEST(caller->status() == OK);
}

BOOST_AUTO_TEST_CASE(a_change_of_the_configuration_that_meets_a_full_ring_ends_what_a_withdrawn_key_runs)
{
    Fixture fixture;
    fixture.upstream.hold();
    const auto caller = fixture.stream();
    BOOST_TEST(caller->awaitStream());
    const auto holder = fixture.holdDesk();
    fixture.fillRing();
    config::Document document = wholeDocument();
    document.organisations.front().keys.clear();
    fixture.install(std::move(document));
    fixture.desk->configurationChanged();
    holder->letGo();
    BOOST_TEST(caller->await(absl::Seconds(5)));
    BOOST_TEST(caller->body().find("key_withdrawn") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_caller_that_leaves_while_the_ring_is_full_does_not_keep_its_generation)
{
    Fixture fixture;
    fixture.upstream.hold();
    const auto caller = fixture.stream();
    BOOST_TEST(caller->awaitStream());
    const auto holder = fixture.holdDesk();
    fixture.fillRing();
    caller->leave();
    holder->letGo();
    BOOST_TEST(caller->await(absl::Seconds(5)));
}

BOOST_AUTO_TEST_CASE(a_claim_that_opens_after_its_request_has_ended_does_not_block_a_resend)
{
    Fixture fixture;
    fixture.leader.refuseClaims(true);
    const auto caller = fixture.post("/once", "x", "claim");
    fixture.leader.awaitRefusedClaim();
    config::Document document = wholeDocument();
    document.organisations.front().keys.clear();
    fixture.install(std::move(document));
    fixture.desk->configurationChanged();
    BOOST_REQUIRE(caller->await());
    BOOST_TEST(caller->body().find("key_withdrawn") != std::string::npos);
    // The release comes to a claim that is not open yet.
    fixture.leader.awaitProposals(2);
    fixture.leader.refuseClaims(false);
    absl::SleepFor(SETTLING);
    fixture.install(wholeDocument());
    const auto resend = fixture.post("/once", "x", "claim");
    BOOST_TEST(resend->await());
    BOOST_TEST(resend->status() == OK);
}

BOOST_AUTO_TEST_CASE(every_request_ends_exactly_once_beside_changes_of_the_configuration_and_a_stop)
{
    for (std::uint64_t seed = 1; seed <= SEEDS; ++seed) {
        std::mt19937_64 random(seed);
        Fixture fixture(seed % 2 == 0 ? LONG_RING : 16);
        std::vector<std::shared_ptr<HeldCaller>> callers;
        for (int n = 0; n < STEPS; ++n) {
            const std::string key = random() % 2 == 0 ? "key-one" : "key-two";
            const std::string claim = random() % 2 == 0 ? "claim-" + std::to_string(random() % 20) : std::string();
            switch (random() % 12) {
            case 0:
                fixture.install(changedDocument(random));
                fixture.desk->configurationChanged();
                break;
            case 1:
                random() % 2 == 0 ? fixture.upstream.hold() : fixture.upstream.letGo();
                break;
            case 2:
                random() % 2 == 0 ? fixture.leader.hold() : fixture.leader.letGo();
                break;
            case 3:
                absl::SleepFor(absl::Milliseconds(random() % 20));
                break;
            case 4:
                if (!callers.empty()) {
                    callers[random() % callers.size()]->leave();
                }
                break;
            case 5:
            case 6:
                callers.push_back(fixture.post("/v1/chat/completions", STREAM, {}, key));
                break;
            case 7:
            case 8:
                callers.push_back(fixture.post("/v1/chat/completions", GENERATION, claim, key));
                break;
            default:
                callers.push_back(fixture.post("/once", "x", claim, key));
                break;
            }
        }
        if (seed % 3 != 0) {
            // Without a stop each has its answer or refusal once nobody holds anything back.
            fixture.leader.letGo();
            fixture.upstream.letGo();
            for (const auto &it : callers) {
                BOOST_TEST(it->await(absl::Seconds(20)));
            }
        }
        fixture.desk->stop();
        BOOST_TEST(fixture.desk->inProgress() == 0U);
        for (const auto &it : callers) {
            BOOST_TEST(it->ends() == 1);
        }
    }
}

BOOST_AUTO_TEST_CASE(an_entry_that_stops_while_an_answer_is_stored_gives_the_answer)
{
    Fixture fixture;
    fixture.upstream.hold();
    const auto caller = fixture.post("/once", "x", "claim");
    fixture.upstream.awaitReceived(1);
    fixture.leader.hold();
    fixture.upstream.letGo();
    fixture.leader.awaitHeld();
    fixture.desk->stop();
    BOOST_TEST(caller->ends() == 1);
    BOOST_TEST(caller->status() == OK);
}

BOOST_AUTO_TEST_CASE(a_request_that_waits_in_the_ring_of_a_stopping_entry_is_refused)
{
    Fixture fixture(LONG_RING);
    const auto holder = fixture.holdDesk();
    fixture.crowdRing();
    const auto caller = fixture.post("/once", "x");
    fixture.stopHeld(*holder);
    BOOST_TEST(caller->ends() == 1);
    BOOST_TEST(caller->status() == UNAVAILABLE);
    BOOST_TEST(caller->body().find("draining") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(an_answer_that_waits_in_the_ring_of_a_stopping_entry_is_given)
{
    Fixture fixture(LONG_RING);
    fixture.upstream.hold();
    const auto caller = fixture.post("/once", "x");
    fixture.upstream.awaitReceived(1);
    const auto holder = fixture.holdDesk();
    fixture.crowdRing();
    fixture.upstream.letGo();
    absl::SleepFor(SETTLING);
    fixture.stopHeld(*holder);
    BOOST_TEST(caller->ends() == 1);
    BOOST_TEST(caller->status() == OK);
}

BOOST_AUTO_TEST_CASE(an_interrupted_stream_does_not_go_on_at_another_software_version)
{
    Fixture fixture(LONG_RING, true, "v2");
    fixture.upstream.answerWith({OK, {}, R"({"choices":[]})"});
    fixture.newer.answerWith({OK, {}, R"({"choices":[]})"});
    const auto caller = fixture.stream();
    BOOST_REQUIRE(caller->awaitStream());
    const std::string begun = caller->body();
    const bool beganAtNewer = fixture.newer.received() == 1;
    (beganAtNewer ? fixture.newer : fixture.upstream).interrupt();
    BOOST_REQUIRE(caller->await());
    BOOST_TEST((beganAtNewer ? fixture.upstream : fixture.newer).received() == 0);
    BOOST_TEST(caller->ends() == 1);
    BOOST_TEST(caller->body().starts_with(begun));
    BOOST_TEST(caller->body().find("[DONE]") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(an_answer_of_the_next_upstream_does_not_reach_the_caller_of_an_interrupted_stream)
{
    for (const int status : {201, 204, 302, 400, 404, 422, 429, 500, UNAVAILABLE}) {
        Fixture fixture(LONG_RING, true);
        fixture.upstream.answerWith({status, {}, status == 204 ? "" : R"({"error":{"message":"of the upstream"}})"});
        const auto caller = fixture.stream();
        BOOST_REQUIRE(caller->awaitStream());
        const std::string begun = caller->body();
        fixture.upstream.interrupt();
        BOOST_REQUIRE(caller->await());
        fixture.upstream.awaitReceived(2);
        BOOST_TEST_CONTEXT(status)
        {
            BOOST_TEST(caller->ends() == 1);
            BOOST_TEST(caller->status() == OK);
            BOOST_TEST(caller->body().starts_with(begun));
            BOOST_TEST(caller->body().find("of the upstream") == std::string::npos);
            BOOST_TEST(caller->body().find("[DONE]") == std::string::npos);
            BOOST_TEST(caller->body().find("upstream_failed") != std::string::npos);
            BOOST_TEST(!fixture.hasAnswered());
        }
    }
}

BOOST_AUTO_TEST_CASE(a_refusal_on_a_pooled_connection_is_not_run_only_if_it_names_the_attempt)
{
    for (const int status : {404, 429, UNAVAILABLE}) {
        for (const bool echoes : {false, true}) {
            Fixture fixture(LONG_RING);
            const auto first = fixture.post("/v1/chat/completions", GENERATION);
            BOOST_REQUIRE(first->await());
            BOOST_REQUIRE(first->status() == OK);
            fixture.upstream.answerWith({status, {}, R"({"error":{"not_run":true}})"}, echoes);
            const auto caller = fixture.post("/v1/chat/completions", GENERATION);
            BOOST_REQUIRE(caller->await());
            BOOST_TEST_CONTEXT(status << ' ' << echoes << ' ' << caller->body())
            {
                const bool notRun = caller->body().find(R"("not_run":true)") != std::string::npos;
                BOOST_TEST(notRun == echoes);
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(a_refusal_on_a_new_connection_is_not_run_without_naming_the_attempt)
{
    Fixture fixture(LONG_RING);
    fixture.upstream.answerWith({UNAVAILABLE, {}, R"({"error":{"not_run":true}})"}, false);
    const auto caller = fixture.post("/once", "x");
    BOOST_REQUIRE(caller->await());
    BOOST_TEST(caller->body().find(R"("not_run":true)") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
