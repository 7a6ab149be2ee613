/**
 * Tests of the event parser and of what is forwarded to upstreams.
 */
#include "bamboomoor/http/forwarding.hpp"
#include "bamboomoor/http/sse.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace bamboomoor;

namespace
{

std::vector<std::string> parseWhole(std::string_view bytes, std::size_t bound)
{
    return http::SseParser(bound).feed(bytes);
}

std::vector<std::string> namesOf(const http::Headers &headers)
{
    std::vector<std::string> names;
    for (const http::Header &it : headers) {
        names.push_back(it.name);
    }
    return names;
}

} // namespace

BOOST_AUTO_TEST_CASE(events_are_cut_out_of_a_stream)
{
    const auto events =
        parseWhole("data: a\n\n: note\ndata:b\ndata: c\r\n\r\nevent: x\n\ndata: [DONE]\r\rdata: no", 100);
    const std::vector<std::string> expected{"a", "b\nc", "[DONE]"};
    BOOST_TEST(events == expected, boost::test_tools::per_element());
    http::SseParser parser(8);
    BOOST_TEST(parser.feed("data: 0123456789").empty());
    BOOST_TEST(parser.failed());
}

BOOST_AUTO_TEST_CASE(any_split_of_the_bytes_gives_the_same_events)
{
    BOOST_TEST(rc::check("splits of a stream", [] {
        const auto piece = rc::gen::element<std::string>(
            "data:", "data: ", "a", "\n", "\n\n", "\r\n", "\r", ":", "[DONE]", "event", std::string(1, '\0'), "\xff");
        const auto pieces = *rc::gen::container<std::vector<std::string>>(piece);
        std::string bytes;
        for (const std::string &it : pieces) {
            bytes += it;
        }
        const auto bound = *rc::gen::inRange<std::size_t>(1, 40);
        http::SseParser parser(bound);
        std::vector<std::string> events;
        std::size_t from = 0;
        while (from < bytes.size()) {
            const auto count = *rc::gen::inRange<std::size_t>(1, 6);
            for (auto &it : parser.feed(std::string_view(bytes).substr(from, count))) {
                events.push_back(std::move(it));
            }
            from += count;
        }
        return events == parseWhole(bytes, bound);
    }));
}

BOOST_AUTO_TEST_CASE(random_bytes_never_break_the_parser)
{
    BOOST_TEST(rc::check("random bytes", [](const std::string &bytes) {
        for (const std::string &it : parseWhole(bytes, 16)) {
            if (it.size() > 16) {
                return false;
            }
        }
        return true;
    }));
}

BOOST_AUTO_TEST_CASE(keys_and_connection_lines_are_not_forwarded)
{
    const http::Headers headers{
        {"aUTHORIZATION", "Bearer secret"},
        {"Authorization", "Bearer other"},
        {"X-API-Key", "secret"},
        {"x_api_key", "secret"},
        {"Api-Key", "secret"},
        {"COOKIE", "secret"},
        {"Proxy-Authorization", "secret"},
        {"Connection", "close, X-Private ,x-other"},
        {"connection", "Keep-Alive"},
        {"X-Private", "secret"},
        {"x-OTHER", "secret"},
        {"Keep-Alive", "5"},
        {"TE", "trailers"},
        {"Transfer-Encoding", "chunked"},
        {"Upgrade", "h2c"},
        {"X-Bamboomoor-Organisation", "a"},
        {"x-bamboomoor-ORG", "b"},
        {"X-Organisation", "c"},
        {"Host", "x"},
        {"Content-Length", "3"},
        {"Expect", "100-continue"},
        {"Accept", "*/*"},
        {"X-Request-Id", "7"},
        {"Accept", "text/plain"},
    };
    const std::vector<std::string> expected{"Accept", "X-Request-Id", "Accept"};
    BOOST_TEST(namesOf(http::forwardHeaders(headers)) == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(key_parameters_are_removed_from_a_query)
{
    BOOST_TEST(http::stripQuery("a=1&key=s&b=2&API_KEY=s&token&c").compare("a=1&b=2&c") == 0);
    BOOST_TEST(http::stripQuery("access_token=s").empty());
    BOOST_TEST(http::stripQuery("%6Bey=s&apikey=s&keys=1;key=s;z=%").compare("keys=1;z=%") == 0);
    BOOST_TEST(http::stripQuery("").empty());
    BOOST_TEST(http::stripQuery("key=a&&x").compare("&x") == 0);
}

BOOST_AUTO_TEST_CASE(no_secret_survives_any_spelling_of_a_parameter)
{
    BOOST_TEST(rc::check("spellings of key parameters", [] {
        const auto name = *rc::gen::element<std::string>("key", "api_key", "apikey", "access_token", "token");
        std::string spelt;
        for (const char it : name) {
            static constexpr std::string_view DIGITS = "0123456789abcdef";
            const int form = *rc::gen::inRange(0, 3);
            const auto code = static_cast<unsigned char>(form == 1 ? std::toupper(it) : it);
            spelt += form == 2 ? std::string{'%', DIGITS[code >> 4U], DIGITS[code & 15U]}
                               : std::string(1, static_cast<char>(code));
        }
        const auto before = *rc::gen::element<std::string>("", "a=1&", "&", "a;");
        const std::string stripped = http::stripQuery(before + spelt + "=SECRET&z=9");
        return stripped.find("SECRET") == std::string::npos && stripped.ends_with("z=9");
    }));
}
