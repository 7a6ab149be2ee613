/**
 * Tests of the command line, the JSON on the wire, the library of operators, and the transport.
 */
#include "bamboomoor/operators/invocation.hpp"
#include "bamboomoor/config/parse.hpp"
#include "bamboomoor/operators/configuration.hpp"
#include "bamboomoor/operators/curltransport.hpp"
#include "bamboomoor/operators/wire.hpp"

#include <arpa/inet.h>
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <string>
#include <thread>

using namespace bamboomoor;
using namespace bamboomoor::operators;

namespace
{

std::string mistake(const std::vector<std::string> &arguments)
{
    const auto parsed = parseInvocation(arguments);
    return parsed.has_error() ? parsed.error().message : "no mistake";
}

// Makes the server below hold its connection until the other end closes it.
const std::string SILENCE = "HTTP/1.1 200 OK\r\n";

// Accepts one connection, reads a little, answers with fixed bytes and closes.
class OneShotServer
{
public:
    explicit OneShotServer(const std::string &answer)
        : m_socket(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        auto *raw = reinterpret_cast<sockaddr *>(&address);
        socklen_t size = sizeof(address);
        BOOST_REQUIRE(bind(m_socket, raw, size) == 0);
        BOOST_REQUIRE(listen(m_socket, 1) == 0);
        BOOST_REQUIRE(getsockname(m_socket, raw, &size) == 0);
        m_port = ntohs(address.sin_port);
        m_thread = std::thread([this, answer] {
            const int peer = accept(m_socket, nullptr, nullptr);
            std::array<char, 4096> buf{};
            m_request.assign(
                buf.data(), static_cast<std::size_t>(std::max<ssize_t>(0, read(peer, buf.data(), buf.size()))));
            static_cast<void>(send(peer, answer.data(), answer.size(), MSG_NOSIGNAL));
            while (answer == SILENCE && read(peer, buf.data(), buf.size()) > 0) { }
            close(peer);
        });
    }

    // Waits for the one connection to end, and tells what it sent.
    std::string finish()
    {
        m_thread.join();
        close(m_socket);
        return m_request;
    }

    [[nodiscard]] std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_port);
    }

private:
    int m_socket;
    int m_port = 0;
    std::string m_request;
    std::thread m_thread;
};

} // namespace

BOOST_AUTO_TEST_CASE(command_lines_are_read)
{
    const auto it = parseInvocation({"key", "--json", "add", "acme", "--id=first", "--entry", "[::1]:80"}).value();
    BOOST_TEST(VERB_NAMES.name(it.verb) == "key add");
    BOOST_TEST(it.words.at(0) == "acme");
    BOOST_TEST(it.keyId == "first");
    BOOST_TEST(it.json);
    const auto apply = parseInvocation({"apply", "f", "--base", "7", "--base-digest", "d"}).value();
    BOOST_TEST(apply.base->version == 7U);
    BOOST_TEST(isOperatorWord("key"));
    BOOST_TEST(!isOperatorWord("serve"));
}

BOOST_AUTO_TEST_CASE(each_mistake_is_one_clear_line)
{
    BOOST_TEST(mistake({}) == "a command is missing");
    BOOST_TEST(mistake({"frobnicate"}) == "frobnicate: unknown command");
    BOOST_TEST(mistake({"status", "--frob"}) == "--frob: unknown option");
    BOOST_TEST(mistake({"status", "--base", "1"}) == "--base: is no option of status");
    BOOST_TEST(mistake({"status", "x"}) == "status: must be followed by options only");
    BOOST_TEST(mistake({"apply", "f", "--base", "1"}) == "--base and --base-digest: must be given together");
    BOOST_TEST(mistake({"apply", "f", "--base", "-1"}) == "--base: must be a version, an integer of at least 0");
    BOOST_TEST(mistake({"show", "x"}) == "show: VERSION must be an integer of at least 0");
    BOOST_TEST(mistake({"status", "--json", "--json"}) == "--json: may be given only once");
    BOOST_TEST(mistake({"status", "--entry", "x"}) == "--entry: must be an address such as 192.0.2.1:8080");
    BOOST_TEST(parseInvocation({"--help"}).error().help);
}

BOOST_AUTO_TEST_CASE(any_words_and_any_bytes_are_read_or_refused)
{
    const std::vector<std::string> known{"apply", "key", "add", "show", "--json", "--base", "--id", "1", "-", "--help"};
    const bool passed = rc::check([&known] {
        auto words = *rc::gen::container<std::vector<std::string>>(rc::gen::elementOf(known));
        words.push_back(*rc::gen::string<std::string>());
        const auto parsed = parseInvocation(words);
        RC_ASSERT((parsed.has_value() || parsed.error().help || !parsed.error().message.empty()));

        Reply reply;
        reply.verdict = static_cast<Verdict>(*rc::gen::inRange(0, 3));
        reply.version.version = *rc::gen::arbitrary<std::uint64_t>();
        reply.version.wallMillis = *rc::gen::arbitrary<std::int64_t>();
        reply.history = {{.version = 1, .digest = "d", .author = "a", .changeId = "c", .summary = "s"}};
        reply.status = R"({"a":[1,"b"]})";
        std::string bytes = encode(reply);
        RC_ASSERT(decodeReply(bytes).value() == reply);
        const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
        bytes.replace(at, *rc::gen::inRange<std::size_t>(0, 5), *rc::gen::arbitrary<std::string>());
        static_cast<void>(decodeReply(bytes));
        static_cast<void>(decodeApply(bytes));
    });
    BOOST_TEST(passed);
}

BOOST_AUTO_TEST_CASE(the_library_prints_good_documents_only)
{
    Configuration good;
    good.add(config::Model{.name = "m", .memoryMib = 5})
        .add(config::Adapter{.name = "a", .model = "m", .memoryMib = 1});
    BOOST_TEST(config::parse(good.print().value()).value().models.at(0).memoryMib == 5);
    Configuration outOfRange;
    outOfRange.add(config::Model{.name = "m", .memoryMib = 0});
    BOOST_TEST(outOfRange.print().error().place == "model[0].memory_mib");
    Configuration dangling;
    dangling.add(config::Version{.model = "x", .version = "1"});
    BOOST_TEST(dangling.print().error().place == "version[0].model");
}

BOOST_AUTO_TEST_CASE(the_transport_tells_not_sent_from_unknown)
{
    OneShotServer good("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
    CurlTransport toGood(good.address(), "secret", {5'000});
    const auto reply = toGood.call(Method::Post, "/p?q=1", "{\"a\":1}").value();
    BOOST_TEST(reply.status == 200);
    BOOST_TEST(reply.body == "{}");
    const std::string request = good.finish();
    BOOST_TEST(request.starts_with("POST /p?q=1 HTTP/1.1\r\n"));
    BOOST_TEST(request.find("Authorization: Bearer secret\r\n") != std::string::npos);
    // Nobody listens there any more.
    const auto refused = toGood.call(Method::Post, "/", "{}");
    BOOST_TEST((refused.error().reach == Reach::NotSent));
    for (const std::string &answer : {std::string(), SILENCE + "Content-Length: 9\r\n\r\n{}", SILENCE}) {
        OneShotServer broken(answer);
        CurlTransport toBroken(broken.address(), "secret", {300});
        BOOST_TEST((toBroken.call(Method::Post, "/", "{}").error().reach == Reach::MaybeSent));
        broken.finish();
    }
}
