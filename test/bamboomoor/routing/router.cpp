/**
 * Tests of the selection of upstreams.
 */
#include "bamboomoor/routing/router.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace bamboomoor;
using namespace bamboomoor::routing;

namespace
{
const std::vector<Candidate> TWO = {{"a", {}, {0}}, {"b", {}, {0}}};

Router makeRouter(PolicyKind kind, std::uint64_t depth)
{
    RouterOptions options;
    options.engineDepth = depth;
    return Router(makePolicy(kind, 1), options);
}
} // namespace

BOOST_AUTO_TEST_CASE(a_choice_waits_for_full_upstreams_and_fails_without_upstreams)
{
    Router router = makeRouter(PolicyKind::LeastInFlight, 1);
    const Choice first = router.begin({0}, {}, TWO);
    const Choice second = router.begin({0}, {}, TWO);
    BOOST_TEST(first.upstream != second.upstream);
    BOOST_TEST((router.begin({0}, {}, TWO).kind == ChoiceKind::Wait));
    BOOST_TEST((router.begin({0}, {}, {}).kind == ChoiceKind::None));
    BOOST_TEST(router.done({0}, first.attempt));
    BOOST_TEST(!router.done({0}, first.attempt));
    BOOST_TEST(router.begin({0}, {}, TWO).upstream == first.upstream);
}

BOOST_AUTO_TEST_CASE(failed_upstreams_are_avoided_if_there_is_another)
{
    Router router = makeRouter(PolicyKind::Random, 16);
    const std::vector<std::string> excluded = {"a"};
    for (int n = 0; n < 8; ++n) {
        BOOST_TEST(router.begin({0}, {}, TWO, excluded).upstream == "b");
    }
    const Choice again = router.begin({0}, {}, std::span(TWO).first(1), excluded);
    BOOST_TEST(again.repeated);
    BOOST_TEST(router.failed({0}, again.attempt));
    BOOST_TEST(router.begin({249}, {}, TWO).upstream == "b");
    BOOST_TEST(router.begin({249}, {}, std::span(TWO).first(1)).upstream == "a");
}

BOOST_AUTO_TEST_CASE(a_cached_prefix_attracts_requests_up_to_the_load_bound)
{
    Router router = makeRouter(PolicyKind::TimeToFirstToken, 64);
    Request request;
    request.promptTokens = 640;
    request.prefixChain = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10};
    const Choice first = router.begin({0}, request, TWO);
    router.done({0}, first.attempt, 0);
    BOOST_TEST(router.begin({0}, request, TWO).upstream == first.upstream);
    // With n attempts at one of two upstreams, the bound is 1.5 * n / 2 + 1, which n = 5 is the first to exceed.
    while (router.begin({0}, request, TWO).upstream == first.upstream) {
        BOOST_REQUIRE(router.inFlight() < 64U);
    }
    BOOST_TEST(router.load(first.upstream).inFlight == 5U);
}

BOOST_AUTO_TEST_CASE(hints_expire_and_are_corrected_and_bounded)
{
    PrefixIndexOptions options;
    options.capacity = 8;
    PrefixIndex index(options);
    index.learn({0}, "a", {1, 2, 3});
    BOOST_TEST(index.expected({0}, "a", {1, 2, 4}) == 128U);
    BOOST_TEST(index.expected({0}, "b", {1, 2, 3}) == 0U);
    index.correct("a", {1, 2, 3}, 64);
    BOOST_TEST(index.expected({0}, "a", {1, 2, 3}) == 64U);
    BOOST_TEST(index.expected({60'000}, "a", {1, 2, 3}) == 0U);
    for (std::uint64_t n = 0; n < 1'000; ++n) {
        index.learn({1}, "a", {n % 20});
        BOOST_TEST(index.size() <= 8U);
    }
}
