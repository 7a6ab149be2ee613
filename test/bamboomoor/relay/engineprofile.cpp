/**
 * Unit tests of the estimation of prefill rates.
 */
#include "bamboomoor/relay/engineprofile.hpp"

#include <boost/test/unit_test.hpp>

using namespace bamboomoor;
using relay::EngineProfile;

BOOST_AUTO_TEST_SUITE(engine_profile)

BOOST_AUTO_TEST_CASE(without_observations_the_initial_rate_is_assumed)
{
    EngineProfile it;
    const double first = it.tokensPerMilli();
    it.addObservation(9'000, {100});
    BOOST_TEST(it.tokensPerMilli() == first);
    // Short prompts are ignored.
    for (int n = 0; n < 100; ++n) {
        it.addObservation(50, {20});
    }
    BOOST_TEST(it.tokensPerMilli() == first);
}

BOOST_AUTO_TEST_CASE(the_rate_is_learned_although_half_of_the_responses_were_queued)
{
    for (const double rate : {9.6, 19.2, 38.4, 76.8}) {
        EngineProfile it;
        for (std::int64_t n = 0; n < 40; ++n) {
            const std::int64_t tokens = 1'000 + n * 200;
            const std::int64_t wait = n % 2 == 0 ? 0 : 700;
            it.addObservation(tokens, {static_cast<std::int64_t>(static_cast<double>(tokens) / rate) + wait});
        }
        BOOST_TEST(it.tokensPerMilli() > rate * 0.9);
        BOOST_TEST(it.tokensPerMilli() < rate * 1.1);
    }
}

BOOST_AUTO_TEST_CASE(outliers_are_bounded)
{
    EngineProfile quick;
    EngineProfile slow;
    const double first = quick.tokensPerMilli();
    for (int n = 0; n < 100; ++n) {
        quick.addObservation(1'000'000, {0});
        slow.addObservation(500, {60'000});
    }
    BOOST_TEST(quick.tokensPerMilli() <= first * 8);
    BOOST_TEST(slow.tokensPerMilli() >= first / 4);
}

BOOST_AUTO_TEST_SUITE_END()
