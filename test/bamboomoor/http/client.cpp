/**
 * Tests of the client against answers that are cut, silent or no HTTP: how each ends, and whether anything was sent.
 */
#include "rawserver.hpp"
#include "support.hpp"

#include "bamboomoor/http/fetch.hpp"

#include <absl/synchronization/notification.h>
#include <boost/test/unit_test.hpp>

#include <chrono>
#include <thread>

using namespace bamboomoor;
using namespace bamboomoor::http::test;
using http::EndKind;

namespace
{

http::Call callTo(const std::string &url, bool once = true)
{
    http::Call call;
    call.method = "POST";
    call.url = url;
    call.body = "body";
    call.firstByteTimeout = {1'000};
    call.progressTimeout = {1'000};
    call.freshConnection = once;
    return call;
}

std::shared_ptr<Collector> send(http::Client &client, const http::Call &call)
{
    auto collector = std::make_shared<Collector>();
    client.start(call, collector);
    return collector;
}

constexpr const char *WHOLE = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

} // namespace

BOOST_AUTO_TEST_CASE(each_broken_answer_ends_as_what_it_is)
{
    struct Case {
        std::string bytes;
        Then then;
        EndKind kind;
        bool delimited;
    };
    const std::vector<Case> cases{
        {WHOLE, Then::Close, EndKind::Complete, true},
        {"HTTP/1.1 103 Early\r\nA: b\r\n\r\nHTTP/1.1 204 None\r\n\r\n", Then::Close, EndKind::Complete, true},
        {"HTTP/1.1 200 OK\r\n\r\nto the end", Then::Close, EndKind::Complete, false},
        {"HTTP/1.1 200 OK\r\n\r\nnot to the end", Then::Reset, EndKind::ResetDuring, false},
        {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort", Then::Reset, EndKind::ResetDuring, true},
        {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort", Then::Close, EndKind::Truncated, true},
        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", Then::Close, EndKind::Truncated, true},
        {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort", Then::Hold, EndKind::Silent, true},
        {"", Then::Hold, EndKind::Silent, false},
        {"", Then::Close, EndKind::ResetBeforeAnswer, false},
        {"HTTP/1.1 200 OK\r\nContent-Len", Then::Hold, EndKind::Silent, false},
        {"not HTTP at all\r\n\r\n", Then::Close, EndKind::Malformed, false},
        {"HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n" + std::string(2'000, 'x'), Then::Close, EndKind::TooLarge,
            true},
    };
    http::Client client;
    for (const Case &it : cases) {
        RawServer server(it.bytes, it.then);
        http::Call call = callTo(server.url());
        call.maxAnswerBytes = 1'000;
        const auto answer = send(client, call);
        BOOST_TEST_CONTEXT(it.bytes.substr(0, 60) << " -> " << http::END_KIND_NAMES.name(answer->await().kind))
        {
            BOOST_TEST((answer->await().kind == it.kind));
            BOOST_TEST(answer->await().delimited == it.delimited);
            BOOST_TEST(answer->await().bytesSent);
            BOOST_TEST(server.requests() == 1);
        }
    }
}

// Guards against answers that reach callers with a status that is none.
BOOST_AUTO_TEST_CASE(an_answer_without_a_valid_status_is_no_answer)
{
    http::Client client;
    for (const char *status : {"000", "0", " 0", "20", "099", "600", "999", "2000", "2x0", "-20", "", "200x", "1e2"}) {
        for (const char *before : {"", "HTTP/1.1 103 Early\r\n\r\n"}) {
            RawServer server(
                before + std::string("HTTP/1.1 ") + status + " Odd\r\nContent-Length: 2\r\n\r\nok", Then::Close);
            const auto answer = send(client, callTo(server.url()));
            BOOST_TEST_CONTEXT('"' << status << "\" after \"" << before << '"')
            {
                BOOST_TEST((answer->await().kind == EndKind::Malformed));
                BOOST_TEST(answer->status() == 0);
                BOOST_TEST(answer->body().empty());
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(a_status_needs_no_reason)
{
    http::Client client;
    for (const char *line : {"HTTP/1.1 200", "HTTP/1.1 200 ", "HTTP/1.0 200 OK", "HTTP/1.1 599 Odd"}) {
        RawServer server(line + std::string("\r\nContent-Length: 2\r\n\r\nok"), Then::Close);
        BOOST_TEST((send(client, callTo(server.url()))->await().kind == EndKind::Complete), line);
    }
}

BOOST_AUTO_TEST_CASE(an_answer_that_finds_no_memory_ends_at_once)
{
    class Full final : public http::Listener
    {
    public:
        bool onHead(int /*status*/, http::Headers /*headers*/) override
        {
            return true;
        }
        bool onData(std::string_view /*bytes*/) override
        {
            ++chunks;
            return false;
        }
        void onEnd(http::Ending ending) override
        {
            kind = ending.kind;
            done.Notify();
        }
        int chunks = 0;
        EndKind kind = EndKind::Complete;
        absl::Notification done;
    };
    RawServer server("HTTP/1.1 200 OK\r\nContent-Length: 9000000000\r\n\r\n" + std::string(1'000'000, 'x'), Then::Hold);
    http::Client client;
    const auto listener = std::make_shared<Full>();
    client.start(callTo(server.url()), listener);
    listener->done.WaitForNotification();
    BOOST_TEST((listener->kind == EndKind::TooLarge));
    BOOST_TEST(listener->chunks == 1);
}

BOOST_AUTO_TEST_CASE(an_answer_whose_upstream_stops_within_the_head_is_never_complete)
{
    const std::vector<std::string> answers{
        "HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: 2\r\n\r\nok",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Id: 7\r\n\r\n2\r\nok\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\nX-Id: 7\n\nok",
        "HTTP/1.1 200 OK\r\nX-Id: 7\r\n \r\nContent-Length: 2\r\n\r\nok",
        "HTTP/1.1 200 OK\r\nX-Id: 7\r\n\t\r\nContent-Length: 2\r\n\r\nok",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
    };
    http::Client client;
    for (const std::string &whole : answers) {
        const bool isBare = whole.find("\n\n") != std::string::npos;
        const std::size_t head = isBare ? whole.find("\n\n") + 2 : whole.rfind("\r\n\r\nok") + 4;
        const bool isChunked = whole.find("chunked") != std::string::npos;
        const std::size_t end = isChunked ? whole.find("\r\n\r\n2") + 4 : head;
        RawServer server({}, Then::Close);
        for (const Then then : {Then::Close, Then::Reset}) {
            for (std::size_t n = 1; n < end; ++n) {
                server.change(whole.substr(0, n), then);
                const auto answer = send(client, callTo(server.url()));
                BOOST_TEST_CONTEXT(whole.substr(0, n) << " -> " << http::END_KIND_NAMES.name(answer->await().kind))
                {
                    BOOST_TEST((answer->await().kind != EndKind::Complete));
                    BOOST_TEST(answer->status() == 0);
                }
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(a_call_that_waits_for_the_thread_beyond_its_start_timeout_is_not_sent)
{
    /** @brief Holds the client's thread for a while. */
    class Holder final : public http::Listener
    {
    public:
        bool onHead(int /*status*/, http::Headers /*headers*/) override
        {
            began.Notify();
            std::this_thread::sleep_for(std::chrono::milliseconds(400));
            return true;
        }
        bool onData(std::string_view /*bytes*/) override
        {
            return true;
        }
        void onEnd(http::Ending /*ending*/) override
        {
            ended.Notify();
        }
        absl::Notification began;
        absl::Notification ended;
    };
    http::Client client;
    RawServer first(WHOLE, Then::Close);
    RawServer second(WHOLE, Then::Close);
    const auto holder = std::make_shared<Holder>();
    client.start(callTo(first.url()), holder);
    holder->began.WaitForNotification();
    http::Call call = callTo(second.url());
    call.startTimeout = {100};
    const auto answer = send(client, call);
    BOOST_TEST((answer->await().kind == EndKind::Stale));
    BOOST_TEST(!answer->await().bytesSent);
    holder->ended.WaitForNotification();
    BOOST_TEST((send(client, call)->await().kind == EndKind::Complete));
    BOOST_TEST(second.requests() == 1);
}

BOOST_AUTO_TEST_CASE(nothing_is_sent_where_nobody_listens)
{
    http::Client client;
    std::string url;
    {
        const RawServer gone(WHOLE, Then::Close);
        url = gone.url();
    }
    const auto refused = send(client, callTo(url));
    BOOST_TEST((refused->await().kind == EndKind::ConnectFailed));
    BOOST_TEST(!refused->await().bytesSent);
    const auto unusable = send(client, callTo("ftp://127.0.0.1/"));
    BOOST_TEST((unusable->await().kind == EndKind::Unusable));
    BOOST_TEST(!unusable->await().bytesSent);
    client.stop();
    const auto late = send(client, callTo(url));
    BOOST_TEST((late->await().kind == EndKind::Cancelled));
    BOOST_TEST(!late->await().bytesSent);
}

BOOST_AUTO_TEST_CASE(a_call_marked_once_reaches_the_upstream_once)
{
    http::Client client;
    RawServer server(WHOLE, Then::Hold);
    for (int n = 1; n <= 20; ++n) {
        // Leaves an open connection in the pool, on which the library would send again by itself.
        BOOST_TEST(send(client, callTo(server.url(), false))->status() == 200);
        server.change("", Then::Close);
        const int before = server.requests();
        const auto answer = send(client, callTo(server.url(), true));
        BOOST_TEST((answer->await().kind == EndKind::ResetBeforeAnswer));
        BOOST_TEST(answer->await().bytesSent);
        BOOST_TEST(server.requests() == before + 1);
        server.change(WHOLE, Then::Hold);
    }
}

BOOST_AUTO_TEST_CASE(a_call_on_a_pooled_connection_that_died_reaches_the_upstream_once)
{
    http::Client client;
    RawServer server(WHOLE, Then::Hold);
    // Several open connections, as the library would go from one dead connection to the next.
    for (int n = 0; n < 4; ++n) {
        BOOST_TEST(send(client, callTo(server.url(), true))->status() == 200);
    }
    server.change("", Then::Close);
    for (int n = 0; n < 4; ++n) {
        const int before = server.requests();
        const auto answer = send(client, callTo(server.url(), false));
        BOOST_TEST((answer->await().kind == EndKind::ResetBeforeAnswer));
        BOOST_TEST(answer->await().bytesSent);
        BOOST_TEST(server.requests() == before + 1);
    }
}

BOOST_AUTO_TEST_CASE(a_cancelled_call_ends_and_closes_its_connection)
{
    http::Client client;
    RawServer server("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort", Then::Hold);
    http::Call call = callTo(server.url());
    call.progressTimeout = {60'000};
    auto answer = std::make_shared<Collector>();
    const http::CallId id = client.start(call, answer);
    answer->awaitHead();
    client.cancel(id);
    client.cancel({id.value + 7});
    BOOST_TEST((answer->await().kind == EndKind::Cancelled));
    BOOST_TEST(answer->await().bytesSent);
    while (server.closedByCaller() == 0) {
        std::this_thread::yield();
    }
}

BOOST_AUTO_TEST_CASE(a_connection_that_delivered_a_foreign_answer_is_not_kept_while_its_request_may_still_run)
{
    /** @brief Takes each answer for another call's. */
    class Rejecting final : public http::Listener
    {
    public:
        bool onHead(int /*status*/, http::Headers /*headers*/) override
        {
            return false;
        }
        bool onData(std::string_view /*bytes*/) override
        {
            ++chunks;
            return true;
        }
        void onEnd(http::Ending ending) override
        {
            end = std::move(ending);
            ended.Notify();
        }
        int chunks = 0;
        http::Ending end;
        absl::Notification ended;
    };
    for (const char *bytes : {WHOLE, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"}) {
        http::Client client;
        RawServer server(bytes, Then::Hold);
        BOOST_TEST((send(client, callTo(server.url(), false))->await().kind == EndKind::Complete));
        const auto rejecting = std::make_shared<Rejecting>();
        client.start(callTo(server.url(), false), rejecting);
        rejecting->ended.WaitForNotification();
        BOOST_TEST((rejecting->end.kind == EndKind::Cancelled));
        BOOST_TEST(rejecting->end.bytesSent);
        BOOST_TEST(rejecting->chunks == 0);
        for (int n = 0; n < 400 && server.closedByCaller() == 0; ++n) {
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        }
        BOOST_TEST(server.closedByCaller() == 1);
        BOOST_TEST((send(client, callTo(server.url(), false))->await().kind == EndKind::Complete));
        BOOST_TEST(server.requests() == 3);
    }
}

BOOST_AUTO_TEST_CASE(a_whole_answer_is_fetched)
{
    http::Client client;
    RawServer server(WHOLE, Then::Close);
    const http::Fetched fetched = http::fetch(client, callTo(server.url()));
    BOOST_TEST(fetched.status == 200);
    BOOST_TEST(fetched.body == "ok");
    BOOST_TEST(http::headerValue(fetched.headers, "content-length") == "2");
    BOOST_TEST((fetched.ending.kind == EndKind::Complete));
}

BOOST_AUTO_TEST_CASE(stopping_the_client_ends_every_call)
{
    RawServer server("", Then::Hold);
    std::vector<std::shared_ptr<Collector>> answers;
    {
        http::Client client;
        for (int n = 0; n < 50; ++n) {
            http::Call call = callTo(server.url());
            call.firstByteTimeout = {60'000};
            answers.push_back(send(client, call));
        }
    }
    for (const auto &it : answers) {
        BOOST_TEST((it->await().kind == EndKind::Cancelled));
    }
}
