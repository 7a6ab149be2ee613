/**
 * Fuzz test of attempts, retries and in-flight counts against the requests that simulated upstreams ran.
 */
#include "bamboomoor/routing/delivery.hpp"
#include "bamboomoor/routing/retrybudget.hpp"
#include "bamboomoor/routing/router.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace bamboomoor;
using namespace bamboomoor::routing;

namespace
{
// Behaviour of the upstream in one attempt, and the failure that the daemon observes.
struct Fate {
    std::uint64_t bytesSent = 0;
    bool ran = false;
    std::uint64_t tokens = 0;
    std::optional<FailureKind> failure;
};

Fate fateOf(std::uint32_t code)
{
    const std::uint64_t tokens = code / 16 % 4;
    switch (code % 12) {
    case 0:
        return {0, false, 0, FailureKind::ConnectRefused};
    case 1:
        return {0, false, 0, FailureKind::ConnectTimeout};
    case 2:
        return {0, false, 0, FailureKind::SentNothing};
    case 3:
        return {90, code / 16 % 2 == 0, 0, FailureKind::ResetBeforeResponse};
    case 4:
        return {90, true, tokens, FailureKind::ResetDuringResponse};
    case 5:
        return {90, true, tokens, FailureKind::Truncated};
    case 6:
        return {90, code / 16 % 2 == 0, 0, FailureKind::Stalled};
    case 7:
        return {90, code / 16 % 2 == 0, 0, FailureKind::Malformed};
    case 8:
        return {90, false, 0, FailureKind::UpstreamNotRun};
    case 9:
        return {90, true, tokens, FailureKind::UpstreamError};
    case 10:
        // A pooled connection closed by the peer: bytes were written to it before it failed as if refused.
        return {1, code / 16 % 2 == 0, 0, FailureKind::ConnectRefused};
    default:
        return {90, true, tokens, std::nullopt};
    }
}

struct Job {
    explicit Job(DeliveryOptions nature)
        : delivery(nature)
    {
    }

