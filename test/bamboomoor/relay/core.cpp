/**
 * Unit tests of the request state machine, and a fuzz test in which upstreams respond, fail, send wrong responses and
 * stall in any order while an oracle checks what callers and upstreams observe.
 */
#include "bamboomoor/relay/core.hpp"
#include "bamboomoor/base/digest.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

using namespace bamboomoor;
using relay::ResponseHead;
using relay::ResponseOwner;

namespace
{

constexpr int OK = 200;
constexpr int UNAVAILABLE = 503;
constexpr int SERVER_ERROR = 500;

/** @brief What one caller received. */
struct Seen {
    int ends = 0;
    bool refused = false;
    bool refusedNotRun = false;
    relay::Reason reason = relay::Reason::UpstreamFailed;
    bool begun = false;
    bool whole = false;
    bool aborted = false;
    int status = 0;
    std::string bytes;
    base::Millis retryAfter;
};

/** @brief Records the core's effects. */
class World final : public relay::Effects
{
public:
    void respond(std::uint64_t exchange, http::Response response) override
    {
        Seen &it = callers[exchange];
        ++it.ends;
        it.whole = true;
        it.status = response.status;
        it.bytes = response.body;
    }
    void sendLocalReply(std::uint64_t exchange, const relay::LocalReply &refused) override
    {
        Seen &it = callers[exchange];
        ++it.ends;
        it.refused = true;
        it.refusedNotRun = refused.notRun;
        it.reason = refused.reason;
        it.retryAfter = refused.retryAfter;
    }
    void beginStream(std::uint64_t exchange, int status, http::Headers /*headers*/) override
    {
        callers[exchange].begun = true;
        callers[exchange].status = status;
    }
    bool write(std::uint64_t exchange, std::string_view bytes) override
    {
        callers[exchange].bytes += bytes;
        return true;
    }
    void endStream(std::uint64_t exchange) override
    {
        ++callers[exchange].ends;
        callers[exchange].whole = true;
    }
    void abortStream(std::uint64_t exchange) override
    {
        ++callers[exchange].ends;
        callers[exchange].aborted = true;
    }
    void send(const relay::Attempt &attempt, const relay::Request & /*request*/) override
    {
        sent.push_back(attempt);
        open[attempt.id] = attempt;
    }
    void cancel(std::uint64_t attempt) override
    {
        open.erase(attempt);
        cancelled.push_back(attempt);
    }
    void resolveOrigin(std::uint64_t exchange, const relay::OriginQuery &query) override
    {
        questions[exchange] = query;
    }
    void logDecision(const relay::Decision &decision) override
    {
        steps.push_back(decision.step);
    }
    void logSignal(const relay::SignalNote &note) override
    {
        words.push_back(note.change);
    }
    void logQuarantine(const quarantine::Finding & /*finding*/, bool /*byLeader*/) override
    {
    }
    void logReach(const relay::ReachChange & /*change*/) override
    {
    }

