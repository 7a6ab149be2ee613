/**
 * Tests of the stand-ins: what they generate, how they treat orders, and that their faults show.
 */
#include "../../bamboomoor/http/support.hpp"
#include "bamboomoor/http/internal/listen.hpp"
#include "bamboomoor/http/sse.hpp"
#include "fakes/cutproxy.hpp"
#include "fakes/engine.hpp"
#include "fakes/fleet.hpp"

#include <boost/test/unit_test.hpp>

using namespace bamboomoor;
using http::test::Collector;
using nlohmann::json;

namespace
{

constexpr const char *CHAT = "/v1/chat/completions";

struct FleetFixture {
    explicit FleetFixture(fakes::FleetOptions options)
        : fleet(std::move(options))
        , addresses(fleet.start().value())
    {
    }

    std::shared_ptr<Collector> post(const std::string &path, const json &document, std::size_t which = 0)
    {
        http::Call call;
        call.method = "POST";
        call.url = "http://" + addresses[which] + path;
        call.body = document.dump();
        call.headers = {{"Content-Type", "application/json"}, {"X-Request-Id", "r1"}};
        call.progressTimeout = {1'000};
        call.firstByteTimeout = {2'000};
        auto collector = std::make_shared<Collector>();
        client.start(std::move(call), collector);
        return collector;
    }

    json stats(std::size_t which = 0)
    {
        return fleet.stats()[which];
    }

    fakes::Fleet fleet;
    std::vector<std::string> addresses;
    http::Client client;
};

fakes::FleetOptions oneEngine()
{
    fakes::FleetOptions options;
    options.models = {{"m", 1'000}};
    options.memoryMib = 2'000;
    options.accelerators = 1;
    options.tokenTime = {1};
    options.orderTime = {5};
    return options;
}

json chat(int tokens, bool stream, int resumeFrom = 0)
{
    return {{"model", "m"}, {"messages", json::array({{{"role", "user"}, {"content", "two words"}}})},
        {"max_tokens", tokens}, {"stream", stream}, {"resume_from", resumeFrom}};
}

json order(int id, const std::string &kind, const std::string &model, int memory, int fencing = 1)
{
    return {{"order_id", id}, {"fencing", fencing}, {"kind", kind}, {"accelerator", "acc0"}, {"model", model},
        {"adapter", ""}, {"version", ""}, {"memory_mib", memory}};
}

std::string wordsOf(const std::string &stream)
{
    std::string words;
    for (const std::string &it : http::SseParser().feed(stream)) {
        if (it != http::SSE_DONE) {
            const json chunk = json::parse(it);
            for (const json &choice : chunk["choices"]) {
                words += choice["delta"].value("content", "");
            }
        }
    }
    return words;
}

} // namespace

BOOST_AUTO_TEST_CASE(a_resumed_stream_continues_the_whole_answer)
{
    FleetFixture fixture(oneEngine());
    const json whole = json::parse(fixture.post(CHAT, chat(9, false))->body());
    const std::string text = whole["choices"][0]["message"]["content"];
    BOOST_TEST(whole["usage"]["completion_tokens"] == 9);
    BOOST_TEST(whole["usage"]["prompt_tokens"] == 2);
    const auto first = fixture.post(CHAT, chat(4, true));
    const auto second = fixture.post(CHAT, chat(9, true, 4));
    BOOST_TEST(wordsOf(first->body()) + wordsOf(second->body()) == text);
    BOOST_TEST(second->body().ends_with("data: [DONE]\n\n"));
    json other = chat(9, false);
    other["model"] = "absent";
    BOOST_TEST(fixture.post(CHAT, other)->status() == 404);
}

BOOST_AUTO_TEST_CASE(orders_keep_to_memory_and_fencing)
{
    FleetFixture fixture(oneEngine());
    BOOST_TEST(fixture.post("/order", order(1, "load", "n", 900, 5))->status() == 200);
    BOOST_TEST(fixture.post("/order", order(1, "load", "n", 900, 5))->status() == 200);
    BOOST_TEST(fixture.post("/order", order(2, "load", "o", 200, 5))->status() == 409);
    BOOST_TEST(fixture.post("/order", order(3, "unload", "n", 900, 4))->status() == 409);
    BOOST_TEST(fixture.stats()["over_committed"] == 1);
    BOOST_TEST(fixture.stats()["orders"]["old_fencing"] == 1);
    BOOST_TEST(fixture.post("/order", order(4, "unload", "n", 900, 6))->status() == 200);
    BOOST_TEST(fixture.post("/order", order(5, "load", "o", 200, 6))->status() == 200);
    BOOST_TEST(fixture.stats()["accelerators"][0]["resident"].size() == 2U);
}

BOOST_AUTO_TEST_CASE(each_fault_shows_as_what_it_is)
{
    FleetFixture fixture(oneEngine());
    const auto withFault = [&](const std::string &name, bool stream) {
        BOOST_TEST(fixture.post("/fake/faults", {{name, 1}})->status() == 200);
        return fixture.post(CHAT, chat(20, stream));
    };
    BOOST_TEST((withFault("reset_before", true)->await().kind == http::EndKind::ResetBeforeAnswer));
    BOOST_TEST((withFault("reset_during", true)->await().kind == http::EndKind::Truncated));
    BOOST_TEST((withFault("silent_during", true)->await().kind == http::EndKind::Silent));
    BOOST_TEST((withFault("silent", true)->await().kind == http::EndKind::Silent));
    const auto cut = withFault("truncate", true);
    BOOST_TEST((cut->await().kind == http::EndKind::Complete));
    BOOST_TEST(cut->body().find("[DONE]") == std::string::npos);
    BOOST_TEST(!json::accept(withFault("garbage", false)->body()));
    BOOST_TEST(fixture.stats()["faulted"] == 6);
    BOOST_TEST(wordsOf(fixture.post(CHAT, chat(2, true))->body()).starts_with("w0-"));
}

BOOST_AUTO_TEST_CASE(a_service_logs_its_runs_and_the_keys_it_sees)
{
    fakes::FleetOptions options;
    options.engines = 0;
    options.services = 1;
    FleetFixture fixture(options);
    const json echoed = json::parse(fixture.post("/any", {{"a", 1}})->body());
    BOOST_TEST(echoed["path"] == "/any");
    BOOST_TEST(echoed["count"] == 1);
    BOOST_TEST(fixture.stats()["keys_seen"] == 0);
    http::Call call;
    call.url = "http://" + fixture.addresses[0] + "/x";
    call.headers = {{"X-Odd", "bEARER abc"}};
    const auto leaked = std::make_shared<Collector>();
    fixture.client.start(call, leaked);
    BOOST_TEST(leaked->status() == 200);
    BOOST_TEST(fixture.stats()["keys_seen"] == 1);
    const json runs = json::parse(fixture.post("/fake/runs", {})->body());
    BOOST_TEST(runs["runs"][0]["request_id"] == "r1");
    BOOST_TEST(runs["runs"].size() == 2U);
}

BOOST_AUTO_TEST_CASE(announcements_reach_an_entry_until_leaving)
{
    absl::Mutex mutex;
    std::vector<json> seen;
    http::test::FunctionHandler entry([&](const http::Request &it, const std::shared_ptr<http::Responder> &responder) {
        const absl::MutexLock lock(&mutex);
        seen.push_back(json::parse(it.body));
        responder->respond({200, {}, "{}"});
    });
    http::Server server(entry);
    fakes::FleetOptions options = oneEngine();
    options.entries = {server.start("127.0.0.1:0").value()};
    options.announceInterval = {20};
    FleetFixture fixture(options);
    BOOST_TEST(fixture.fleet.leaveAndStop({5'000}));
    BOOST_TEST(server.stop({5'000}));
    const absl::MutexLock lock(&mutex);
    BOOST_TEST_REQUIRE(!seen.empty());
    BOOST_TEST(seen.back()["leaving"] == true);
    BOOST_TEST(seen.back()["accelerators"][0]["resident"][0]["model"] == "m");
    BOOST_TEST(seen.back()["address"] == fixture.addresses[0]);
}

BOOST_AUTO_TEST_CASE(a_cut_proxy_falls_silent_and_heals)
{
    FleetFixture fixture(oneEngine());
    fakes::CutProxy proxy;
    const auto direct = fixture.addresses[0];
    const auto addresses = proxy.start({{"127.0.0.1:0", direct}}).value();
    fixture.addresses.push_back(addresses[0]);
    BOOST_TEST(fixture.post(CHAT, chat(2, true), 1)->status() == 200);
    proxy.cut(0, {false, true});
    const auto silent = fixture.post(CHAT, chat(50, true), 1);
    BOOST_TEST((silent->await().kind == http::EndKind::Silent));
    proxy.cut(0, {});
    const auto running = fixture.post(CHAT, chat(5'000, true), 1);
    running->awaitHead();
    proxy.silence(0);
    BOOST_TEST((running->await().kind == http::EndKind::Silent));
    BOOST_TEST((fixture.post(CHAT, chat(2, true), 1)->await().kind == http::EndKind::Complete));
}
