/**
 * Tests of lease expiry and of recalls, which random runs exercise too rarely.
 */
#include "fleet.hpp"

#include <boost/test/unit_test.hpp>

using namespace bamboomoor;
using namespace bamboomoor::budget;

namespace
{
Holder makeHolder()
{
    HolderOptions options;
    options.name = "vm0";
    options.idleTimeout = {60'000};
    return Holder(options);
}

// Admits the single need and grants 100 tokens more.
TokenReply grant(const TokenRequest &request)
{
    return {request.holder, request.session, 1, request.sequence, TokenRequestStatus::Processed, base::Millis{2'000},
        {{"o", 1, request.entries[0].needs[0] + 100, {{AdmissionDecision::Admitted, {}}}, false}}};
}

AdmissionDecision admitAt(Holder &holder, std::int64_t now)
{
    return holder.admit({now}, "o", 1).decision;
}
} // namespace

BOOST_AUTO_TEST_CASE(grants_expire_relative_to_the_first_transmission)
{
    Holder holder = makeHolder();
    BOOST_TEST((admitAt(holder, 0) == AdmissionDecision::Waiting));
    const TokenRequest request = holder.takeRequest({0}).value();
    BOOST_TEST(holder.takeRequest({1'000}).value().sequence == request.sequence);
    BOOST_TEST(holder.onReply({1'500}, grant(request)).size() == 1);
    BOOST_TEST((admitAt(holder, 1'950) == AdmissionDecision::Admitted));
    BOOST_TEST((admitAt(holder, 1'965) == AdmissionDecision::Waiting));
}

BOOST_AUTO_TEST_CASE(a_reply_after_the_lease_grants_nothing)
{
    Holder holder = makeHolder();
    BOOST_TEST((admitAt(holder, 0) == AdmissionDecision::Waiting));
    const TokenRequest request = holder.takeRequest({0}).value();
    BOOST_TEST(holder.onReply({1'965}, grant(request)).empty());
    BOOST_TEST(holder.available("o") == 0);
    BOOST_TEST((holder.takeRequest({1'965}).value().session > request.session));
}

BOOST_AUTO_TEST_CASE(a_wait_that_ends_without_a_decision_says_nothing_about_the_rate)
{
    Holder holder = makeHolder();
    BOOST_TEST((admitAt(holder, 0) == AdmissionDecision::Waiting));
    const TokenRequest request = holder.takeRequest({0}).value();
    // The authority replies, and leaves the need waiting for a ceiling.
    const TokenReply waits{request.holder, request.session, 1, request.sequence, TokenRequestStatus::Processed,
        base::Millis{2'000}, {{"o", 1, 0, {{AdmissionDecision::Waiting, {}}}, false}}};
    BOOST_TEST(holder.onReply({5}, waits).empty());
    const std::vector<Admission> ended = holder.tick(HolderOptions().waitTimeout);
    BOOST_REQUIRE(ended.size() == 1U);
    BOOST_TEST((ended.front().decision == AdmissionDecision::Refused));
    BOOST_TEST(!ended.front().isDecided);
    BOOST_TEST((admitAt(holder, 10'000) == AdmissionDecision::Waiting));
    const TokenRequest next = holder.takeRequest({10'000}).value();
    const TokenReply refuses{next.holder, next.session, 1, next.sequence, TokenRequestStatus::Processed,
        base::Millis{2'000}, {{"o", 1, 0, {{AdmissionDecision::Refused, {50}}}, false}}};
    const std::vector<Admission> refused = holder.onReply({10'005}, refuses);
    BOOST_REQUIRE(refused.size() == 1U);
    BOOST_TEST(refused.front().isDecided);
}

BOOST_AUTO_TEST_CASE(an_authority_grants_only_after_a_recent_ceiling)
{
    Authority authority({}, {0}, {});
    authority.setLimits({0}, {{"o", 1'000, 1'000}});
    std::uint64_t sequence = 0;
    const auto decisionAt = [&](std::int64_t now) {
        const TokenRequest request{"vm0", {1, 1}, 0, ++sequence, {{"o", {}, 0, 0, {}, {10}, 0}}};
        return authority.onRequest({now}, request).entries.at(0).needs.at(0).decision;
    };
    BOOST_TEST((decisionAt(0) == AdmissionDecision::Waiting));
    const Ceiling first = authority.nextCeiling({1}).value();
    BOOST_TEST(first.entries.at(0).exposure >= 10);
    BOOST_TEST((decisionAt(2) == AdmissionDecision::Waiting));
    authority.onCeilingCommitted({3}, first.number);
    BOOST_TEST((decisionAt(3'000) == AdmissionDecision::Admitted));
    BOOST_TEST((decisionAt(3'001) == AdmissionDecision::Waiting));
    authority.onCeilingCommitted({3'003}, authority.nextCeiling({3'002}).value().number);
    BOOST_TEST((decisionAt(3'003) == AdmissionDecision::Admitted));
}

BOOST_AUTO_TEST_CASE(a_reply_of_a_quorum_extends_the_lease_but_not_the_reserve)
{
    Authority authority({}, {0}, {});
    authority.setLimits({0}, {{"o", 1'000, 1'000}});
    std::uint64_t session = 0;
    const auto decisionAt = [&](std::int64_t now, Tokens need) {
        const TokenRequest request{"vm0", {1, ++session}, 0, 1, {{"o", {}, 0, 0, {}, {need}, 0}}};
        return authority.onRequest({now}, request).entries.at(0).needs.at(0).decision;
    };
    authority.onLeadershipConfirmed({0});
    BOOST_TEST((decisionAt(0, 10) == AdmissionDecision::Waiting));
    const Ceiling ceiling = authority.nextCeiling({1}).value();
    authority.onCeilingCommitted({3}, ceiling.number);
    authority.onLeadershipConfirmed({5'000});
    BOOST_TEST((decisionAt(7'998, 10) == AdmissionDecision::Admitted));
    BOOST_TEST((decisionAt(7'999, ceiling.entries.at(0).exposure + 1) == AdmissionDecision::Waiting));
    BOOST_TEST((decisionAt(8'000, 10) == AdmissionDecision::Waiting));
}

BOOST_AUTO_TEST_CASE(grants_go_on_while_commits_outlast_the_lease)
{
    constexpr test::Micros SECOND = 1'000'000;
    constexpr test::Micros WARM_UP = 10 * SECOND;
    constexpr test::Micros END = 40 * SECOND;
    constexpr test::Micros INTERVAL = 20'000;
    constexpr Tokens RATE = 10'000;
    // Two fifths of the rate.
    constexpr Tokens NEED = RATE / 50 * 2 / 5;
    test::Faults faults;
    faults.maxCommit = 4 * SECOND;
    test::Fleet fleet(1, 2, faults, {"o", RATE, 2 * RATE}, 10);
    for (int n = 0; fleet.now() < END; ++n) {
        fleet.request(n % 2, NEED, NEED, 0);
        fleet.run(fleet.now() + INTERVAL);
    }
    Tokens used = 0;
    for (const test::Use &it : fleet.uses) {
        used += it.at >= WARM_UP ? it.tokens : 0;
    }
    const Tokens wanted = NEED * ((END - WARM_UP) / INTERVAL);
    BOOST_TEST(used >= wanted * 9 / 10);
}

BOOST_AUTO_TEST_CASE(idle_tokens_are_recalled_for_another_holder)
{
    test::Faults faults;
    faults.idleTimeout = {60'000};
    test::Fleet fleet(1, 2, faults, {"o", 1, 1'000}, 10);
    fleet.run(50'000);
    for (int n = 0; n < 20; ++n) {
        fleet.request(0, 10, 10, 0);
        fleet.run(fleet.now() + 10'000);
    }
    fleet.run(fleet.now() + 300'000);
    fleet.request(1, 790, 790, 0);
    fleet.run(fleet.now() + 900'000);
    BOOST_TEST(fleet.refused == 0);
    BOOST_TEST(fleet.uses.size() == 21);
}
