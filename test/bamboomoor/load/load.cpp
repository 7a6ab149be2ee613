/**
 * Tests of the load tool: its schedule, its arithmetic, and a run against a stand-in engine.
 */
#include "bamboomoor/load/load.hpp"
#include "bamboomoor/load/schedule.hpp"
#include "fakes/fleet.hpp"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include <algorithm>

using namespace bamboomoor;
using nlohmann::json;

namespace
{

load::LoadOptions baseOptions()
{
    load::LoadOptions options;
    options.entries = {"127.0.0.1:1"};
    options.callers = {{"big", "k1", 3.0}, {"small", "k2", 1.0}};
    options.models = {"m"};
    options.rate = 1'000;
    options.duration = {20'000};
    return options;
}

} // namespace

BOOST_AUTO_TEST_CASE(a_schedule_keeps_its_rate_and_weights)
{
    const auto schedule = load::makeSchedule(baseOptions());
    const auto big = std::count_if(schedule.begin(), schedule.end(), [](const load::Arrival &it) {
        return it.caller == 0;
    });
    // Four standard deviations of a Poisson process of 20,000, and of the share of three in four.
    BOOST_TEST(std::abs(static_cast<double>(schedule.size()) - 20'000.0) < 566.0);
    BOOST_TEST(std::abs(static_cast<double>(big) / static_cast<double>(schedule.size()) - 0.75) < 0.0125);
    BOOST_TEST(std::is_sorted(schedule.begin(), schedule.end(), [](const auto &lhs, const auto &rhs) {
        return lhs.at < rhs.at;
    }));
}

BOOST_AUTO_TEST_CASE(a_percentile_whose_rank_is_whole_is_not_rounded_up)
{
    std::vector<std::int64_t> values;
    for (std::int64_t n = 1; n <= 25; ++n) {
        values.push_back(n);
    }
    BOOST_TEST(load::percentile(values, 28) == 7);
}

BOOST_AUTO_TEST_CASE(a_percentile_is_the_least_value_that_covers_its_share)
{
    BOOST_TEST(rc::check("nearest rank", [] {
        auto values = *rc::gen::nonEmpty<std::vector<std::int64_t>>();
        const int percent = *rc::gen::inRange(1, 101);
        const std::int64_t found = load::percentile(values, percent);
        const auto covered = [&values](auto within) {
            return static_cast<double>(std::count_if(values.begin(), values.end(), within)) * 100.0;
        };
        const double needed = static_cast<double>(percent) * static_cast<double>(values.size());
        return covered([found](std::int64_t it) {
            return it <= found;
        }) >= needed
            && covered([found](std::int64_t it) {
                   return it < found;
               })
            < needed;
    }));
}

BOOST_AUTO_TEST_CASE(a_key_file_is_read_line_by_line)
{
    const auto callers = load::parseCallers("# note\n\na k1\nb k2 2.5\n").value();
    BOOST_TEST_REQUIRE(callers.size() == 2U);
    BOOST_TEST(callers[1].organisation == "b");
    BOOST_TEST(callers[1].weight == 2.5);
    BOOST_TEST(load::parseCallers("a k1\nb\n").has_error());
    BOOST_TEST(load::parseCallers("a k1 -1\n").has_error());
}

BOOST_AUTO_TEST_CASE(a_run_counts_whole_broken_and_refused_answers)
{
    fakes::FleetOptions engine;
    engine.models = {{"m", 1'000}};
    engine.tokenTime = {1};
    fakes::Fleet fleet(engine);
    load::LoadOptions options = baseOptions();
    options.entries = fleet.start().value();
    options.models = {"m", "absent"};
    options.rate = 200;
    options.duration = {500};
    options.maxTokens = 5;
    options.numberedWords = true;
    for (const bool stream : {true, false}) {
        options.stream = stream;
        const json all = load::measure(options).toJson()["all"];
        const auto sent = static_cast<std::int64_t>(load::makeSchedule(options).size());
        const auto whole = all["whole"].get<std::int64_t>();
        BOOST_TEST(all["requests"] == sent);
        BOOST_TEST(all["codes"]["ok"] == whole);
        BOOST_TEST(all["codes"]["model_not_resident"] == sent - whole);
        BOOST_TEST(all["tokens"] == 5 * whole);
        BOOST_TEST(whole > 0);
        BOOST_TEST(whole < sent);
    }
}