    std::map<std::uint64_t, Seen> callers;
    std::vector<relay::Attempt> sent;
    std::map<std::uint64_t, relay::Attempt> open;
    std::vector<std::uint64_t> cancelled;
    std::vector<standing::Change> words;
    std::vector<relay::Step> steps;
    // By exchange.
    std::map<std::uint64_t, relay::OriginQuery> questions;
};

std::string eventOf(int number)
{
    std::string event = "id: ";
    event += std::to_string(number);
    event += "\ndata: ";
    event += std::to_string(number);
    event += "\n\n";
    return event;
}

config::Relay route(const char *prefix, config::Repeat repeat, bool resumable, int attempts)
{
    config::Relay out;
    out.name = prefix;
    out.host = "h";
    out.prefix = prefix;
    out.repeat = repeat;
    out.resumable = resumable;
    out.attempts = attempts;
    out.timeout = {10'000};
    out.objective = {1'000};
    out.pauseObjective = {400};
    out.shares = {{"svc", 1}};
    return out;
}

std::shared_ptr<const relay::RouteTable> makeTable(bool hasEngines = false)
{
    auto document = std::make_shared<config::Document>();
    document->services.push_back({"svc", 10, {}});
    if (hasEngines) {
        document->services.back().engine = config::Engine{};
    }
    document->relays.push_back(route("/once/", config::Repeat::AtMostOnce, false, 2));
    document->relays.push_back(route("/again/", config::Repeat::Idempotent, false, 2));
    document->relays.push_back(route("/stream/", config::Repeat::Stream, false, 1));
    document->relays.push_back(route("/resume/", config::Repeat::Stream, true, 3));
    document->relays.push_back(route("/resume-once/", config::Repeat::Stream, true, 2));
    document->relays.push_back(route("/open/", config::Repeat::Idempotent, false, 1));
    document->relays.back().open = true;
    for (config::Relay &it : document->relays) {
        it.open = true;
    }
    return std::make_shared<const relay::RouteTable>(7, document);
}

relay::Worker worker(const std::string &id)
{
    relay::Worker out;
    out.id = id;
    out.address = "10.0.0.1:" + id.substr(1);
    out.service = "svc";
    return out;
}

/** @brief A core with three upstreams and a generous retry budget. */
struct Fixture {
    World world;
    relay::Core core{options(), world};
    base::Millis now{1'000};

    Fixture()
    {
        core.setTable(makeTable());
        core.setWorkers({worker("w1"), worker("w2"), worker("w3")});
    }

    static relay::CoreOptions options()
    {
        relay::CoreOptions out;
        out.retries.permille = 1'000;
        return out;
    }

    void arrive(std::uint64_t id, const std::string &path)
    {
        relay::Request request;
        request.id = "r" + std::to_string(id);
        request.host = "h";
        request.path = path;
        request.timeout = base::Millis{8'000};
        core.onRequest(now, id, request);
    }

    static ResponseHead head(int status, ResponseOwner owner = ResponseOwner::Same, bool isSigned = true)
    {
        ResponseHead out;
        out.status = status;
        out.owner = owner;
        out.isSigned = isSigned;
        out.isEventStream = status == OK;
        return out;
    }

    void setVersions(const std::vector<std::string> &versions)
    {
        std::vector<relay::Worker> workers;
        for (std::size_t n = 0; n < versions.size(); ++n) {
            workers.push_back(worker("w" + std::to_string(n + 1)));
            workers.back().software = versions[n];
        }
        core.setWorkers(workers);
    }

    void resume(std::uint64_t id, const std::string &stream, const std::string &model = {},
        const std::string &path = "/resume/x")
    {
        relay::Request request;
        request.id = "r" + std::to_string(id);
        request.host = "h";
        request.path = path;
        request.timeout = base::Millis{8'000};
        request.lastEventId = "4";
        request.resumedId = stream;
        request.model = model;
        core.onRequest(now, id, request);
    }

    [[nodiscard]] bool isRefusedAsUnknown(std::uint64_t id)
    {
        const Seen &seen = world.callers[id];
        return seen.refusedNotRun && seen.reason == relay::Reason::OriginUnknown;
    }

    void setWorkerCount(int count)
    {
        std::vector<relay::Worker> workers;
        for (int n = 1; n <= count; ++n) {
            workers.push_back(worker("w" + std::to_string(n)));
        }
        core.setWorkers(workers);
    }

    std::uint64_t last() const
    {
        return world.sent.back().id;
    }

    void fail(std::uint64_t attempt, bool bytesSent)
    {
        world.open.erase(attempt);
        core.onAttemptEnded(now, attempt, {false, bytesSent, false, "test"});
    }

    void loseConnection(std::uint64_t attempt)
    {
        world.open.erase(attempt);
        core.onAttemptEnded(now, attempt, {false, true, true, "test"});
    }

    /** @brief Begins a resumable stream with one event and interrupts it; a second attempt is the last. */
    void interruptStream()
    {
        arrive(1, "/resume-once/x");
        core.onResponseHead(now, last(), head(OK));
        core.onResponseData(now, last(), eventOf(1));
        fail(last(), true);
        BOOST_REQUIRE(world.sent.size() == 2U);
        BOOST_REQUIRE(world.sent.back().lastEventId == "1");
    }

    /** @brief Checks that the caller has the beginning of the interrupted stream and nothing else, as a broken stream.
     */
    void checkAborted()
    {
        const Seen &seen = world.callers[1];
        BOOST_TEST(seen.ends == 1);
        BOOST_TEST(seen.aborted);
        BOOST_TEST(!seen.whole);
        BOOST_TEST(!seen.refused);
        BOOST_TEST(seen.bytes == eventOf(1));
        BOOST_TEST(std::count(world.steps.begin(), world.steps.end(), relay::Step::Answered) == 0);
        BOOST_TEST(core.inProgress() == 0U);
    }

    void answer(std::uint64_t attempt, ResponseHead answer, const std::string &body)
    {
        core.onResponseHead(now, attempt, std::move(answer));
        core.onResponseData(now, attempt, body);
        world.open.erase(attempt);
        core.onAttemptEnded(now, attempt, {true, true, false, "complete"});
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(relay_core, Fixture)

// review/6: without its last organisation a configuration opened every route to everybody.
BOOST_AUTO_TEST_CASE(keys_are_needed_when_the_last_organisation_is_gone)
{
    const auto tableOf = [](std::uint64_t version, bool hasOrganisation) {
        auto document = std::make_shared<config::Document>();
        document->services.push_back({"svc", 10, {}});
        document->relays.push_back(route("/closed/", config::Repeat::AtMostOnce, false, 1));
        document->relays.push_back(route("/open/", config::Repeat::AtMostOnce, false, 1));
        document->relays.back().open = true;
        if (hasOrganisation) {
            config::Organisation organisation;
            organisation.name = "org";
            organisation.unlimited = true;
            organisation.keys.push_back({"k", base::sha256("key"), false});
            document->organisations.push_back(organisation);
        }
        return std::make_shared<const relay::RouteTable>(version, document);
    };
    std::uint64_t id = 0;
    const auto isSent = [&](const std::string &path, const std::string &key) {
        const std::size_t before = world.sent.size();
        relay::Request request;
        request.id = "r" + std::to_string(++id);
        request.host = "h";
        request.path = path;
        request.key = key;
        core.onRequest(now, id, request);
        const bool sent = world.sent.size() > before;
        BOOST_TEST((sent || world.callers[id].reason == relay::Reason::UnknownKey));
        return sent;
    };
    core.setTable(tableOf(8, true));
    BOOST_TEST(isSent("/closed/x", "key"));
    BOOST_TEST(!isSent("/closed/x", "strange"));
    core.setTable(tableOf(9, false));
    for (const char *key : {"key", "strange", ""}) {
        BOOST_TEST(!isSent("/closed/x", key), key);
        BOOST_TEST(isSent("/open/x", key), key);
    }
}

BOOST_AUTO_TEST_CASE(requests_wait_for_a_fast_adapter_load_but_not_for_a_lost_model)
{
    World world;
    relay::Core core(Fixture::options(), world);
    auto document = std::make_shared<config::Document>();
    document->services.push_back({"svc", 10, config::Engine{}});
    document->relays.push_back(route("/s/", config::Repeat::Stream, false, 1));
    document->relays.back().open = true;
    core.setTable(std::make_shared<const relay::RouteTable>(1, document));
    relay::Worker engine = worker("w1");
    engine.holdings = {"m"};
    core.setWorkers({engine});
    base::Millis now{1'000};
    const auto arrive = [&](std::uint64_t id, const std::string &model, const std::string &adapter) {
        relay::Request request;
        request.id = "r" + std::to_string(id);
        request.host = "h";
        request.path = "/s/";
        request.model = model;
        request.adapter = adapter;
        core.onRequest(now, id, request);
    };
    arrive(1, "m", "a1");
    BOOST_TEST(world.sent.empty());
    BOOST_TEST(world.callers[1].ends == 0);
    BOOST_TEST(core.takeUrgent());
    BOOST_TEST(!core.takeUrgent());
    arrive(2, "lost", "");
    BOOST_TEST(world.callers[2].refusedNotRun);
    now += base::Millis{60};
    core.setPlacements(now, {{"w1", "m/a1", {0}}});
    core.tick(now);
    BOOST_TEST(world.sent.size() == 1U);
    // The retry delay is the time until the model is loaded.
    core.setPlacements(now, {{"w1", "lost", {3'000}}});
    arrive(3, "lost", "");
    BOOST_TEST(world.callers[3].refusedNotRun);
    BOOST_TEST((world.callers[3].retryAfter == base::Millis{3'000}));
    // The adapter is never loaded: the request is rejected once it can no longer meet the objective.
    arrive(4, "m", "a2");
    now += base::Millis{900};
    core.tick(now);
    BOOST_TEST(world.callers[4].refusedNotRun);
}

BOOST_AUTO_TEST_CASE(a_response_is_forwarded_unchanged)
{
    arrive(1, "/once/x");
    BOOST_TEST(world.sent.size() == 1U);
    BOOST_TEST(world.sent.front().remaining.count == 8'000);
    answer(last(), head(OK), "body");
    BOOST_TEST(world.callers[1].whole);
    BOOST_TEST(world.callers[1].bytes == "body");
    BOOST_TEST(core.inProgress() == 0U);
}

BOOST_AUTO_TEST_CASE(before_the_first_configuration_a_request_is_refused_as_not_run)
{
    relay::Core fresh({}, world);
    fresh.onRequest(now, 5, {});
    BOOST_TEST(world.callers[5].refusedNotRun);
    BOOST_TEST((world.callers[5].reason == relay::Reason::NotConfigured));
}

// Guards against requests that are handled by a version that is not in force any more.
BOOST_AUTO_TEST_CASE(while_the_configuration_is_outdated_a_request_is_refused_as_not_run)
{
    core.setOutdated(true);
    arrive(1, "/once/x");
    BOOST_TEST(world.callers[1].refusedNotRun);
    BOOST_TEST((world.callers[1].reason == relay::Reason::Outdated));
    core.setOutdated(false);
    arrive(2, "/once/x");
    BOOST_TEST(world.sent.size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_request_that_may_run_once_is_not_sent_again_after_a_byte)
{
    arrive(1, "/once/x");
    fail(last(), true);
    BOOST_TEST(world.sent.size() == 1U);
    BOOST_TEST(world.callers[1].refused);
    BOOST_TEST(!world.callers[1].refusedNotRun);
}

BOOST_AUTO_TEST_CASE(a_request_that_never_left_is_sent_to_another_upstream)
{
    arrive(1, "/once/x");
    const std::string first = world.sent.front().upstream;
    fail(last(), false);
    BOOST_TEST(world.sent.size() == 2U);
    BOOST_TEST(world.sent.back().upstream != first);
}

BOOST_AUTO_TEST_CASE(a_rejection_counts_as_not_executed_only_if_the_upstream_says_so)
{
    arrive(1, "/once/x");
    ResponseHead busy = head(UNAVAILABLE, ResponseOwner::Unknown, false);
    busy.notRun = true;
    answer(last(), busy, "");
    BOOST_TEST(world.sent.size() == 2U);
    answer(last(), head(UNAVAILABLE, ResponseOwner::Unknown, false), "");
    BOOST_TEST(world.callers[1].refused);
    BOOST_TEST(!world.callers[1].refusedNotRun);
}

BOOST_AUTO_TEST_CASE(a_response_to_another_request_is_never_forwarded)
{
    arrive(1, "/again/x");
    core.onResponseHead(now, last(), head(OK, ResponseOwner::Other));
    BOOST_TEST(world.sent.size() == 2U);
    answer(last(), head(OK), "mine");
    BOOST_TEST(world.callers[1].bytes == "mine");
}

BOOST_AUTO_TEST_CASE(a_stray_response_on_a_pooled_connection_is_retried_there_while_the_other_upstream_is_in_back_off)
{
    enum class Stray { OtherRequest, NoResponse };
    for (const Stray stray : {Stray::OtherRequest, Stray::NoResponse}) {
        Fixture it;
        it.core.setWorkers({worker("w1"), worker("w2")});
        it.arrive(1, "/once/x");
        const std::string backsOff = it.world.sent.front().upstream;
        it.loseConnection(it.last());
        it.arrive(2, "/again/x");
        BOOST_TEST(it.world.sent.back().upstream != backsOff);
        BOOST_TEST(!it.world.sent.back().freshConnection);
        if (stray == Stray::OtherRequest) {
            it.core.onResponseHead(it.now, it.last(), Fixture::head(OK, ResponseOwner::Other));
        } else {
            relay::AttemptEnd end;
            end.reason = "malformed";
            end.malformed = true;
            it.core.onAttemptEnded(it.now, it.last(), end);
        }
        BOOST_REQUIRE(it.world.sent.size() == 3U);
        BOOST_TEST(it.world.sent.back().upstream != backsOff);
        BOOST_TEST(it.world.sent.back().freshConnection);
        BOOST_TEST((it.world.sent.back().charge == relay::Charge::Retry));
        it.answer(it.last(), Fixture::head(OK), "mine");
        BOOST_TEST(it.world.callers[2].bytes == "mine");
    }
}

BOOST_AUTO_TEST_CASE(a_stray_response_does_not_turn_one_reset_of_a_later_request_into_a_back_off_of_both_upstreams)
{
    core.setWorkers({worker("w1"), worker("w2")});
    arrive(1, "/again/x");
    relay::AttemptEnd garbage;
    garbage.reason = "malformed";
    garbage.malformed = true;
    core.onAttemptEnded(now, last(), garbage);
    core.onAttemptEnded(now, last(), garbage);
    arrive(2, "/again/x");
    loseConnection(last());
    loseConnection(last());
    BOOST_TEST(world.callers[2].refused);
    arrive(3, "/again/x");
    BOOST_TEST(world.callers[3].ends == 0);
    answer(last(), head(OK), "mine");
    BOOST_TEST(world.callers[3].bytes == "mine");
}

BOOST_AUTO_TEST_CASE(a_stray_response_on_a_new_connection_excludes_the_upstream)
{
    core.setWorkers({worker("w1")});
    arrive(1, "/again/x");
    core.onResponseHead(now, last(), head(OK, ResponseOwner::Other));
    BOOST_REQUIRE(world.sent.size() == 2U);
    core.onResponseHead(now, last(), head(OK, ResponseOwner::Other));
    BOOST_TEST(world.sent.size() == 2U);
    BOOST_TEST(world.callers[1].refused);
    BOOST_TEST(!world.callers[1].refusedNotRun);
}

BOOST_AUTO_TEST_CASE(a_late_copy_of_a_refusal_on_a_pooled_connection_does_not_make_a_running_request_not_run)
{
    for (const int status : {400, 421, 429, UNAVAILABLE}) {
        for (const ResponseOwner owner : {ResponseOwner::Unknown, ResponseOwner::Other}) {
            Fixture it;
            it.core.setWorkers({worker("w1")});
            it.arrive(1, "/again/x");
            BOOST_REQUIRE(!it.world.sent.back().freshConnection);
            ResponseHead refusal = Fixture::head(status, owner, false);
            refusal.notRun = true;
            refusal.misdirected = status == 421;
            it.answer(it.last(), refusal, "refused");
            BOOST_REQUIRE(it.world.sent.size() == 2U);
            BOOST_TEST(it.world.sent.back().freshConnection);
            BOOST_TEST((it.world.sent.back().charge == relay::Charge::Retry));
            it.loseConnection(it.last());
            BOOST_TEST(it.world.callers[1].refused);
            BOOST_TEST(!it.world.callers[1].refusedNotRun);
        }
    }
}

BOOST_AUTO_TEST_CASE(a_late_copy_of_an_error_on_a_pooled_connection_is_not_forwarded)
{
    arrive(1, "/again/x");
    BOOST_REQUIRE(!world.sent.back().freshConnection);
    answer(last(), head(404, ResponseOwner::Unknown), "of another request");
    BOOST_REQUIRE(world.sent.size() == 2U);
    answer(last(), head(OK), "mine");
    BOOST_TEST(world.callers[1].bytes == "mine");
}

BOOST_AUTO_TEST_CASE(a_refusal_that_echoes_the_request_is_believed_on_a_pooled_connection)
{
    core.setWorkers({worker("w1")});
    arrive(1, "/again/x");
    ResponseHead refusal = head(UNAVAILABLE, ResponseOwner::Same, false);
    refusal.notRun = true;
    answer(last(), refusal, "");
    BOOST_TEST(world.callers[1].refusedNotRun);
}

BOOST_AUTO_TEST_CASE(a_request_that_may_run_once_or_is_sent_again_never_shares_a_connection_with_an_earlier_one)
{
    for (const char *path : {"/once/x", "/stream/x"}) {
        Fixture it;
        it.arrive(1, path);
        BOOST_TEST(it.world.sent.back().freshConnection);
    }
    for (const char *path : {"/again/x", "/resume/x"}) {
        Fixture it;
        it.arrive(1, path);
        ResponseHead refusal = Fixture::head(UNAVAILABLE, ResponseOwner::Same, false);
        refusal.notRun = true;
        it.answer(it.last(), refusal, "");
        BOOST_REQUIRE(it.world.sent.size() == 2U);
        BOOST_TEST(it.world.sent.back().freshConnection);
    }
}

BOOST_AUTO_TEST_CASE(upstreams_that_answer_a_connection_attempt_too_late_have_not_crashed_on_a_prompt)
{
    for (const bool refused : {true, false}) {
        Fixture it;
        const auto arrive = [&it](std::uint64_t id) {
            relay::Request request;
            request.id = "r" + std::to_string(id);
            request.host = "h";
            request.path = "/once/x";
            request.parts = {{"shared", 100}, {"own" + std::to_string(id), 10}};
            it.core.onRequest(it.now, id, request);
        };
        std::uint64_t id = 0;
        for (const char *upstream : {"w1", "w2", "w3", "w4", "w5", "w6"}) {
            it.core.setWorkers({worker(upstream)});
            arrive(++id);
            relay::AttemptEnd cut;
            cut.truncated = true;
            it.core.onAttemptEnded(it.now, it.last(), cut);
            arrive(++id);
            relay::AttemptEnd unreached;
            unreached.bytesSent = false;
            unreached.connectTimedOut = !refused;
            it.core.onAttemptEnded(it.now, it.last(), unreached);
            it.now += base::Millis{2'000};
            it.core.tick(it.now);
        }
        it.core.setWorkers({worker("w7")});
        arrive(++id);
        const bool quarantined =
            it.world.callers[id].ends == 1 && it.world.callers[id].reason == relay::Reason::Quarantined;
        BOOST_TEST(quarantined == refused);
    }
}

BOOST_AUTO_TEST_CASE(an_unsigned_success_response_counts_as_a_failure)
{
    arrive(1, "/once/x");
    core.onResponseHead(now, last(), head(OK, ResponseOwner::Same, false));
    BOOST_TEST(world.callers[1].refused);
    BOOST_TEST(!world.callers[1].refusedNotRun);
}

BOOST_AUTO_TEST_CASE(a_lost_pooled_connection_is_retried_over_a_new_one_which_shows_whether_the_upstream_is_down)
{
    core.setWorkers({worker("w1")});
    arrive(1, "/again/x");
    BOOST_TEST(!world.sent[0].freshConnection);
    loseConnection(last());
    BOOST_TEST(world.sent.size() == 2U);
    BOOST_TEST(world.sent.back().freshConnection);
    BOOST_TEST((world.sent.back().charge == relay::Charge::Retry));
    // The new connection is refused: neither this request nor another one is sent there again.
    fail(last(), false);
    arrive(3, "/again/x");
    BOOST_TEST(world.sent.size() == 2U);
    BOOST_TEST(world.callers[1].ends == 1);
    BOOST_TEST(world.callers[3].refusedNotRun);
    now += base::Millis{5'000};
    arrive(4, "/again/x");
    BOOST_TEST(world.sent.size() == 3U);
    BOOST_TEST(world.sent.back().freshConnection);
    answer(last(), head(OK), "back");
    arrive(5, "/again/x");
    BOOST_TEST(!world.sent.back().freshConnection);
}

BOOST_AUTO_TEST_CASE(an_upstream_that_loses_new_connections_gets_no_request_for_a_while)
{
    core.setWorkers({worker("w1"), worker("w2")});
    arrive(1, "/once/x");
    const std::string lost = world.sent.front().upstream;
    loseConnection(last());
    BOOST_TEST(world.callers[1].refused);
    BOOST_TEST(!world.callers[1].refusedNotRun);
    for (std::uint64_t n = 2; n < 6; ++n) {
        arrive(n, "/once/x");
        BOOST_TEST(world.sent.back().upstream != lost);
    }
}

BOOST_AUTO_TEST_CASE(an_endless_response_is_cancelled_and_never_delivered)
{
    const std::string part(65'536, 'x');
    arrive(1, "/once/x");
    const std::uint64_t attempt = last();
    core.onResponseHead(now, attempt, head(OK));
    std::size_t given = 0;
    while (world.open.contains(attempt) && given < 1'000) {
        core.onResponseData(now, attempt, part);
        ++given;
    }
    BOOST_TEST(given * part.size() <= Fixture::options().maxResponseBytes + part.size());
    BOOST_TEST(world.callers[1].refused);
    BOOST_TEST(!world.callers[1].refusedNotRun);
    BOOST_TEST(!world.callers[1].whole);
    // Later events of the cancelled attempt are ignored.
    core.onResponseData(now, attempt, part);
    core.onAttemptEnded(now, attempt, {true, true, false, "complete"});
    BOOST_TEST(world.callers[1].ends == 1);
}

BOOST_AUTO_TEST_CASE(a_hundred_endless_responses_share_one_buffer_limit)
{
    std::vector<relay::Worker> workers;
    for (int n = 1; n <= 100; ++n) {
        workers.push_back(worker("w" + std::to_string(n)));
    }
    core.setWorkers(workers);
    const std::string part(65'536, 'x');
    for (std::uint64_t n = 1; n <= 100; ++n) {
        arrive(n, "/once/x");
        core.onResponseHead(now, last(), head(OK));
    }
    std::size_t held = 0;
    std::size_t most = 0;
    for (int round = 0; round < 100 && !world.open.empty(); ++round) {
        const auto open = world.open;
        for (const auto &[attempt, where] : open) {
            const std::size_t before = world.open.size();
            core.onResponseData(now, attempt, part);
            held += part.size();
            if (world.open.size() < before) {
                // Its buffer was released entirely; this part was never buffered.
                held -= part.size() * static_cast<std::size_t>(round + 1);
            }
            most = std::max(most, held);
        }
    }
    BOOST_TEST(most <= Fixture::options().maxBufferedBytes + part.size());
    BOOST_TEST(core.inProgress() == 0U);
    arrive(101, "/again/x");
    answer(last(), head(OK), "served");
    BOOST_TEST(world.callers[101].bytes == "served");
}

BOOST_AUTO_TEST_CASE(a_stream_without_complete_events_is_abandoned_but_a_slow_one_is_not)
{
    arrive(1, "/resume/x");
    arrive(2, "/resume/x");
    const std::uint64_t stalled = world.sent[0].id;
    const std::uint64_t slow = world.sent[1].id;
    for (const std::uint64_t it : {stalled, slow}) {
        core.onResponseHead(now, it, head(OK));
        core.onResponseData(now, it, eventOf(1));
    }
    for (int n = 2; n < 8; ++n) {
        for (int tick = 0; tick < 10; ++tick) {
            now += base::Millis{100};
            core.onResponseData(now, stalled, "x");
            core.tick(now);
        }
        // One second between two events misses the route's objective but is progress.
        core.onResponseData(now, slow, eventOf(n));
    }
    BOOST_TEST(!world.open.contains(stalled));
    BOOST_TEST(world.open.contains(slow));
    BOOST_TEST(world.sent.at(2).exchange == 1U);
    BOOST_TEST(world.sent.at(2).lastEventId == "1");
    BOOST_TEST(world.sent.at(2).upstream != world.sent.front().upstream);
}

// Cancelled too early, the stream is aborted, as the other upstreams may turn it away.
BOOST_AUTO_TEST_CASE(a_stream_whose_upstream_pauses_for_a_second_and_a_half_is_not_aborted)
{
    arrive(1, "/resume/x");
    const std::uint64_t paused = last();
    core.onResponseHead(now, paused, head(OK));
    std::string events;
    for (int n = 1; n <= 10; ++n) {
        events += eventOf(n);
        core.onResponseData(now, paused, eventOf(n));
        now += base::Millis{300};
        core.tick(now);
    }
    for (int tick = 0; tick < 12; ++tick) {
        now += base::Millis{100};
        core.tick(now);
        for (std::size_t n = 1; n < world.sent.size(); ++n) {
            ResponseHead refusal = head(UNAVAILABLE);
            refusal.notRun = true;
            answer(world.sent[n].id, std::move(refusal), "");
        }
    }
    core.onResponseData(now, paused, eventOf(11));
    core.onAttemptEnded(now, paused, {true, true, false, "complete"});
    BOOST_TEST(!world.callers[1].aborted);
    BOOST_TEST(world.callers[1].whole);
    BOOST_TEST(world.callers[1].bytes == events + eventOf(11));
}

// Its caller has the beginning of the answer: taken from this upstream and turned away by the others, it is aborted.
BOOST_AUTO_TEST_CASE(a_resumed_stream_whose_upstream_pauses_before_its_first_event_is_not_aborted)
{
    auto document = std::make_shared<config::Document>();
    document->services.push_back({"svc", 10, {}});
    document->relays.push_back(route("/resume/", config::Repeat::Stream, true, 3));
    document->relays.back().open = true;
    document->relays.back().objective = {500};
    core.setTable(std::make_shared<const relay::RouteTable>(8, document));
    // Requests that the share of retries is measured by.
    for (std::uint64_t n = 2; n < 6; ++n) {
        arrive(n, "/resume/x");
        answer(last(), head(OK), eventOf(1));
    }
    world.sent.clear();
    arrive(1, "/resume/x");
    core.onResponseHead(now, last(), head(OK));
    core.onResponseData(now, last(), eventOf(1));
    fail(last(), true);
    BOOST_REQUIRE(world.sent.size() == 2U);
    const std::uint64_t paused = last();
    for (int tick = 0; tick < 15; ++tick) {
        now += base::Millis{100};
        core.tick(now);
        for (std::size_t n = 2; n < world.sent.size(); ++n) {
            ResponseHead refusal = head(UNAVAILABLE);
            refusal.notRun = true;
            answer(world.sent[n].id, std::move(refusal), "");
        }
    }
    BOOST_TEST(world.open.contains(paused));
    answer(paused, head(OK), eventOf(2));
    BOOST_TEST(!world.callers[1].aborted);
    BOOST_TEST(world.callers[1].whole);
    BOOST_TEST(world.callers[1].bytes == eventOf(1) + eventOf(2));
}

// The upstreams that turn the stream away have not run it, so they use up none of its attempts.
BOOST_AUTO_TEST_CASE(a_stream_that_left_a_stalled_upstream_is_not_aborted_while_another_upstream_takes_it)
{
    // Requests that the share of retries is measured by.
    for (std::uint64_t n = 2; n < 6; ++n) {
        arrive(n, "/once/x");
        answer(last(), head(OK), "");
    }
    world.sent.clear();
    arrive(1, "/resume-once/x");
    core.onResponseHead(now, last(), head(OK));
    core.onResponseData(now, last(), eventOf(1));
    for (int tick = 0; tick < 45 && world.sent.size() < 3; ++tick) {
        now += base::Millis{100};
        core.tick(now);
        if (world.sent.size() == 2) {
            ResponseHead refusal = head(UNAVAILABLE);
            refusal.notRun = true;
            answer(last(), std::move(refusal), "");
        }
    }
    BOOST_REQUIRE(world.sent.size() == 3U);
    answer(last(), head(OK), eventOf(2));
    BOOST_TEST(!world.callers[1].aborted);
    BOOST_TEST(world.callers[1].whole);
    BOOST_TEST(world.callers[1].bytes == eventOf(1) + eventOf(2));
}

// Cancelled before another upstream has room, the stream would wait in a queue and might be aborted there.
BOOST_AUTO_TEST_CASE(a_stream_whose_upstream_pauses_for_long_goes_on_there_while_no_other_has_room)
{
    core.setWorkers({worker("w1")});
    arrive(1, "/resume/x");
    const std::uint64_t paused = last();
    core.onResponseHead(now, paused, head(OK));
    core.onResponseData(now, paused, eventOf(1));
    core.setWorkers({worker("w1"), worker("w2")});
    // As many as the windows of both upstreams take, so that the others wait.
    for (std::uint64_t n = 2; n < 14; ++n) {
        arrive(n, "/once/x");
    }
    for (int tick = 0; tick < 40; ++tick) {
        now += base::Millis{100};
        core.tick(now);
    }
    BOOST_TEST(world.open.contains(paused));
    core.onResponseData(now, paused, eventOf(2));
    core.onAttemptEnded(now, paused, {true, true, false, "complete"});
    BOOST_TEST(world.callers[1].whole);
}

BOOST_AUTO_TEST_CASE(an_idempotent_request_is_retried_after_a_server_error_which_is_forwarded_at_last)
{
    arrive(1, "/again/x");
    answer(last(), head(SERVER_ERROR), "first");
    BOOST_TEST(world.sent.size() == 2U);
    answer(last(), head(SERVER_ERROR), "second");
    BOOST_TEST(world.callers[1].status == SERVER_ERROR);
    BOOST_TEST(world.callers[1].bytes == "second");
}

BOOST_AUTO_TEST_CASE(an_interrupted_stream_resumes_after_its_last_complete_event)
{
    arrive(1, "/resume/x");
    core.onResponseHead(now, last(), head(OK));
    core.onResponseData(now, last(), "id: 1\ndata: a\n\nid: 2\nda");
    fail(last(), true);
    BOOST_TEST(world.sent.size() == 2U);
    BOOST_TEST(world.sent.back().lastEventId == "1");
    answer(last(), head(OK), "id: 2\ndata: b\n\n");
    BOOST_TEST(world.callers[1].bytes == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    BOOST_TEST(world.callers[1].whole);
}

BOOST_AUTO_TEST_CASE(an_error_of_the_next_upstream_does_not_reach_the_caller_of_an_interrupted_stream)
{
    for (const int status : {301, 400, 404, 408, 421, 429, SERVER_ERROR, 502, UNAVAILABLE}) {
        for (const bool notRun : {false, true}) {
            for (const bool delimited : {false, true}) {
                Fixture it;
                it.interruptStream();
                ResponseHead error = Fixture::head(status);
                error.notRun = notRun;
                error.misdirected = status == 421;
                it.core.onResponseHead(it.now, it.last(), error);
                it.core.onResponseData(it.now, it.last(), "id: 2\ndata: error\n\n");
                it.world.open.erase(it.last());
                it.core.onAttemptEnded(it.now, it.last(), {true, true, false, "complete", false, delimited});
                if (it.core.inProgress() > 0) {
                    // An attempt that was not run does not count.
                    BOOST_TEST((notRun || status == 421));
                    it.fail(it.last(), true);
                }
                it.checkAborted();
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(a_success_of_the_next_upstream_that_is_no_event_stream_does_not_reach_the_caller)
{
    for (const int status : {200, 204, 206}) {
        for (const char *body : {"", "{\"error\":\"down\"}", "<p>down</p>\n\n", "id: 2\ndata: b\n\n"}) {
            Fixture it;
            it.interruptStream();
            ResponseHead other = Fixture::head(status);
            other.isEventStream = false;
            it.answer(it.last(), other, body);
            it.checkAborted();
        }
    }
}

BOOST_AUTO_TEST_CASE(an_error_within_the_events_of_the_next_upstream_does_not_reach_the_caller)
{
    const std::string head = "HTTP/1.1 503 Service Unavailable\r\nContent-Type: text/plain\r\n\r\n";
    const std::vector<std::string> bodies{head, head + "down\n\n", "down\n\n", "{\"error\":\"down\"}\n\n",
        "id: 2\ndata: b" + head + "down\n\n", "error: down\n\n", "event: error\ndata: down\n\n", "data: down\n\n",
        eventOf(1), "id: 0\ndata: b\n\n", "id:\ndata: b\n\n"};
    for (const std::string &body : bodies) {
        for (const bool delimited : {false, true}) {
            Fixture it;
            it.interruptStream();
            it.core.onResponseHead(it.now, it.last(), Fixture::head(OK));
            it.core.onResponseData(it.now, it.last(), body);
            it.core.onAttemptEnded(it.now, it.last(), {true, true, false, "complete", false, delimited});
            BOOST_TEST_CONTEXT(body)
            {
                it.checkAborted();
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(an_error_that_an_upstream_writes_into_its_own_stream_does_not_reach_the_caller)
{
    for (const char *error : {"HTTP/1.1 500 Oops\r\nA: b\r\n\r\noops\n\n", "Internal error\n\n", "{\"error\":1}\n\n"}) {
        Fixture it;
        it.arrive(1, "/stream/x");
        it.answer(it.last(), Fixture::head(OK), eventOf(1));
        BOOST_TEST(it.world.callers[1].whole);
        it.arrive(2, "/stream/x");
        it.core.onResponseHead(it.now, it.last(), Fixture::head(OK));
        it.core.onResponseData(it.now, it.last(), eventOf(1));
        it.core.onResponseData(it.now, it.last(), error);
        BOOST_TEST(it.world.callers[2].aborted);
        BOOST_TEST(it.world.callers[2].bytes == eventOf(1));
    }
}

BOOST_AUTO_TEST_CASE(a_resumed_stream_goes_on_with_comments_other_fields_and_gaps_between_ids)
{
    interruptStream();
    const std::string rest = ": comment\n\nx-other: 4\nid: 3\nevent: token\ndata\n\nid:10\r\ndata: b\r\n\r\n";
    core.onResponseHead(now, last(), head(OK));
    for (const char it : rest) {
        core.onResponseData(now, last(), std::string(1, it));
    }
    core.onAttemptEnded(now, last(), {true, true, false, "complete"});
    BOOST_TEST(world.callers[1].whole);
    BOOST_TEST(world.callers[1].bytes == eventOf(1) + rest);
}

BOOST_AUTO_TEST_CASE(a_resumed_stream_without_length_or_chunks_that_ends_before_its_first_event_is_not_complete)
{
    interruptStream();
    core.onResponseHead(now, last(), head(OK));
    core.onAttemptEnded(now, last(), {true, true, false, "complete", false, false});
    checkAborted();
}

BOOST_AUTO_TEST_CASE(a_resumed_stream_without_events_is_complete_if_its_response_is)
{
    interruptStream();
    core.onResponseHead(now, last(), head(OK));
    core.onAttemptEnded(now, last(), {true, true, false, "complete", false, true});
    BOOST_TEST(world.callers[1].whole);
    BOOST_TEST(world.callers[1].bytes == eventOf(1));
}

BOOST_AUTO_TEST_CASE(an_interrupted_stream_whose_events_have_no_ids_is_not_sent_again_from_its_beginning)
{
    arrive(1, "/resume/x");
    core.onResponseHead(now, last(), head(OK));
    core.onResponseData(now, last(), "data: a\n\n");
    fail(last(), true);
    BOOST_TEST(world.sent.size() == 1U);
    BOOST_TEST(world.callers[1].aborted);
    BOOST_TEST(world.callers[1].bytes == "data: a\n\n");
}

BOOST_AUTO_TEST_CASE(an_interrupted_stream_that_is_not_resumable_is_aborted)
{
    arrive(1, "/stream/x");
    core.onResponseHead(now, last(), head(OK));
    core.onResponseData(now, last(), "id: 1\ndata: a\n\n");
    fail(last(), true);
    BOOST_TEST(world.callers[1].aborted);
    BOOST_TEST(!world.callers[1].whole);
}

BOOST_AUTO_TEST_CASE(a_stream_that_ends_inside_an_event_is_truncated)
{
    arrive(1, "/stream/x");
    answer(last(), head(OK), "id: 1\ndata: a\n\nid: 2\nda");
    BOOST_TEST(world.callers[1].aborted);
}

BOOST_AUTO_TEST_CASE(a_stream_without_length_or_chunks_that_ends_before_its_first_event_is_not_complete)
{
    arrive(1, "/resume/x");
    core.onResponseHead(now, last(), head(OK));
    core.onAttemptEnded(now, last(), {true, true, false, "complete", false, false});
    BOOST_TEST(world.sent.size() == 2U);
    core.onResponseHead(now, last(), head(OK));
    core.onResponseData(now, last(), eventOf(1));
    core.onAttemptEnded(now, last(), {true, true, false, "complete", false, false});
    BOOST_TEST(world.callers[1].whole);
    BOOST_TEST(world.callers[1].bytes == eventOf(1));
}

BOOST_AUTO_TEST_CASE(a_stream_without_length_or_chunks_that_ends_after_its_first_event_proves_no_survival)
{
    arrive(1, "/resume/x");
    loseConnection(last());
    const auto survivals = [this] {
        return core.takeQuarantineReport(now).survivals.size();
    };
    core.onResponseHead(now, last(), head(OK));
    core.onResponseData(now, last(), eventOf(1));
    core.onAttemptEnded(now, last(), {true, true, false, "complete", false, false});
    BOOST_TEST(survivals() == 0U);
    arrive(2, "/resume/x");
    core.onResponseHead(now, last(), head(OK));
    core.onResponseData(now, last(), eventOf(1) + eventOf(2));
    BOOST_TEST(survivals() == 1U);
}

BOOST_AUTO_TEST_CASE(a_lost_pooled_connection_is_evidence_of_a_crash)
{
    arrive(1, "/again/x");
    BOOST_REQUIRE(!world.sent.back().freshConnection);
    loseConnection(last());
    BOOST_TEST(core.takeQuarantineReport(now).lostAttempts.size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_disconnected_caller_cancels_its_attempt_at_once)
{
    arrive(1, "/resume/x");
    const std::uint64_t attempt = last();
    core.onCallerDisconnected(now, 1);
    BOOST_TEST(world.cancelled == std::vector<std::uint64_t>{attempt}, boost::test_tools::per_element());
    BOOST_TEST(core.inProgress() == 0U);
}

BOOST_AUTO_TEST_CASE(an_entry_that_is_cut_off_without_peers_does_not_quarantine_a_sound_request)
{
    core.setWorkers({worker("w1"), worker("w2"), worker("w3")});
    arrive(1, "/again/x");
    fail(last(), false);
    fail(last(), false);
    now += base::Millis{300};
    fail(last(), false);
    BOOST_REQUIRE(core.reach().isCutOff());
    std::size_t lost = 0;
    for (std::uint64_t id = 2; id < 20; ++id) {
        arrive(id, "/again/x");
        // Connections are closed with the request unread, later refused.
        for (bool loses = id < 6; !world.open.empty(); loses = false) {
            if (loses) {
                loseConnection(last());
                ++lost;
            } else {
                fail(last(), false);
            }
        }
        now += base::Millis{400};
        core.tick(now);
    }
    BOOST_TEST(core.reach().isCutOff());
    BOOST_TEST(lost >= 3U);
    BOOST_TEST(core.takeQuarantineReport(now).quarantines.empty());
}

BOOST_AUTO_TEST_CASE(an_entry_that_is_cut_off_without_peers_notices_the_end_by_a_repeatable_request)
{
    arrive(1, "/again/x");
    fail(last(), false);
    fail(last(), false);
    now += base::Millis{300};
    fail(last(), false);
    BOOST_REQUIRE(core.reach().isCutOff());
    now += base::Millis{5'000};
    core.tick(now);
    arrive(2, "/again/x");
    BOOST_TEST(world.sent.back().freshConnection);
    answer(last(), head(OK), "");
    BOOST_TEST(!core.reach().isCutOff());
}

BOOST_AUTO_TEST_CASE(connections_refused_before_a_partition_is_detected_do_not_quarantine_a_sound_request)
{
    setWorkerCount(9);
    for (std::uint64_t id = 1; id < 10; ++id) {
        arrive(id, "/again/x");
        for (bool loses = true; !world.open.empty(); loses = false) {
            if (loses) {
                loseConnection(last());
            } else {
                fail(last(), false);
            }
        }
        now += base::Millis{110};
        core.tick(now);
    }
    BOOST_TEST(core.takeQuarantineReport(now).lostAttempts.size() >= 3U);
    BOOST_TEST(core.takeQuarantineReport(now).quarantines.empty());
}

BOOST_AUTO_TEST_CASE(a_partition_that_ends_and_begins_again_does_not_quarantine_a_sound_request)
{
    std::uint64_t id = 0;
    const auto playAtEach = [&](const char *path, auto &&end) {
        for (const char *upstream : {"w1", "w2", "w3"}) {
            core.setWorkers({worker(upstream)});
            arrive(++id, path);
            while (!world.open.empty()) {
                end(last());
            }
            now += base::Millis{200};
            core.tick(now);
        }
    };
    playAtEach("/again/x", [this](std::uint64_t attempt) {
        loseConnection(attempt);
    });
    playAtEach("/once/y", [this](std::uint64_t attempt) {
        answer(attempt, head(OK), "");
    });
    playAtEach("/once/y", [this](std::uint64_t attempt) {
        fail(attempt, false);
    });
    now += base::Millis{200};
    core.tick(now);
    const quarantine::Report report = core.takeQuarantineReport(now);
    BOOST_TEST(report.lostAttempts.size() >= 3U);
    BOOST_TEST(report.quarantines.empty());
}

BOOST_AUTO_TEST_CASE(a_request_that_crashes_upstreams_among_sound_ones_is_found_by_the_refused_connections)
{
    setWorkerCount(3);
    std::map<std::string, base::Millis> downUntil;
    std::size_t crashes = 0;
    std::uint64_t id = 0;
    for (int n = 0; n < 600 && core.takeQuarantineReport(now).quarantines.empty(); ++n) {
        const bool isDeadly = n % 20 == 19;
        arrive(++id, isDeadly ? "/once/deadly" : "/once/" + std::to_string(n));
        while (!world.open.empty()) {
            const std::string upstream = world.sent.back().upstream;
            if (now < downUntil[upstream]) {
                fail(last(), false);
            } else if (isDeadly) {
                downUntil[upstream] = now + base::Millis{3'000};
                ++crashes;
                loseConnection(last());
            } else {
                answer(last(), head(OK), "");
            }
        }
        now += base::Millis{50};
        core.tick(now);
    }
    BOOST_TEST(core.takeQuarantineReport(now).quarantines.size() == 1U);
    // The fewest that an entry quarantines a request for.
    BOOST_TEST(crashes == 3U);
}

BOOST_AUTO_TEST_CASE(a_forwarding_entry_that_ends_does_not_cost_a_request_its_only_upstream)
{
    core.setPeers(now, {"10.0.2.1:1", "10.0.2.2:1"}, 1);
    arrive(1, "/again/x");
    fail(last(), false);
    fail(last(), false);
    now += base::Millis{300};
    fail(last(), false);
    BOOST_REQUIRE(core.reach().isCutOff());
    answer(last(), head(OK), "");
    core.setWorkers({worker("w1")});

    arrive(2, "/again/x");
    const std::string peer = world.sent.back().via;
    BOOST_REQUIRE(!peer.empty());
    relay::AttemptEnd peerFailed;
    peerFailed.peerFailed = true;
    world.open.erase(last());
    core.onAttemptEnded(now, last(), peerFailed);
    BOOST_TEST(world.sent.back().exchange == 2U);
    BOOST_TEST(world.sent.back().via != peer);
    BOOST_TEST((world.sent.back().charge == relay::Charge::Retry));
    answer(last(), head(OK), "whole");
    BOOST_TEST(world.callers[2].bytes == "whole");

    arrive(3, "/resume/x");
    BOOST_REQUIRE(!world.sent.back().via.empty());
    core.onResponseHead(now, last(), head(OK));
    core.onResponseData(now, last(), eventOf(1));
    relay::AttemptEnd truncated;
    truncated.truncated = true;
    world.open.erase(last());
    core.onAttemptEnded(now, last(), truncated);
    BOOST_TEST(world.sent.back().lastEventId == "1");
    answer(last(), head(OK), eventOf(2));
    BOOST_TEST(!world.callers[3].aborted);
    BOOST_TEST(world.callers[3].bytes == eventOf(1) + eventOf(2));
}

BOOST_AUTO_TEST_CASE(an_interrupted_stream_does_not_go_on_at_another_software_version)
{
    for (int n = 0; n < 10; ++n) {
        const std::uint64_t id = 10 + static_cast<std::uint64_t>(n);
        setVersions({"v1", "v2", "v2"});
        arrive(id, "/resume/x");
        const std::string first = world.sent.back().upstream;
        core.onResponseHead(now, last(), head(OK));
        core.onResponseData(now, last(), eventOf(1));
        const std::size_t sent = world.sent.size();
        fail(last(), true);
        if (first == "w1") {
            BOOST_TEST(world.sent.size() == sent);
            BOOST_TEST(world.callers[id].aborted);
        } else {
            BOOST_REQUIRE(world.sent.size() == sent + 1);
            BOOST_TEST(world.sent.back().upstream != "w1");
            answer(last(), head(OK), eventOf(2));
            BOOST_TEST(world.callers[id].whole);
        }
        now += base::Millis{5'000};
    }
}

BOOST_AUTO_TEST_CASE(a_stream_that_another_entry_began_waits_for_its_software_version)
{
    setVersions({"v1", "v2", "v2"});
    resume(1, "s");
    BOOST_TEST(world.sent.empty());
    BOOST_TEST(world.questions[1].stream == "s");
    BOOST_TEST(world.questions[1].service == "svc");
    core.onOriginResolved(now, 1, relay::OriginVerdict::Known, "v1");
    BOOST_REQUIRE(world.sent.size() == 1U);
    BOOST_TEST(world.sent.back().upstream == "w1");
    // Interrupted again, it is resumed here, where its version is known now.
    core.onCallerDisconnected(now, 1);
    resume(2, "s");
    BOOST_REQUIRE(world.sent.size() == 2U);
    BOOST_TEST(world.sent.back().upstream == "w1");
}

BOOST_AUTO_TEST_CASE(a_stream_whose_route_allows_no_resumption_any_more_waits_for_its_software_version)
{
    setVersions({"v1", "v2"});
    resume(1, "s", {}, "/stream/x");
    BOOST_TEST(world.sent.empty());
    core.onOriginResolved(now, 1, relay::OriginVerdict::Known, "v2");
    BOOST_REQUIRE(world.sent.size() == 1U);
    BOOST_TEST(world.sent.back().upstream == "w2");
}

BOOST_AUTO_TEST_CASE(a_stream_of_unknown_software_version_is_rejected_at_once)
{
    setVersions({"v1", "v2"});
    resume(1, "s");
    resume(2, "");
    resume(3, "t");
    core.onOriginResolved(now, 1, relay::OriginVerdict::Unknown, {});
    core.onOriginResolved(now, 2, relay::OriginVerdict::NoLeader, {});
    BOOST_TEST(isRefusedAsUnknown(1));
    BOOST_TEST(world.callers[1].retryAfter.count == 0);
    BOOST_TEST(isRefusedAsUnknown(2));
    BOOST_TEST(world.callers[2].retryAfter.count == 1'000);
    now += base::Millis{900};
    core.tick(now);
    BOOST_TEST(isRefusedAsUnknown(3));
    core.onOriginResolved(now, 3, relay::OriginVerdict::Known, "v1");
    BOOST_TEST(world.sent.empty());
    BOOST_TEST(core.inProgress() == 0U);
}

BOOST_AUTO_TEST_CASE(a_resumed_stream_waits_for_a_load_beyond_the_objective_of_a_first_event)
{
    relay::Worker loading = worker("w1");
    loading.software = "v1";
    core.setTable(makeTable(true));
    core.setWorkers({loading});
    core.setPlacements(now, {{"w1", "m", base::Millis{2'000}}});
    resume(1, "s", "m");
    core.onOriginResolved(now, 1, relay::OriginVerdict::Known, "v1");
    BOOST_TEST(core.inProgress() == 1U);
    loading.holdings = {"m"};
    now += base::Millis{2'000};
    core.setWorkers({loading});
    core.tick(now);
    BOOST_TEST(world.sent.size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_stream_whose_software_version_has_left_is_rejected_at_once)
{
    setVersions({"v2", "v2"});
    resume(1, "s");
    core.onOriginResolved(now, 1, relay::OriginVerdict::Known, "v1");
    BOOST_TEST(world.callers[1].refusedNotRun);
    BOOST_TEST(world.sent.empty());
}

BOOST_AUTO_TEST_CASE(a_stream_whose_version_the_leader_may_know_is_not_sent_to_another_one)
{
    for (const bool reported : {false, true}) {
        const std::uint64_t id = reported ? 2 : 1;
        core.setSoftware(now, {{"svc", {"v1", "v2"}}});
        setVersions({"v1"});
        arrive(id, "/resume/x");
        setVersions({"v1", "v2"});
        if (reported) {
            static_cast<void>(core.takeStreamReport(now + base::Millis{200}));
        }
        const std::size_t sent = world.sent.size();
        fail(last(), true);
        BOOST_TEST(world.sent.size() == sent + (reported ? 0U : 1U));
        now += base::Millis{5'000};
    }
}

BOOST_AUTO_TEST_CASE(an_unrecorded_software_version_begins_no_stream_that_may_be_resumed)
{
    relay::Worker unrecorded = worker("w1");
    unrecorded.softwareRecorded = false;
    core.setWorkers({unrecorded});
    arrive(1, "/resume/x");
    BOOST_TEST(world.callers[1].refusedNotRun);
    arrive(2, "/stream/x");
    arrive(3, "/again/x");
    BOOST_TEST(world.sent.size() == 2U);
}

BOOST_AUTO_TEST_CASE(a_draining_entry_rejects_new_streams)
{
    arrive(1, "/stream/x");
    core.drain();
    arrive(2, "/stream/x");
    arrive(3, "/once/x");
    BOOST_TEST(world.callers[2].refusedNotRun);
    BOOST_TEST((world.callers[2].reason == relay::Reason::Stopping));
    BOOST_TEST(world.sent.size() == 2U);
    BOOST_TEST(core.inProgress() == 2U);
}

BOOST_AUTO_TEST_CASE(a_request_that_may_last_longer_than_the_stopping_entry_is_rejected_and_not_cut)
{
    core.beginDrain(now + base::Millis{7'400});
    arrive(1, "/once/x");
    arrive(2, "/stream/x");
    arrive(3, "/again/x");
    arrive(4, "/resume/x");
    for (const std::uint64_t it : {1, 2}) {
        BOOST_TEST(world.callers[it].refusedNotRun);
        BOOST_TEST((world.callers[it].reason == relay::Reason::Stopping));
        BOOST_TEST(world.callers[it].retryAfter.count > 0);
    }
    BOOST_TEST(world.sent.size() == 2U);
    core.drain();
    arrive(5, "/again/x");
    BOOST_TEST(world.callers[5].refusedNotRun);
    BOOST_TEST(world.sent.size() == 2U);
}

BOOST_AUTO_TEST_CASE(a_request_that_ends_before_the_stopping_entry_is_served)
{
    core.beginDrain(now + base::Millis{8'000});
    core.drain();
    arrive(1, "/once/x");
    answer(last(), head(OK), "body");
    BOOST_TEST(world.callers[1].whole);
}

BOOST_AUTO_TEST_CASE(the_timeout_is_answered_at_once_and_ends_the_attempt)
{
    arrive(1, "/once/x");
    now = now + base::Millis{8'000};
    core.tick(now);
    BOOST_TEST(world.callers[1].refused);
    BOOST_TEST(!world.callers[1].refusedNotRun);
    BOOST_TEST(world.open.empty());
}

BOOST_AUTO_TEST_CASE(a_stalled_upstream_is_abandoned_only_if_the_request_is_repeatable)
{
    arrive(1, "/again/x");
    arrive(2, "/once/x");
    now = now + base::Millis{2'100};
    core.tick(now);
    BOOST_TEST(world.sent.size() == 3U);
    BOOST_TEST(world.sent.back().exchange == 1U);
}

BOOST_AUTO_TEST_CASE(callers_and_upstreams_observe_the_guarantees_in_any_order_of_events)
{
    BOOST_TEST(rc::check([] {
        Fixture it;
        // The attempts of each request that may have been executed, and the number of events of each request.
        std::map<std::uint64_t, int> mayHaveRun;
        // The attempts that certainly did not arrive.
        std::map<std::uint64_t, int> neverArrived;
        std::map<std::uint64_t, int> events;
        std::map<std::uint64_t, std::string> paths;
        std::map<std::uint64_t, bool> headed;
        std::uint64_t exchanges = 0;
        const std::vector<std::string> prefixes{"/once/", "/again/", "/stream/", "/resume/"};
        const int steps = *rc::gen::inRange(1, 120);
        std::size_t counted = 0;
        for (int n = 0; n < steps; ++n) {
            it.now += base::Millis{*rc::gen::inRange(0, 400)};
            const int action = *rc::gen::inRange(0, 9);
            std::vector<std::uint64_t> open;
            for (const auto &[id, attempt] : it.world.open) {
                open.push_back(id);
            }
            if (action < 2 || open.empty()) {
                paths[++exchanges] = *rc::gen::elementOf(prefixes) + "x";
                it.arrive(exchanges, paths[exchanges]);
            } else {
                const std::uint64_t id = *rc::gen::elementOf(open);
                const relay::Attempt attempt = it.world.open.at(id);
                const bool stream =
                    paths[attempt.exchange].starts_with("/s") || paths[attempt.exchange].starts_with("/r");
                int &given = events[attempt.exchange];
                if (action == 2) {
                    const bool bytesSent = *rc::gen::arbitrary<bool>();
                    neverArrived[attempt.exchange] += bytesSent || headed[id] ? 0 : 1;
                    it.fail(id, bytesSent);
                } else if (action == 8 && !headed[id]) {
                    it.loseConnection(id);
                } else if (action == 3) {
                    auto refusal = Fixture::head(UNAVAILABLE, ResponseOwner::Unknown, false);
                    refusal.notRun = !headed[id];
                    it.answer(id, refusal, "");
                } else if (action == 4) {
                    it.core.onCallerDisconnected(it.now, attempt.exchange);
                } else if (action == 5 && stream) {
                    if (!headed[id]) {
                        headed[id] = true;
                        it.core.onResponseHead(it.now, id, Fixture::head(OK));
                    }
                    // A resumed stream continues after the event id that it was given.
                    given = std::max(given, std::atoi(attempt.lastEventId.c_str())) + 1;
                    it.core.onResponseData(it.now, id, eventOf(given));
                } else if (action == 6 && (!stream || headed[id])) {
                    if (!stream) {
                        it.answer(id, Fixture::head(OK), "whole");
                    } else {
                        it.world.open.erase(id);
                        it.core.onAttemptEnded(it.now, id, {true, true, false, "complete"});
                    }
                } else if (action == 7) {
                    it.core.onResponseHead(it.now, id, Fixture::head(OK, ResponseOwner::Other));
                } else {
                    it.core.tick(it.now);
                }
            }
            for (; counted < it.world.sent.size(); ++counted) {
                const relay::Attempt &attempt = it.world.sent[counted];
                const int before = mayHaveRun[attempt.exchange]++ - neverArrived[attempt.exchange];
                RC_ASSERT((attempt.charge == relay::Charge::Retry) == (before > 0));
                RC_ASSERT(attempt.freshConnection || paths[attempt.exchange].starts_with("/again/")
                    || paths[attempt.exchange].starts_with("/resume/"));
            }
        }
        it.core.stop(it.now);
        RC_ASSERT(it.world.open.empty());
        for (std::uint64_t id = 1; id <= exchanges; ++id) {
            const Seen &seen = it.world.callers[id];
            RC_ASSERT(seen.ends <= 1);
            RC_ASSERT(!(seen.refused && seen.begun));
            std::string expected;
            for (int n = 1; n <= events[id] && seen.begun; ++n) {
                expected += eventOf(n);
            }
            RC_ASSERT(!seen.begun || expected.starts_with(seen.bytes));
        }
        RC_ASSERT(it.core.inProgress() == 0U);
    }));
}

BOOST_AUTO_TEST_CASE(a_retry_takes_a_new_connection_as_pooled_ones_may_hold_late_copies_of_other_answers)
{
    Fixture it;
    it.arrive(1, "/again/x");
    BOOST_TEST(!it.world.sent.back().freshConnection);
    it.core.onResponseHead(it.now, it.last(), Fixture::head(OK, ResponseOwner::Other));
    BOOST_TEST(it.world.sent.size() == 2U);
    BOOST_TEST(it.world.sent.back().freshConnection);
}

BOOST_AUTO_TEST_CASE(callers_of_a_lost_model_retry_when_it_can_be_loaded_again)
{
    for (const bool held : {false, true}) {
        Fixture it;
        auto document = std::make_shared<config::Document>();
        document->services.push_back({"svc", 10, config::Engine{}});
        document->relays.push_back(route("/m/", config::Repeat::Stream, true, 2));
        document->relays.back().open = true;
        it.core.setTable(std::make_shared<const relay::RouteTable>(8, document));
        relay::Worker engine = worker("w1");
        engine.holdings = {held ? "m" : "other"};
        it.core.setWorkers({engine});
        for (const std::int64_t patience : {3'000, 15'000}) {
            relay::Request request;
            request.id = "r" + std::to_string(patience);
            request.host = "h";
            request.path = "/m/x";
            request.model = "m";
            request.timeout = base::Millis{patience};
            const auto exchange = static_cast<std::uint64_t>(patience);
            it.core.setWorkers({engine});
            it.core.onRequest(it.now, exchange, request);
            if (held) {
                // Its process has restarted and has loaded nothing.
                auto lost = Fixture::head(421);
                lost.misdirected = true;
                it.answer(it.last(), lost, "");
                engine.sequence++;
            }
            const Seen &seen = it.world.callers[exchange];
            BOOST_TEST(seen.refusedNotRun);
            // Callers follow a retry delay of at most a third of their remaining time.
            BOOST_TEST((seen.retryAfter == base::Millis{std::min<std::int64_t>(2'500, patience / 3)}));
        }
    }
}

BOOST_AUTO_TEST_CASE(signals_of_upstreams_apply_to_every_later_request)
{
    BOOST_TEST(rc::check([] {
        struct Said {
            standing::UpstreamSignal word;
            base::Millis closedUntil;
            // When each permit expires.
            std::vector<base::Millis> permits;
        };
        Fixture it;
        std::map<std::string, Said> said;
        std::uint64_t exchanges = 0;
        std::size_t counted = 0;
        const std::vector<std::string> prefixes{"/once/", "/again/", "/stream/", "/resume/"};
        const int steps = *rc::gen::inRange(1, 120);
        for (int n = 0; n < steps; ++n) {
            it.now += base::Millis{*rc::gen::inRange(0, 300)};
            std::vector<std::uint64_t> open;
            for (const auto &[id, attempt] : it.world.open) {
                open.push_back(id);
            }
            const int action = *rc::gen::inRange(0, 7);
            if (action < 2 || open.empty()) {
                it.arrive(++exchanges, *rc::gen::elementOf(prefixes) + "x");
            } else if (action == 2) {
                const std::string upstream = it.world.open.at(*rc::gen::elementOf(open)).upstream;
                Said &one = said[upstream];
                const std::int64_t permits = *rc::gen::inRange(0, 3);
                one.permits.insert(one.permits.end(), static_cast<std::size_t>(permits), it.now + base::Millis{1'000});
                it.core.onLeaderReports(it.now, {{{upstream, 0}, one.word.limit, it.now, permits, it.now, {}, false}});
            } else if (action == 3) {
                it.fail(*rc::gen::elementOf(open), *rc::gen::arbitrary<bool>());
            } else {
                const std::uint64_t id = *rc::gen::elementOf(open);
                Said &one = said[it.world.open.at(id).upstream];
                if (*rc::gen::inRange(0, 4) == 0) {
                    one.word.limit = *rc::gen::inRange<std::int64_t>(0, 3'000);
                }
                one.word.leaving = one.word.leaving || *rc::gen::inRange(0, 8) == 0;
                auto head = Fixture::head(action == 4 ? UNAVAILABLE : OK);
                head.notRun = action == 4;
                head.signal = one.word;
                if (action == 4 && *rc::gen::arbitrary<bool>()) {
                    head.signal.closedFor = base::Millis{*rc::gen::inRange(0, 3'000)};
                    one.closedUntil = std::max(one.closedUntil, it.now + *head.signal.closedFor);
                }
                it.answer(id, head, action == 4 ? "" : eventOf(1));
            }
            it.core.tick(it.now);
            for (; counted < it.world.sent.size(); ++counted) {
                Said &one = said[it.world.sent[counted].upstream];
                RC_ASSERT(!one.word.leaving);
                RC_ASSERT(it.now >= one.closedUntil);
                std::erase_if(one.permits, [&](base::Millis end) {
                    return end <= it.now;
                });
                RC_ASSERT(!one.word.limit || !one.permits.empty());
                if (one.word.limit) {
                    one.permits.erase(std::min_element(one.permits.begin(), one.permits.end()));
                }
            }
        }
        it.core.stop(it.now);
        RC_ASSERT(it.world.open.empty());
        for (std::uint64_t id = 1; id <= exchanges; ++id) {
            RC_ASSERT(it.world.callers[id].ends == 1);
        }
    }));
}

BOOST_AUTO_TEST_SUITE_END()
