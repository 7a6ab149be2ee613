/**
 * Tests of an entry's record of its streams.
 */
#include "bamboomoor/lineage/streamjournal.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <string>
#include <vector>

using namespace bamboomoor;
using lineage::Origin;
using lineage::StreamJournal;
using lineage::StreamRecord;

namespace
{

constexpr base::Millis NOW{10'000};
constexpr base::Millis END{20'000};
// Old enough to be reported.
constexpr base::Millis LATER = NOW + base::Millis{80};
const lineage::SoftwareVersions ONE{{"llm", {"v1"}}};
const lineage::SoftwareVersions TWO{{"llm", {"v1", "v2"}}};

StreamRecord recordOf(const std::string &stream, const std::string &software)
{
    return {stream, {"llm", software}, END};
}

std::vector<std::string> reportedIn(const lineage::Report &report)
{
    std::vector<std::string> streams;
    for (const StreamRecord &it : report.streams) {
        streams.push_back(it.stream);
    }
    std::sort(streams.begin(), streams.end());
    return streams;
}

using Streams = std::vector<std::string>;

} // namespace

BOOST_AUTO_TEST_SUITE(streamjournal)

BOOST_AUTO_TEST_CASE(streams_are_reported_once_a_second_version_is_in_service)
{
    StreamJournal journal;
    journal.setVersions(NOW, ONE);
    BOOST_TEST(journal.makeReport(LATER).streams.empty());
    BOOST_TEST(journal.record(NOW, recordOf("a", "v1")));
    BOOST_TEST(!journal.isDue(NOW + base::Millis{1'000}));
    BOOST_TEST(journal.makeReport(LATER).streams.empty());
    journal.setVersions(NOW, TWO);
    BOOST_TEST(journal.isDue(NOW));
    BOOST_TEST(reportedIn(journal.makeReport(LATER)) == Streams{"a"});
    BOOST_TEST(!journal.isDue(LATER));
    BOOST_TEST(journal.record(NOW, recordOf("b", "v2")));
    BOOST_TEST(!journal.isDue(NOW + base::Millis{119}));
    BOOST_TEST(journal.isDue(NOW + base::Millis{120}));
}

BOOST_AUTO_TEST_CASE(a_stream_that_was_just_sent_is_not_reported_yet)
{
    StreamJournal journal;
    journal.setVersions(NOW, TWO);
    static_cast<void>(journal.makeReport(NOW));
    journal.record(NOW, recordOf("a", "v1"));
    BOOST_TEST(journal.makeReport(NOW + base::Millis{79}).streams.empty());
    BOOST_TEST(!journal.reported("a").has_value());
    BOOST_TEST(journal.isDue(NOW + base::Millis{120}));
    journal.record(NOW + base::Millis{79}, recordOf("a", "v2"));
    BOOST_TEST(journal.makeReport(NOW + base::Millis{120}).streams.empty());
    BOOST_TEST(reportedIn(journal.makeReport(NOW + base::Millis{159})) == Streams{"a"});
}

BOOST_AUTO_TEST_CASE(a_stream_is_reported_until_the_leader_has_acknowledged_it)
{
    StreamJournal journal;
    journal.setVersions(NOW, TWO);
    journal.record(NOW, recordOf("a", "v1"));
    static_cast<void>(journal.makeReport(LATER));
    const auto second = journal.makeReport(LATER);
    BOOST_TEST(reportedIn(second) == Streams{"a"});
    journal.record(NOW, recordOf("b", "v1"));
    journal.onReply(3, second.sequence);
    const auto third = journal.makeReport(LATER);
    BOOST_TEST(reportedIn(third) == Streams{"b"});
    journal.onReply(3, second.sequence);
    BOOST_TEST(reportedIn(journal.makeReport(LATER)) == Streams{"b"});
    journal.onReply(3, third.sequence);
    BOOST_TEST(journal.makeReport(LATER).streams.empty());
}

BOOST_AUTO_TEST_CASE(a_new_leader_is_told_all_streams_again)
{
    StreamJournal journal;
    journal.setVersions(NOW, TWO);
    journal.record(NOW, recordOf("a", "v1"));
    journal.onReply(3, journal.makeReport(LATER).sequence);
    journal.record(NOW, recordOf("b", "v1"));
    const auto toNew = journal.makeReport(LATER);
    BOOST_TEST(reportedIn(toNew) == Streams{"b"});
    journal.onReply(4, toNew.sequence);
    BOOST_TEST(journal.isDue(LATER));
    const auto again = journal.makeReport(LATER);
    BOOST_TEST(reportedIn(again) == Streams{"a"});
    journal.onReply(4, toNew.sequence);
    BOOST_TEST(reportedIn(journal.makeReport(LATER)) == Streams{"a"});
    const auto last = journal.makeReport(LATER);
    journal.onReply(4, last.sequence);
    BOOST_TEST(journal.makeReport(LATER).streams.empty());
}

BOOST_AUTO_TEST_CASE(a_stream_that_was_left_out_of_a_report_is_not_acknowledged_by_it)
{
    StreamJournal journal;
    journal.setVersions(NOW, TWO);
    journal.record(NOW, recordOf("a", "v1"));
    static_cast<void>(journal.makeReport(LATER));
    // An older list of versions, from a voter that lags.
    journal.setVersions(LATER, ONE);
    const auto without = journal.makeReport(LATER);
    BOOST_TEST(without.streams.empty());
    journal.onReply(3, without.sequence);
    BOOST_TEST(journal.reported("a").has_value());
    journal.setVersions(LATER, TWO);
    BOOST_TEST(reportedIn(journal.makeReport(LATER)) == Streams{"a"});
}

BOOST_AUTO_TEST_CASE(an_origin_that_the_leader_may_know_does_not_change)
{
    StreamJournal journal;
    journal.setVersions(NOW, TWO);
    journal.record(NOW, recordOf("a", "v1"));
    BOOST_TEST(journal.record(NOW, recordOf("a", "v2")));
    BOOST_TEST(!journal.reported("a").has_value());
    static_cast<void>(journal.makeReport(LATER));
    BOOST_TEST(!journal.record(NOW, recordOf("a", "v1")));
    BOOST_TEST((journal.reported("a") == Origin{"llm", "v2"}));
    BOOST_TEST((journal.find(NOW, "a") == Origin{"llm", "v2"}));
}

BOOST_AUTO_TEST_CASE(a_stream_that_nobody_resumes_any_more_is_forgotten)
{
    StreamJournal journal(lineage::StreamJournalOptions{.maxStreams = 1});
    journal.setVersions(NOW, TWO);
    BOOST_TEST(journal.record(NOW, recordOf("a", "v1")));
    BOOST_TEST(!journal.record(NOW, recordOf("b", "v1")));
    BOOST_TEST(!journal.find(END, "a").has_value());
    BOOST_TEST(journal.record(END, {"b", {"llm", "v1"}, END + base::Millis{1'000}}));
    BOOST_TEST(journal.size() == 1U);
    BOOST_TEST(reportedIn(journal.makeReport(END + base::Millis{80})) == Streams{"b"});
}

BOOST_AUTO_TEST_SUITE_END()
