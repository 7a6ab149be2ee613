/**
 * Tests of the parsing of untrusted JSON.
 */
#include "bamboomoor/base/json.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <string>

using namespace bamboomoor;

namespace
{

std::string nested(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

} // namespace

BOOST_AUTO_TEST_CASE(json_is_read_up_to_the_deepest_nesting)
{
    BOOST_TEST(!base::parseJson(nested(base::MAX_JSON_DEPTH)).is_discarded());
    BOOST_TEST(base::parseJson(nested(base::MAX_JSON_DEPTH + 1)).is_discarded());
    BOOST_TEST(base::parseJson(nested(100'000)).is_discarded());
    BOOST_TEST(base::parseJson(std::string(8'000'000, '[')).is_discarded());
    std::string objects;
    for (std::size_t n = 0; n <= base::MAX_JSON_DEPTH; ++n) {
        objects += R"({"a":)";
    }
    BOOST_TEST(base::parseJson(objects + '1' + std::string(base::MAX_JSON_DEPTH + 1, '}')).is_discarded());
}

BOOST_AUTO_TEST_CASE(brackets_inside_strings_do_not_nest)
{
    const std::string brackets(1'000, '[');
    BOOST_TEST(!base::parseJson('"' + brackets + '"').is_discarded());
    BOOST_TEST(!base::parseJson(R"(["\")" + brackets + "\"]").is_discarded());
    BOOST_TEST(!base::parseJson(R"(["\\",")" + brackets + "\"]").is_discarded());
    BOOST_TEST(base::parseJson(R"(["\\"],)" + brackets).is_discarded());
    std::string flat = "[";
    for (int n = 0; n < 1'000; ++n) {
        flat += "[],";
    }
    flat.back() = ']';
    BOOST_TEST(!base::parseJson(flat).is_discarded());
}

BOOST_AUTO_TEST_CASE(odd_numbers_and_bytes_throw_nothing)
{
    for (const char *text : {"1e400", "-1e400", "\"\xff\"", "", "nul", "\"", "{\"a\":1,\"a\":2", "-", "1.", "\\"}) {
        BOOST_TEST(base::parseJson(text).is_discarded(), text);
    }
    BOOST_TEST(base::parseJson("18446744073709551616").is_number_float());
    BOOST_TEST(base::parseJson(R"({"a":1,"a":2})")["a"] == 2);
    BOOST_TEST(rc::check([](const std::string &bytes) {
        static_cast<void>(base::parseJson(bytes));
    }));
}
