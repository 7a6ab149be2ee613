/**
 * Tests of the leader's answers on the origins of streams.
 */
#include "bamboomoor/lineage/originauthority.hpp"

#include <boost/test/unit_test.hpp>

#include <set>
#include <string>

using namespace bamboomoor;
using lineage::OriginAuthority;

namespace
{

constexpr base::Millis NOW{10'000};
constexpr base::Millis END{20'000};
const std::set<std::string> ONE{"v1"};
const std::set<std::string> TWO{"v1", "v2"};

lineage::StreamRecord recordOf(const std::string &stream, const std::string &software)
{
    return {stream, {"llm", software}, END};
}

} // namespace

BOOST_AUTO_TEST_SUITE(originauthority)

BOOST_AUTO_TEST_CASE(with_one_version_in_service_no_report_is_needed)
{
    OriginAuthority authority;
    BOOST_TEST(authority.ask(NOW, {1, "llm", "a", ONE})->software.value() == "v1");
    BOOST_TEST(authority.ask(NOW, {2, "llm", "", ONE})->software.value() == "v1");
}

BOOST_AUTO_TEST_CASE(with_several_versions_the_report_decides)
{
    OriginAuthority authority;
    authority.add(NOW, recordOf("a", "v1"));
    authority.add(NOW, recordOf("b", "v2"));
    BOOST_TEST(authority.ask(NOW, {1, "llm", "a", TWO})->software.value() == "v1");
    BOOST_TEST(authority.ask(NOW, {2, "llm", "b", TWO})->software.value() == "v2");
}

BOOST_AUTO_TEST_CASE(an_uncertain_origin_is_unknown)
{
    OriginAuthority authority;
    authority.add(NOW, recordOf("a", "v1"));
    authority.add(NOW, recordOf("a", "v2"));
    authority.add(NOW, recordOf("b", "v1"));
    BOOST_TEST(!authority.ask(NOW, {1, "llm", "a", TWO})->software.has_value());
    BOOST_TEST(!authority.ask(NOW, {2, "other", "b", TWO})->software.has_value());
    BOOST_TEST(!authority.ask(NOW, {3, "llm", "", TWO})->software.has_value());
    BOOST_TEST(!authority.ask(NOW, {4, "llm", "b", {}})->software.has_value());
}

BOOST_AUTO_TEST_CASE(a_question_waits_for_a_report_that_is_on_its_way)
{
    OriginAuthority authority;
    BOOST_TEST(!authority.ask(NOW, {1, "llm", "a", TWO}).has_value());
    BOOST_TEST(!authority.ask(NOW, {2, "llm", "b", TWO}).has_value());
    BOOST_TEST((authority.nextDeadline() == NOW + base::Millis{400}));
    BOOST_TEST(authority.takeAnswers(NOW + base::Millis{100}).empty());
    authority.add(NOW + base::Millis{100}, recordOf("a", "v2"));
    const auto found = authority.takeAnswers(NOW + base::Millis{100});
    BOOST_REQUIRE(found.size() == 1U);
    BOOST_TEST(found.front().number == 1U);
    BOOST_TEST(found.front().software.value() == "v2");
    const auto unknown = authority.takeAnswers(NOW + base::Millis{400});
    BOOST_REQUIRE(unknown.size() == 1U);
    BOOST_TEST(unknown.front().number == 2U);
    BOOST_TEST(!unknown.front().software.has_value());
    BOOST_TEST((authority.nextDeadline() == base::NEVER));
}

BOOST_AUTO_TEST_CASE(the_memory_is_bounded)
{
    OriginAuthority authority(lineage::OriginAuthorityOptions{.maxStreams = 1, .maxHeld = 1});
    authority.add(NOW, recordOf("a", "v1"));
    authority.add(NOW, recordOf("b", "v1"));
    BOOST_TEST(authority.size() == 1U);
    BOOST_TEST(!authority.ask(NOW, {1, "llm", "b", TWO}).has_value());
    BOOST_TEST(!authority.ask(NOW, {2, "llm", "c", TWO})->software.has_value());
    authority.add(END, {"b", {"llm", "v1"}, END + base::Millis{1}});
    BOOST_TEST(authority.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
