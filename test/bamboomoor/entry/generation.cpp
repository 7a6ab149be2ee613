/**
 * Tests of the reading of requests for generations and of their answers.
 */
#include "bamboomoor/entry/generation.hpp"
#include "bamboomoor/entry/target.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <string>

using namespace bamboomoor;

BOOST_AUTO_TEST_CASE(a_request_is_read)
{
    const auto parsed = entry::parseGeneration(
        R"({"model":"m","stream":true,"max_tokens":7,"messages":[{"role":"user","content":[{"text":"abcdefgh"}]}]})");
    BOOST_REQUIRE(parsed.has_value());
    BOOST_TEST(parsed.value().stream);
    BOOST_TEST(parsed.value().maxTokens.value() == 7);
    BOOST_TEST(parsed.value().promptTokens >= 2);
}

BOOST_AUTO_TEST_CASE(mistakes_name_their_field)
{
    const auto message = [](const char *body) {
        return entry::parseGeneration(body).error().message;
    };
    BOOST_TEST(message("{").find("the body") == 0U);
    BOOST_TEST(message(R"({"messages":[]})").find("model") == 0U);
    BOOST_TEST(message(R"({"model":"m"})").find("messages") == 0U);
    BOOST_TEST(message(R"({"model":"m","messages":[],"max_tokens":0})").find("max_tokens") == 0U);
    BOOST_TEST(message(R"({"model":"m","messages":[],"max_tokens":1.5})").find("max_tokens") == 0U);
}

BOOST_AUTO_TEST_CASE(any_bytes_are_read_or_refused)
{
    const bool passed = rc::check([](const std::string &bytes) {
        static_cast<void>(entry::parseGeneration(bytes));
        static_cast<void>(entry::readProgress(bytes));
        static_cast<void>(entry::parseGeneration(R"({"model":"m","messages":)" + bytes + "}"));
    });
    BOOST_TEST(passed);
}

BOOST_AUTO_TEST_CASE(progress_counts_text_and_usage)
{
    BOOST_TEST(entry::readProgress(R"({"choices":[{"delta":{"content":"a"}}]})")->tokens == 1);
    BOOST_TEST(entry::readProgress(R"({"choices":[{"delta":{"role":"assistant"}}]})")->tokens == 0);
    BOOST_TEST(entry::readProgress(R"({"choices":[],"usage":{"completion_tokens":5}})")->completionTokens.value() == 5);
    BOOST_TEST(!entry::readProgress(R"({"error":{}})").has_value());
}

BOOST_AUTO_TEST_CASE(an_adapter_leads_to_its_model)
{
    config::Document document;
    document.models.push_back({.name = "m", .memoryMib = 1});
    document.adapters.push_back({.name = "ad", .model = "m", .memoryMib = 1});
    http::Request request;
    request.method = "POST";
    request.path = "/v1/chat/completions";
    request.body = R"({"model":"ad","messages":[],"max_tokens":5})";
    const auto resolved = entry::resolve(document, request);
    BOOST_REQUIRE(resolved.has_value());
    BOOST_TEST(resolved.value().target.model == "m");
    BOOST_TEST(resolved.value().target.adapter == "ad");
    BOOST_TEST(resolved.value().maxTokens == 5);
    request.method = "GET";
    BOOST_TEST(entry::resolve(document, request).has_error());
}

BOOST_AUTO_TEST_CASE(deeply_nested_json_of_callers_and_upstreams_is_refused)
{
    const std::string deep = std::string(100'000, '[') + std::string(100'000, ']');
    BOOST_TEST(entry::parseGeneration(R"({"model":"m","messages":)" + deep + "}").has_error());
    BOOST_TEST(entry::parseGeneration(R"({"model":"m","messages":[],"tools":)" + deep + "}").has_error());
    BOOST_TEST(entry::parseGeneration(R"({"model":"m","prompt":)" + deep + "}").has_error());
    BOOST_TEST(!entry::readProgress(R"({"choices":[{"delta":{"content":"a"}}],"x":)" + deep + "}").has_value());
    const std::string usual = std::string(64, '[') + std::string(64, ']');
    BOOST_TEST(entry::parseGeneration(R"({"model":"m","messages":[],"tools":)" + usual + "}").has_value());
}

BOOST_AUTO_TEST_CASE(usage_that_no_answer_can_have_is_not_counted)
{
    for (const char *count : {"9223372036854775807", "18446744073709551615", "1e300", "-1", "1.5", "\"7\"", "null"}) {
        const auto progress = entry::readProgress(R"({"choices":[],"usage":{"prompt_tokens":)" + std::string(count)
            + R"(,"completion_tokens":)" + count + "}}");
        BOOST_REQUIRE(progress.has_value());
        BOOST_TEST(!progress->promptTokens.has_value(), count);
        BOOST_TEST(!progress->completionTokens.has_value(), count);
    }
    BOOST_TEST(!entry::readProgress(R"({"choices":[],"usage":{"prompt_tokens":1e400}})").has_value());
}
