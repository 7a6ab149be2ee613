/**
 * Tests of the server against its own client and against raw connections that misbehave.
 */
#include "support.hpp"

#include "bamboomoor/http/fetch.hpp"

#include <absl/synchronization/blocking_counter.h>
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <atomic>
#include <thread>

using namespace bamboomoor;
using namespace bamboomoor::http::test;
using namespace std::chrono_literals;

namespace
{

struct Fixture {
    explicit Fixture(FunctionHandler::Function function, http::ServerOptions options = {})
        : handler(std::move(function))
        , server(handler, std::move(options))
        , address(server.start("127.0.0.1:0").value())
    {
    }

    std::shared_ptr<Collector> send(http::Call call)
    {
        call.url = "http://" + address + call.url;
        auto collector = std::make_shared<Collector>();
        client.start(std::move(call), collector);
        return collector;
    }

    // Waits for a counter to reach a value; the test's own timeout bounds the wait.
    template<class Predicate>
    void await(Predicate predicate)
    {
        while (!predicate(server.counters())) {
            std::this_thread::sleep_for(2ms);
        }
    }

    FunctionHandler handler;
    http::Server server;
    std::string address;
    http::Client client;
};

void echo(const http::Request &request, const std::shared_ptr<http::Responder> &responder)
{
    const std::string head = request.method + " " + request.path + " " + request.query + " ";
    responder->respond({200, {{"X-Kind", "echo"}}, head + request.body});
}

http::ServerOptions shortTimes()
{
    http::ServerOptions options;
    options.maxHeaderBytes = 4'096;
    options.maxBodyBytes = 100'000;
    options.idleTimeout = {1'000};
    options.slowSenderTimeout = {300};
    return options;
}

} // namespace

BOOST_AUTO_TEST_CASE(request_and_answer_arrive_whole)
{
    Fixture fixture(echo);
    for (const bool once : {true, false, false}) {
        const std::string body(300'000, 'b');
        const auto answer =
            fixture.send({.method = "POST", .url = "/a%20b?x=1&y", .body = body, .freshConnection = once});
        BOOST_TEST(answer->status() == 200);
        BOOST_TEST((answer->body() == "POST /a%20b x=1&y " + body));
        BOOST_TEST(http::headerValue(answer->headers(), "x-kind") == "echo");
        BOOST_TEST((answer->await().kind == http::EndKind::Complete));
        BOOST_TEST(answer->await().delimited);
    }
    BOOST_TEST(fixture.send({.method = "DELETE", .url = "/d"})->body() == "DELETE /d  ");
    BOOST_TEST(fixture.send({.method = "HEAD", .url = "/h"})->body().empty());
}

BOOST_AUTO_TEST_CASE(a_stream_from_another_thread_arrives_in_order)
{
    std::vector<std::thread> threads;
    absl::Mutex mutex;
    std::atomic<int> refused = 0;
    Fixture fixture([&](const http::Request &, const std::shared_ptr<http::Responder> &responder) {
        const absl::MutexLock lock(&mutex);
        threads.emplace_back([responder, &refused] {
            responder->begin(200, {{"Content-Type", "text/event-stream"}});
            for (int n = 0; n < 500; ++n) {
                refused += responder->write(std::to_string(n) + ",") ? 0 : 1;
                std::this_thread::sleep_for(n % 50 == 0 ? 1ms : 0ms);
            }
            responder->end();
        });
    });
    std::string expected;
    for (int n = 0; n < 500; ++n) {
        expected += std::to_string(n) + ",";
    }
    std::vector<std::shared_ptr<Collector>> answers;
    answers.reserve(40);
    for (int n = 0; n < 40; ++n) {
        answers.push_back(fixture.send({.url = "/", .freshConnection = n % 2 == 0}));
    }
    for (const auto &it : answers) {
        BOOST_TEST(it->body() == expected);
        BOOST_TEST((it->await().kind == http::EndKind::Complete));
    }
    for (auto &it : threads) {
        it.join();
    }
    BOOST_TEST(refused == 0);
}

BOOST_AUTO_TEST_CASE(an_aborted_stream_is_seen_as_cut)
{
    Fixture fixture([](const http::Request &, const std::shared_ptr<http::Responder> &responder) {
        responder->begin(200, {});
        responder->write("part");
        std::thread([responder] {
            std::this_thread::sleep_for(20ms);
            responder->abort();
        }).detach();
    });
    const auto answer = fixture.send({.url = "/"});
    BOOST_TEST((answer->await().kind == http::EndKind::Truncated));
    BOOST_TEST(answer->body() == "part");
}

BOOST_AUTO_TEST_CASE(a_forgotten_responder_answers_500)
{
    Fixture fixture([](const http::Request &, const std::shared_ptr<http::Responder> &) {});
    BOOST_TEST(fixture.send({.url = "/"})->status() == 500);
}

BOOST_AUTO_TEST_CASE(a_caller_that_disconnects_is_noticed_while_waiting_and_while_streaming)
{
    absl::Mutex mutex;
    std::shared_ptr<http::Responder> kept;
    absl::Notification gone;
    Fixture fixture([&](const http::Request &request, const std::shared_ptr<http::Responder> &responder) {
        {
            const absl::MutexLock lock(&mutex);
            kept = responder;
        }
        responder->onGone([&gone] {
            gone.Notify();
        });
        if (request.path == "/stream") {
            responder->begin(200, {});
            responder->write("x");
        }
    });
    for (const std::string path : {"/wait", "/stream"}) {
        {
            const RawConnection caller(fixture.address);
            caller.send("GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n");
            fixture.await([&](const http::ServerCounters &it) {
                return it.requests == (path == "/wait" ? 1U : 2U);
            });
            if (path == "/stream") {
                BOOST_TEST(!caller.readUntil("x").empty());
            }
        }
        gone.WaitForNotification();
        const absl::MutexLock lock(&mutex);
        BOOST_TEST(kept->gone());
        BOOST_TEST(!kept->write("more"));
        fixture.await([](const http::ServerCounters &it) {
            return it.openRequests == 0;
        });
        std::destroy_at(&gone);
        std::construct_at(&gone);
    }
    BOOST_TEST(fixture.server.counters().callersGone == 2U);
}

BOOST_AUTO_TEST_CASE(a_caller_that_does_not_read_is_cut)
{
    std::atomic<std::size_t> accepted = 0;
    std::thread writer;
    absl::Notification started;
    http::ServerOptions options;
    options.maxStreamBytes = 100'000;
    Fixture fixture(
        [&](const http::Request &, const std::shared_ptr<http::Responder> &responder) {
            writer = std::thread([responder, &accepted] {
                responder->begin(200, {});
                const std::string chunk(10'000, 'x');
                while (responder->write(chunk)) {
                    accepted += chunk.size();
                }
            });
            started.Notify();
        },
        options);
    const RawConnection caller(fixture.address);
    caller.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    fixture.await([](const http::ServerCounters &it) {
        return it.slowReader == 1;
    });
    started.WaitForNotification();
    writer.join();
    // What it reads in the end is cut: no last chunk.
    BOOST_TEST(!caller.readAll().ends_with("\r\n0\r\n\r\n"));
}

// Guards against many callers that read slowly, each below its own bound.
BOOST_AUTO_TEST_CASE(streams_that_together_exceed_their_bound_are_cut)
{
    constexpr std::size_t CALLERS = 4;
    std::vector<std::thread> writers;
    absl::Mutex mutex;
    absl::BlockingCounter started(CALLERS);
    http::ServerOptions options;
    options.maxStreamBytes = 1'000'000'000;
    options.maxAllStreamBytes = 400'000;
    Fixture fixture(
        [&](const http::Request &, const std::shared_ptr<http::Responder> &responder) {
            const absl::MutexLock lock(&mutex);
            writers.emplace_back([responder] {
                responder->begin(200, {});
                const std::string chunk(10'000, 'x');
                while (responder->write(chunk)) { }
            });
            started.DecrementCount();
        },
        options);
    std::vector<std::unique_ptr<RawConnection>> callers;
    for (std::size_t n = 0; n < CALLERS; ++n) {
        callers.push_back(std::make_unique<RawConnection>(fixture.address));
        callers.back()->send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    }
    started.Wait();
    {
        const absl::MutexLock lock(&mutex);
        for (std::thread &it : writers) {
            it.join();
        }
    }
    BOOST_TEST(!callers.front()->readAll().ends_with("\r\n0\r\n\r\n"));
}

BOOST_AUTO_TEST_CASE(the_longest_waiting_heads_make_room_for_others)
{
    constexpr std::size_t MOST = 4;
    http::ServerOptions options;
    options.maxUnfinishedHeads = MOST;
    options.slowSenderTimeout = {600'000};
    Fixture fixture(echo, options);
    std::vector<std::unique_ptr<RawConnection>> callers;
    for (std::size_t n = 0; n < MOST * 3; ++n) {
        callers.push_back(std::make_unique<RawConnection>(fixture.address));
        callers.back()->send("GET /half HTTP/1.1\r\nHost: x\r\n");
    }
    fixture.await([](const http::ServerCounters &it) {
        return it.evictedHeads == MOST * 2 && it.openConnections == MOST;
    });
    BOOST_TEST(fixture.send({.method = "GET", .url = "/whole"})->status() == 200);
    BOOST_TEST(fixture.server.counters().evictedHeads == MOST * 2);
}

// Guards against a planned stop that is held up by clients that never end their requests.
BOOST_AUTO_TEST_CASE(a_stop_does_not_wait_for_requests_of_which_nothing_comes)
{
    http::ServerOptions options;
    options.slowSenderTimeout = {600'000};
    Fixture fixture(echo, options);
    const RawConnection head(fixture.address);
    head.send("GET /half HTTP/1.1\r\nHost: x\r\n");
    const RawConnection body(fixture.address);
    body.send("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1000\r\n\r\n" + std::string(999, 'b'));
    fixture.await([](const http::ServerCounters &it) {
        return it.openRequests == 2;
    });
    BOOST_TEST(fixture.server.stop({30'000}));
}

BOOST_AUTO_TEST_CASE(bodies_that_together_exceed_their_bound_are_refused_until_others_are_answered)
{
    constexpr std::size_t BODY = 60'000;
    absl::Mutex mutex;
    std::vector<std::shared_ptr<http::Responder>> waiting;
    http::ServerOptions options = shortTimes();
    options.maxBodyBytes = options.maxHeldBodyBytes = 100'000;
    Fixture fixture(
        [&](const http::Request &, const std::shared_ptr<http::Responder> &responder) {
            const absl::MutexLock lock(&mutex);
            waiting.push_back(responder);
        },
        options);
    const std::string start = "POST / HTTP/1.1\r\nHost: x\r\n";
    const std::string whole = start + "Content-Length: " + std::to_string(BODY) + "\r\n\r\n" + std::string(BODY, 'b');
    const auto isHeld = [&](std::uint64_t requests) {
        fixture.await([requests](const http::ServerCounters &it) {
            return it.requests == requests;
        });
    };
    const RawConnection first(fixture.address);
    first.send(whole);
    isHeld(1);
    const RawConnection announced(fixture.address);
    announced.send(start + "Content-Length: " + std::to_string(BODY) + "\r\n\r\n");
    const std::string refusal = announced.readAll();
    BOOST_TEST(refusal.starts_with("HTTP/1.1 503"));
    BOOST_TEST(refusal.find("Retry-After: 1") != std::string::npos);
    const RawConnection chunked(fixture.address);
    chunked.send(start + "Transfer-Encoding: chunked\r\n\r\nEA60\r\n" + std::string(BODY, 'c') + "\r\n0\r\n\r\n");
    BOOST_TEST(chunked.readAll().starts_with("HTTP/1.1 503"));
    BOOST_TEST(fixture.server.counters().overHeldBodies == 2U);
    {
        const absl::MutexLock lock(&mutex);
        waiting.front()->respond({200, {}, "done"});
        waiting.clear();
    }
    BOOST_TEST(!first.readUntil("done").empty());
    fixture.await([](const http::ServerCounters &it) {
        return it.openRequests == 0;
    });
    const RawConnection later(fixture.address);
    later.send(whole);
    isHeld(2);
    const absl::MutexLock lock(&mutex);
    waiting.front()->respond({200, {}, "done"});
    waiting.clear();
}

BOOST_AUTO_TEST_CASE(oversize_and_malformed_requests_are_refused)
{
    Fixture fixture(echo, shortTimes());
    const auto ask = [&fixture](const std::string &text) {
        const RawConnection caller(fixture.address);
        caller.send(text);
        return caller.readAll().substr(0, 12);
    };
    const std::string start = "POST / HTTP/1.1\r\nHost: x\r\n";
    BOOST_TEST(ask(start + "A: " + std::string(5'000, 'a') + "\r\n\r\n") == "HTTP/1.1 431");
    BOOST_TEST(ask(start + "A: " + std::string(200'000, 'a') + "\r\n\r\n") == "HTTP/1.1 431");
    BOOST_TEST(ask(start + "Content-Length: 100001\r\n\r\n") == "HTTP/1.1 413");
    const std::string chunk = "1ADB0\r\n" + std::string(110'000, 'c') + "\r\n0\r\n\r\n";
    BOOST_TEST(ask(start + "Transfer-Encoding: chunked\r\n\r\n" + chunk) == "HTTP/1.1 413");
    BOOST_TEST(ask("GET / HTTP/1.1\r\nno colon\r\n\r\n") == "HTTP/1.1 400");
    // A first line of one word is not answered at all: the library closes the connection.
    BOOST_TEST(ask("nonsense\r\n\r\n").empty());
    BOOST_TEST(ask(start + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n") == "HTTP/1.1 400");
    BOOST_TEST(ask(start + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab") == "HTTP/1.1 400");
    BOOST_TEST(fixture.server.counters().requests == 0U);
}

BOOST_AUTO_TEST_CASE(half_sent_requests_are_closed)
{
    Fixture fixture(echo, shortTimes());
    for (const std::string text :
        {"GET /", "GET / HTTP/1.1\r\nHost: x\r\n", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nabc"}) {
        const RawConnection caller(fixture.address);
        caller.send(text);
        BOOST_TEST(!caller.readAll().starts_with("HTTP/1.1 200"));
    }
    BOOST_TEST(fixture.server.counters().slowSender >= 2U);
    BOOST_TEST(fixture.server.counters().requests == 0U);
}

// Guards against callers that left amid a request and keep their connections and descriptors.
BOOST_AUTO_TEST_CASE(callers_that_leave_within_a_body_keep_no_connections)
{
    constexpr std::size_t CALLERS = 400;
    const std::string part(65'536, 'b');
    http::ServerOptions options;
    options.threads = 1;
    Fixture fixture(echo, options);
    std::vector<std::unique_ptr<RawConnection>> open;
    for (std::size_t n = 0; n < CALLERS; ++n) {
        open.push_back(std::make_unique<RawConnection>(fixture.address));
        open.back()->send("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n10000\r\n" + part + "\r\n");
    }
    fixture.await([](const http::ServerCounters &it) {
        return it.openConnections == CALLERS;
    });
    open.clear();
    fixture.await([](const http::ServerCounters &it) {
        return it.openConnections == 0;
    });
    BOOST_TEST(fixture.server.counters().slowSender == 0U);
}

// Guards against clients that stop within small bodies and take all places of a server.
BOOST_AUTO_TEST_CASE(callers_that_stop_within_a_body_leave_their_places_to_others)
{
    constexpr int MOST = 16;
    http::ServerOptions options;
    options.maxConnections = MOST;
    options.threads = 1;
    Fixture fixture(echo, options);
    std::vector<std::unique_ptr<RawConnection>> stopped;
    for (int n = 0; n < MOST; ++n) {
        stopped.push_back(std::make_unique<RawConnection>(fixture.address));
        stopped.back()->send("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n");
    }
    fixture.await([](const http::ServerCounters &it) {
        return it.evictedConnections == MOST / 4;
    });
    fixture.await([](const http::ServerCounters &it) {
        return it.openConnections == MOST - MOST / 4;
    });
    const RawConnection later(fixture.address);
    later.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    BOOST_TEST(!later.readUntil("GET /").empty());
}

BOOST_AUTO_TEST_CASE(connections_over_the_bound_are_closed)
{
    http::ServerOptions options;
    options.maxConnections = 4;
    options.threads = 1;
    Fixture fixture(echo, options);
    const std::string text = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
    std::vector<std::unique_ptr<RawConnection>> open;
    for (int n = 0; n < 4; ++n) {
        open.push_back(std::make_unique<RawConnection>(fixture.address));
        open.back()->send(text);
        BOOST_TEST(!open.back()->readUntil("GET /").empty());
    }
    const RawConnection over(fixture.address);
    over.send(text);
    BOOST_TEST(over.readAll().empty());
    open.pop_back();
    fixture.await([](const http::ServerCounters &it) {
        return it.openConnections < 4;
    });
    const RawConnection later(fixture.address);
    later.send(text);
    BOOST_TEST(!later.readUntil("GET /").empty());
}

BOOST_AUTO_TEST_CASE(requests_on_one_connection_do_not_mix)
{
    Fixture fixture(echo);
    const RawConnection caller(fixture.address);
    caller.send("POST /1 HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\noneGET /2 HTTP/1.1\r\nHost: x\r\n\r\n");
    const std::string text = caller.readUntil("GET /2");
    BOOST_TEST(text.find("POST /1  one") != std::string::npos);
    BOOST_TEST(text.find("GET /2") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(stopping_answers_what_runs_and_refuses_new_connections)
{
    std::shared_ptr<http::Responder> kept;
    absl::Notification held;
    Fixture fixture([&](const http::Request &, const std::shared_ptr<http::Responder> &responder) {
        kept = responder;
        held.Notify();
    });
    const auto answer = fixture.send({.url = "/"});
    held.WaitForNotification();
    fixture.server.quiesce();
    const auto refused = fixture.send({.url = "/"});
    BOOST_TEST((refused->await().kind == http::EndKind::ConnectFailed));
    BOOST_TEST(!refused->await().bytesSent);
    std::thread later([&kept] {
        std::this_thread::sleep_for(50ms);
        kept->respond({200, {}, "late"});
    });
    BOOST_TEST(fixture.server.stop({20'000}));
    later.join();
    BOOST_TEST(answer->body() == "late");
    BOOST_TEST(http::headerValue(answer->headers(), "Connection") == "close");
}

BOOST_AUTO_TEST_CASE(quiescing_closes_connections_without_a_request)
{
    Fixture fixture(echo);
    const RawConnection idle(fixture.address);
    idle.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    BOOST_TEST(!idle.readUntil("\r\n\r\n").empty());
    fixture.server.quiesce();
    // The end of the connection ends this read; one that is kept would end it only after the receive limit.
    const auto before = std::chrono::steady_clock::now();
    static_cast<void>(idle.readAll());
    BOOST_TEST((std::chrono::steady_clock::now() - before < 3s));
    // The library forgets the connection only after its caller has seen the end.
    while (fixture.server.counters().openConnections > 0 && std::chrono::steady_clock::now() - before < 10s) {
        std::this_thread::sleep_for(10ms);
    }
    BOOST_TEST(fixture.server.counters().openConnections == 0U);
}

BOOST_AUTO_TEST_CASE(stopping_at_the_limit_cuts_what_is_left)
{
    std::shared_ptr<http::Responder> kept;
    absl::Notification held;
    auto fixture = std::make_unique<Fixture>([&](const http::Request &, const std::shared_ptr<http::Responder> &it) {
        kept = it;
        held.Notify();
    });
    const auto answer = fixture->send({.url = "/"});
    held.WaitForNotification();
    BOOST_TEST(!fixture->server.stop({10}));
    BOOST_TEST((answer->await().kind == http::EndKind::ResetBeforeAnswer));
    BOOST_TEST(answer->await().bytesSent);
    fixture.reset();
    kept->respond({200, {}, "too late"});
    BOOST_TEST(!kept->write("x"));
}

BOOST_AUTO_TEST_CASE(no_bytes_break_the_server)
{
    Fixture fixture(echo, shortTimes());
    BOOST_TEST(rc::check("random requests", [&fixture] {
        const auto piece = rc::gen::element<std::string>("GET / HTTP/1.1\r\n", "POST /a?b HTTP/1.1\r\n", "HEAD", " ",
            "Host: x\r\n", "Content-Length: 3\r\n", "Content-Length: -1\r\n", "Transfer-Encoding: chunked\r\n", "\r\n",
            "3\r\nabc\r\n", "0\r\n\r\n", "abc", "\n", "Expect: 100-continue\r\n", "Connection: close\r\n",
            std::string(1, '\0'), "\xff", ":", "ffffffffffffffffff\r\n");
        const auto pieces = *rc::gen::container<std::vector<std::string>>(piece);
        const RawConnection caller(fixture.address);
        for (const std::string &it : pieces) {
            caller.send(it);
        }
        caller.endSending();
        const std::string answer = caller.readAll();
        return answer.empty() || answer.starts_with("HTTP/1.");
    }));
    BOOST_TEST(fixture.send({.url = "/"})->status() == 200);
    fixture.await([](const http::ServerCounters &it) {
        return it.openRequests == 0;
    });
}

BOOST_AUTO_TEST_CASE(stopping_under_load_cuts_no_request)
{
    constexpr int ROUNDS = 3;
    constexpr int CALLERS = 64;
    for (int round = 0; round < ROUNDS; ++round) {
        Fixture fixture(echo);
        std::atomic<int> open = 0;
        std::atomic<int> whole = 0;
        std::atomic<int> cut = 0;
        std::atomic<bool> stopped = false;
        std::function<void()> next = [&] {
            ++open;
            http::Call call{.url = "http://" + fixture.address + "/"};
            call.connectTimeout = {5'000};
            http::fetchThen(fixture.client, call, [&](const http::Fetched &it) {
                const bool complete = it.ending.kind == http::EndKind::Complete;
                whole += complete ? 1 : 0;
                cut += !complete && it.ending.bytesSent ? 1 : 0;
                if (complete && !stopped) {
                    next();
                }
                --open;
            });
        };
        for (int n = 0; n < CALLERS; ++n) {
            next();
        }
        while (whole < 200) {
            std::this_thread::sleep_for(1ms);
        }
        BOOST_TEST(fixture.server.stop({20'000}));
        stopped = true;
        while (open > 0) {
            std::this_thread::sleep_for(1ms);
        }
        BOOST_TEST(cut == 0);
    }
}

// A caller may send its next request just when the server closes connections without one.
BOOST_AUTO_TEST_CASE(stopping_cuts_no_request_of_a_kept_connection_that_it_has_passed_on)
{
    constexpr int ROUNDS = 3;
    constexpr std::size_t CONNECTIONS = 700;
    constexpr const char *HEAD = "HTTP/1.1 200";
    for (int round = 0; round < ROUNDS; ++round) {
        std::atomic<std::size_t> passedOn = 0;
        Fixture fixture([&passedOn](const http::Request &request, const std::shared_ptr<http::Responder> &responder) {
            ++passedOn;
            echo(request, responder);
        });
        std::vector<std::unique_ptr<RawConnection>> connections;
        for (std::size_t n = 0; n < CONNECTIONS; ++n) {
            connections.push_back(std::make_unique<RawConnection>(fixture.address));
            connections.back()->send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
        }
        fixture.await([&passedOn](const http::ServerCounters &it) {
            return passedOn == CONNECTIONS && it.openRequests == 0;
        });
        // Each connection has been quiet for some time when its next request comes.
        std::thread callers([&connections] {
            for (const auto &it : connections) {
                it->send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
                std::this_thread::sleep_for(1ms);
            }
        });
        BOOST_TEST(fixture.server.stop({20'000}));
        callers.join();
        std::size_t answered = 0;
        for (const auto &it : connections) {
            const std::string answers = it->readAll();
            for (std::size_t at = answers.find(HEAD); at != std::string::npos; at = answers.find(HEAD, at + 1)) {
                ++answered;
            }
        }
        BOOST_TEST(passedOn == answered);
    }
}
