/**
 * Tests that consensus and budget messages survive the conversion to protobuf and back unchanged.
 */
#include "bamboomoor/control/budgetwire.hpp"
#include "bamboomoor/control/consensuswire.hpp"
#include "bamboomoor/control/quarantinewire.hpp"
#include "bamboomoor/control/roomwire.hpp"

#include <boost/test/unit_test.hpp>

using namespace bamboomoor;

namespace
{

peer::wire::Envelope pass(const consensus::MessageBody &body)
{
    peer::wire::Envelope received;
    received.ParseFromString(control::toWire({"a", "b", 9, body}).SerializeAsString());
    return received;
}

template<class Body>
Body passed(const Body &body)
{
    const auto message = control::fromWire(pass(body));
    BOOST_REQUIRE(message.has_value());
    BOOST_TEST(message->from == "a");
    BOOST_TEST(message->to == "b");
    BOOST_TEST(message->term == 9U);
    return std::get<Body>(message->body);
}

} // namespace

BOOST_AUTO_TEST_CASE(consensus_messages_survive_a_round_trip)
{
    const auto append =
        passed(consensus::Append{1, 2, {{3, 4, consensus::EntryKind::Voters, std::string("\0x", 2)}}, 5, 6, true});
    BOOST_TEST(
        (append.entries == std::vector<consensus::Entry>{{3, 4, consensus::EntryKind::Voters, std::string("\0x", 2)}}));
    BOOST_TEST(append.prevIndex + append.prevTerm * 10 + append.commitIndex * 100 + append.round * 1'000 == 6'521U);
    BOOST_TEST(append.toLearner);
    const auto reply = passed(consensus::AppendReply{true, 1, 2, 3, 4, 5, 6});
    BOOST_TEST(reply.success);
    BOOST_TEST(reply.matchIndex + reply.receivedIndex * 10 + reply.conflictTerm * 100 == 432U);
    BOOST_TEST(reply.conflictIndex + reply.round * 10 == 65U);
    const auto install = passed(consensus::InstallSnapshot{1, 2, {"a"}, {"b"}, 3, "data", true, 4, true});
    BOOST_TEST(install.voters.front() + install.learners.front() + install.data == "abdata");
    BOOST_TEST(install.offset == 3U);
    BOOST_TEST(passed(consensus::VoteRequest{true, false, 7, 8}).lastTerm == 8U);
    BOOST_TEST(!passed(consensus::VoteReply{true, false}).granted);
}

BOOST_AUTO_TEST_CASE(an_unknown_entry_kind_is_rejected)
{
    auto envelope = pass(consensus::Append{1, 2, {{3, 4, consensus::EntryKind::Noop, ""}}, 5, 6, false});
    envelope.mutable_append()->mutable_entries(0)->set_kind(99);
    BOOST_TEST(!control::fromWire(envelope).has_value());
    BOOST_TEST(!control::fromWire(peer::wire::Envelope()).has_value());
}

BOOST_AUTO_TEST_CASE(budget_messages_survive_a_round_trip)
{
    budget::TokenRequest ask{"vm1", {2, 3}, 4, 5, {}};
    ask.entries.push_back({"acme", {{6, {7}}}, 8, 9, {{10, 11}}, {12, 13}, 14});
    const budget::TokenRequest back = control::fromWire(control::toWire(ask));
    BOOST_TEST(back.holder == "vm1");
    BOOST_TEST((back.session == ask.session));
    BOOST_TEST(back.entries.at(0).spends.at(0).age.count == 7);
    BOOST_TEST(back.entries.at(0).returned * 10 + back.entries.at(0).debt == 89);
    BOOST_TEST(back.entries.at(0).refunds.at(0).tokens == 11);
    BOOST_TEST(back.entries.at(0).needs.at(1) == 13);
    budget::TokenReply reply{"vm1", {2, 3}, 4, 5, budget::TokenRequestStatus::Outdated, {6}, {}};
    reply.entries.push_back({"acme", 7, 8, {{budget::AdmissionDecision::Refused, {9}}}, true});
    const budget::TokenReply answered = control::fromWire(control::toWire(reply));
    BOOST_TEST((answered.status == budget::TokenRequestStatus::Outdated));
    BOOST_TEST(answered.entries.at(0).needs.at(0).retryAfter.count == 9);
    BOOST_TEST(answered.entries.at(0).recall);
}

