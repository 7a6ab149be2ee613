/**
 * Tests of what identifies a request that crashes upstreams, and of the failures that are evidence.
 */
#include "bamboomoor/entry/crashevidence.hpp"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace bamboomoor;
using routing::FailureKind;

namespace
{

quarantine::RequestTraits traitsOf(const std::string &body, const std::string &organisation = "acme",
    const http::Headers &headers = {}, const std::string &path = "/v1/chat/completions")
{
    http::Request request;
    request.method = "POST";
    request.path = path;
    request.headers = headers;
    request.body = body;
    entry::Resolved resolved;
    if (path.starts_with("/v1/")) {
        resolved.generation = entry::parseGeneration(body).value();
    }
    return entry::traitsOf(request, resolved, organisation);
}

std::string chat(const std::string &first, const std::string &last)
{
    return R"({"model":"m","messages":[{"role":"system","content":")" + first + R"("},{"role":"user","content":")"
        + last + "\"}]}";
}

} // namespace

BOOST_AUTO_TEST_SUITE(crashevidence)

BOOST_AUTO_TEST_CASE(a_request_that_comes_again_to_another_entry_or_with_another_claim_is_the_same)
{
    const auto first = traitsOf(chat("a", "b"), "acme", {{"Host", "one"}, {"Idempotency-Key", "1"}});
    const auto again = traitsOf(chat("a", "b"), "acme", {{"Host", "two"}, {"Idempotency-Key", "2"}});
    BOOST_TEST(first.fingerprint == again.fingerprint);
    BOOST_TEST((first.parts == again.parts));
}

BOOST_AUTO_TEST_CASE(requests_of_other_callers_paths_and_bodies_are_others)
{
    const std::string one = traitsOf(chat("a", "b")).fingerprint;
    BOOST_TEST(one != traitsOf(chat("a", "c")).fingerprint);
    BOOST_TEST(one != traitsOf(chat("a", "b"), "zenith").fingerprint);
    BOOST_TEST(one != traitsOf(chat("a", "b"), "acme", {}, "/v1/completions").fingerprint);
    BOOST_TEST(
        traitsOf("", "acme", {}, "/registry/ab").fingerprint != traitsOf("b", "acme", {}, "/registry/a").fingerprint);
}

BOOST_AUTO_TEST_CASE(each_message_is_a_part_and_a_request_to_a_service_has_none)
{
    const auto one = traitsOf(chat("shared", "b"));
    const auto other = traitsOf(chat("shared", "c"), "zenith");
    BOOST_REQUIRE(one.parts.size() == 2U);
    BOOST_TEST(one.parts[0] == other.parts[0]);
    BOOST_TEST(one.parts[1] != other.parts[1]);
    BOOST_TEST(traitsOf(R"({"model":"m","prompt":"x"})").parts.size() == 1U);
    BOOST_TEST(traitsOf("body", "acme", {}, "/registry").parts.empty());
}

BOOST_AUTO_TEST_CASE(only_a_connection_that_is_lost_before_the_second_event_may_be_a_crash)
{
    for (const FailureKind it :
        {FailureKind::ResetBeforeResponse, FailureKind::ResetDuringResponse, FailureKind::Truncated}) {
        BOOST_TEST(entry::mayBeCrash(it, 0));
        BOOST_TEST(entry::mayBeCrash(it, 1));
        BOOST_TEST(!entry::mayBeCrash(it, 2));
    }
    for (const FailureKind it : {FailureKind::ConnectRefused, FailureKind::ConnectTimeout, FailureKind::SentNothing,
             FailureKind::Stalled, FailureKind::Malformed, FailureKind::UpstreamNotRun, FailureKind::UpstreamError}) {
        BOOST_TEST(!entry::mayBeCrash(it, 0));
    }
}

BOOST_AUTO_TEST_SUITE_END()