    Delivery delivery;
    bool repeatable = false;
    bool generation = false;
    // Attempts whose request bytes may have been sent.
    int dispatched = 0;
    int ran = 0;
    std::uint64_t tokens = 0;
    std::optional<Decision> end;
    std::uint64_t abandoned = 0;
};

void checkEnd(const Job &job)
{
    RC_ASSERT(job.repeatable || job.dispatched <= 1);
    RC_ASSERT(job.repeatable || job.ran <= 1);
    RC_ASSERT(job.end != Decision::FailNotRun || job.ran == 0);
    RC_ASSERT(job.end != Decision::FailRun || job.ran > 0);
    RC_ASSERT(job.delivery.deliveredTokens() == job.tokens);
}

void attempt(Job &job, Router &router, std::uint32_t code)
{
    const std::vector<Candidate> candidates = {{"a", {}, {0}}, {"b", {}, {0}}, {"c", {}, {0}}};
    const Choice choice = router.begin({1'000}, {}, candidates, job.delivery.excluded());
    if (choice.kind != ChoiceKind::Chosen) {
        RC_ASSERT(choice.kind == ChoiceKind::Wait);
        job.end = job.delivery.giveUp();
        return;
    }
    job.delivery.start(choice.attempt, choice.upstream);
    // A late response of an abandoned attempt.
    RC_ASSERT(job.abandoned == 0 || !job.delivery.delivered(job.abandoned, 5, 5));
    RC_ASSERT(job.abandoned == 0 || !router.done({1'000}, job.abandoned));
    const Fate fate = fateOf(code);
    job.delivery.sent(choice.attempt, fate.bytesSent);
    job.dispatched += fate.bytesSent > 0 ? 1 : 0;
    job.ran += fate.ran ? 1 : 0;
    const std::uint64_t tokens = job.generation ? fate.tokens : 0;
    if (tokens > 0) {
        RC_ASSERT(router.firstByte({1'000}, choice.attempt));
        RC_ASSERT(job.delivery.delivered(choice.attempt, tokens, tokens * 4));
        job.tokens += tokens;
    }
    if (!fate.failure) {
        RC_ASSERT(router.done({1'000}, choice.attempt) && job.delivery.finished(choice.attempt));
        return;
    }
    RC_ASSERT(router.failed({1'000}, choice.attempt));
    const Decision decision = job.delivery.failed(choice.attempt, *fate.failure, code / 64 % 8 != 0).value();
    RC_ASSERT(decision != Decision::Resume || (job.generation && job.tokens > 0));
    RC_ASSERT(decision != Decision::Retry || job.tokens == 0);
    job.abandoned = choice.attempt;
    if (job.delivery.isOver()) {
        job.end = decision;
    }
}
} // namespace

BOOST_AUTO_TEST_CASE(requests_that_are_not_repeatable_run_at_most_once)
{
    BOOST_TEST(rc::check("dispatch log", [](std::uint64_t seed) {
        const auto codes =
            *rc::gen::container<std::vector<std::uint32_t>>(rc::gen::inRange<std::uint32_t>(0, 1U << 20U)).as("steps");
        RouterOptions options;
        options.engineDepth = 2;
        Router router(makePolicy(static_cast<PolicyKind>(seed % 4), seed), options);
        std::vector<Job> jobs;
        for (const std::uint32_t code : codes) {
            if (jobs.empty() || code % 5 == 0) {
                DeliveryOptions nature;
                nature.generation = code / 5 % 2 == 0;
                nature.idempotent = nature.generation || code / 10 % 2 == 0;
                nature.claimed = code / 20 % 4 == 0;
                Job job(nature);
                job.repeatable = nature.idempotent && !nature.claimed;
                job.generation = nature.generation;
                jobs.push_back(std::move(job));
            }
            Job &job = jobs[code / 3 % jobs.size()];
            if (!job.delivery.isOver()) {
                attempt(job, router, code / 7);
            }
            checkEnd(job);
        }
        RC_ASSERT(router.inFlight() == 0U);
        for (const char *upstream : {"a", "b", "c"}) {
            const OwnLoad own = router.load(upstream);
            RC_ASSERT(own.inFlight == 0U && own.waiting == 0U && own.waitingTokens == 0U);
        }
    }));
}

BOOST_AUTO_TEST_CASE(a_claimed_request_whose_connection_was_refused_is_tried_elsewhere_and_not_told_to_may_have_run)
{
    DeliveryOptions options;
    options.claimed = true;
    Delivery delivery(options);
    delivery.start(1, "a");
    BOOST_TEST(delivery.sent(1, 100));
    BOOST_TEST(!delivery.nothingSent(2));
    BOOST_TEST(delivery.nothingSent(1));
    BOOST_TEST((delivery.failed(1, FailureKind::ConnectRefused, true) == Decision::Retry));
    delivery.start(2, "b");
    BOOST_TEST(delivery.sent(2, 100));
    BOOST_TEST(delivery.nothingSent(2));
    BOOST_TEST((delivery.failed(2, FailureKind::ConnectRefused, false) == Decision::FailNotRun));
}

BOOST_AUTO_TEST_CASE(retries_add_at_most_a_tenth_to_the_load)
{
    RetryBudget budget;
    int retries = 0;
    for (int n = 0; n < 10'000; ++n) {
        budget.request({n}, "org", "up");
        retries += budget.takeRetry({n}, "org", "up") == RetryBudgetResult::Allowed ? 1 : 0;
    }
    // A tenth of the requests, one per second, and the initial ten.
    BOOST_TEST(retries <= 1'000 + 10 + 10);
    BOOST_TEST(retries >= 1'000);
    BOOST_TEST((budget.takeRetry({10'000}, "other", "up") == RetryBudgetResult::UpstreamExhausted));
    BOOST_TEST((budget.takeRetry({10'000}, "org", "other") == RetryBudgetResult::OrganisationExhausted));
    Backoff backoff(1);
    for (std::uint32_t n = 1; n < 100; ++n) {
        const std::int64_t delay = backoff.delay(n).count;
        BOOST_TEST((delay >= 10 && delay <= 1'000));
    }
}