BOOST_AUTO_TEST_CASE(reports_on_prompt_parts_survive_a_round_trip_and_are_bounded)
{
    const base::Millis sent{5'000};
    // The leader's clock shows another time.
    const base::Millis received{900'000};
    quarantine::Report report;
    report.sequence = 7;
    report.lostAttempts.push_back({{"w1", 3}, sent - base::Millis{40}, "own", {"a", "", "b"}, "request:r"});
    report.lostAttempts.push_back({{"w1", 3}, sent, std::string(65, 'x'), {"a"}});
    report.lostAttempts.push_back({{"w2", 3}, sent, "own", {}, "request:r", sent - base::Millis{30}});
    report.survivals.push_back({"a", sent - base::Millis{10}});
    report.quarantines.push_back({"b", sent + base::Millis{500}});
    peer::wire::DemandReport message;
    control::toWire(sent, report, message);
    peer::wire::DemandReport parsed;
    BOOST_REQUIRE(parsed.ParseFromString(message.SerializeAsString()));
    const quarantine::Report read = control::quarantineReport(received, parsed);
    BOOST_TEST(read.sequence == 7U);
    BOOST_REQUIRE(read.lostAttempts.size() == 2U);
    // An earlier version does not tell when it was sent.
    BOOST_TEST(!read.lostAttempts[0].sentAt.has_value());
    BOOST_TEST((read.lostAttempts[1].sentAt == received - base::Millis{30}));
    const quarantine::LostAttempt expected{{"w1", 3}, received - base::Millis{40}, "own", {"a", "", "b"}, "request:r"};
    BOOST_TEST((read.lostAttempts[0] == expected));
    BOOST_TEST((read.survivals.at(0).at == received - base::Millis{10}));
    BOOST_TEST((read.quarantines.at(0).until == received + base::Millis{500}));

    peer::wire::DemandReply reply;
    control::toWire(sent, quarantine::LeaderReply{0, 7, {"a", ""}, {{"b", sent + base::Millis{500}}}}, reply);
    reply.set_term(4);
    const quarantine::LeaderReply told = control::quarantineReply(received, reply);
    BOOST_TEST(told.term == 4U);
    BOOST_TEST(told.acknowledged == 7U);
    BOOST_TEST(told.suspects == std::vector<std::string>{"a"});
    BOOST_TEST((told.quarantines.at(0).until == received + base::Millis{500}));

    // Ages and lengths that no entry sends.
    peer::wire::DemandReport odd;
    auto *lost = odd.add_lost_attempts();
    lost->set_request("own");
    lost->set_age_ms(INT64_MIN);
    lost->set_ran_ms(INT64_MIN);
    for (int n = 0; n < 100; ++n) {
        lost->add_parts("p" + std::to_string(n));
    }
    odd.add_quarantines()->set_part("y");
    odd.mutable_quarantines(0)->set_left_ms(INT64_MAX);
    const quarantine::Report bounded = control::quarantineReport(received, odd);
    BOOST_TEST((bounded.lostAttempts.at(0).at == received));
    BOOST_TEST((bounded.lostAttempts.at(0).sentAt == received));
    BOOST_TEST(bounded.lostAttempts.at(0).parts.size() == 16U);
    BOOST_TEST((bounded.quarantines.at(0).until <= received + base::Millis{3'600'000}));
}

BOOST_AUTO_TEST_CASE(the_room_of_an_upstream_travels_between_clocks_and_is_bounded)
{
    const base::Millis sent{50'000};
    const base::Millis received{900'000};
    const standing::RoomReport report{5, sent - base::Millis{300}, 32, 7, 9, 8, 1ULL << 33U, 4};
    standing::RoomReport read = control::roomReport(received, control::toWire(sent, report));
    BOOST_TEST((read.receivedAt == received - base::Millis{300}));
    read.receivedAt = report.receivedAt;
    BOOST_TEST((read == report));
    const standing::RoomGrant grant{std::nullopt, sent, 3, 12, 36, 9};
    standing::RoomGrant told = control::roomGrant(received, control::toWire(sent, grant));
    BOOST_TEST((told.receivedAt == received));
    told.receivedAt = grant.receivedAt;
    BOOST_TEST((told == grant));
    peer::wire::UpstreamRoom broken;
    broken.set_brittle(true);
    broken.set_refusals(-1);
    broken.set_share(INT64_MAX);
    broken.set_running(INT64_MIN);
    broken.set_age_ms(INT64_MIN);
    const standing::RoomReport bounded = control::roomReport(received, broken);
    BOOST_TEST((bounded.brittle == 0));
    BOOST_TEST(bounded.share == 1'000'000);
    BOOST_TEST(bounded.running == 0);
    BOOST_TEST((bounded.receivedAt == received));
}

BOOST_AUTO_TEST_CASE(bytes_that_are_no_text_in_names_of_callers_do_not_make_a_report_unreadable)
{
    const std::string bytes = "\xff\xfe";
    peer::wire::DemandReport report;
    report.set_vm("a");
    auto *demand = report.add_demands();
    demand->set_model(bytes);
    demand->set_adapter(bytes);
    demand->set_version(bytes);
    auto *lost = report.add_lost_attempts();
    lost->set_request(bytes);
    lost->add_parts(bytes);
    lost->set_identity(bytes);
    report.add_survivals()->set_part(bytes);
    report.add_quarantines()->set_part(bytes);
    peer::wire::DemandReport received;
    BOOST_TEST(received.ParseFromString(report.SerializeAsString()));
    BOOST_TEST(received.demands(0).model() == bytes);
    BOOST_TEST(received.lost_attempts(0).parts(0) == bytes);

    peer::wire::DemandReply reply;
    reply.add_suspect_parts(bytes);
    reply.add_quarantines()->set_part(bytes);
    peer::wire::DemandReply answered;
    BOOST_TEST(answered.ParseFromString(reply.SerializeAsString()));
    BOOST_TEST(answered.suspect_parts(0) == bytes);
}
