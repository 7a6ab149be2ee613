/**
 * Tests of when a leader records the software versions of upstreams.
 */
#include "bamboomoor/lineage/softwarerecorder.hpp"

#include <boost/test/unit_test.hpp>

using namespace bamboomoor;
using lineage::SoftwareRecorder;
using lineage::SoftwareVersions;

namespace
{

constexpr base::Millis NOW{10'000};
const SoftwareVersions FIRST{{"llm", {"v1"}}};
const SoftwareVersions SECOND{{"llm", {"v2"}}};
const SoftwareVersions BOTH{{"llm", {"v1", "v2"}}};

} // namespace

BOOST_AUTO_TEST_SUITE(softwarerecorder)

BOOST_AUTO_TEST_CASE(a_version_whose_upstreams_have_left_stays_recorded)
{
    SoftwareRecorder recorder;
    const auto first = recorder.next(NOW, FIRST);
    BOOST_REQUIRE(first.has_value());
    BOOST_TEST((first->versions == FIRST));
    recorder.onVerdict(first->number, true);
    BOOST_TEST(!recorder.next(NOW, FIRST).has_value());
    const auto second = recorder.next(NOW + base::Millis{1'000}, SECOND);
    BOOST_REQUIRE(second.has_value());
    BOOST_TEST((second->versions == BOTH));
    recorder.onVerdict(second->number, true);
    BOOST_TEST(!recorder.next(NOW + base::Millis{599'999}, SECOND).has_value());
    const auto third = recorder.next(NOW + base::Millis{600'000}, SECOND);
    BOOST_REQUIRE(third.has_value());
    BOOST_TEST((third->versions == SECOND));
}

BOOST_AUTO_TEST_CASE(a_new_leader_keeps_what_the_last_one_recorded)
{
    SoftwareRecorder recorder;
    recorder.begin(NOW, BOTH);
    BOOST_TEST(!recorder.next(NOW, SECOND).has_value());
    BOOST_TEST(!recorder.next(NOW + base::Millis{599'999}, SECOND).has_value());
    BOOST_TEST(recorder.next(NOW + base::Millis{600'000}, SECOND).has_value());
}

BOOST_AUTO_TEST_CASE(a_proposal_that_may_not_be_committed_is_repeated)
{
    SoftwareRecorder recorder;
    const auto first = recorder.next(NOW, FIRST);
    BOOST_TEST(!recorder.next(NOW + base::Millis{1'999}, FIRST).has_value());
    const auto second = recorder.next(NOW + base::Millis{2'000}, FIRST);
    BOOST_REQUIRE(second.has_value());
    recorder.onVerdict(first->number, true);
    recorder.onVerdict(second->number, false);
    const auto third = recorder.next(NOW + base::Millis{2'001}, FIRST);
    BOOST_REQUIRE(third.has_value());
    recorder.onVerdict(third->number, true);
    BOOST_TEST(!recorder.next(NOW + base::Millis{10'000}, FIRST).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
