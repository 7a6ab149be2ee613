/**
 * Tests of the answers to daemons that spread upstreams.
 */
#include "bamboomoor/entry/upstreamsync.hpp"
#include "bamboomoor/membership/codec.hpp"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <string>

using namespace bamboomoor;

namespace
{

constexpr base::Millis NOW{10'000};

membership::Announcement serviceNamed(const std::string &id)
{
    membership::Announcement announcement;
    announcement.id = id;
    announcement.incarnation = 1;
    announcement.sequence = 1;
    announcement.address = "10.0.0.1:8000";
    announcement.dataCentre = "a";
    announcement.kind = membership::UpstreamKind::Service;
    announcement.service = "s";
    return announcement;
}

peer::wire::UpstreamSync pushOf(const nlohmann::json &odd)
{
    membership::Registry heard;
    heard.announce(NOW, serviceNamed("i-1"));
    heard.announce(NOW, serviceNamed("i-3"));
    auto delta = nlohmann::json::parse(membership::encodeDelta(heard.changesSince(NOW, {})));
    delta["entries"].insert(delta["entries"].begin() + 1, odd);
    peer::wire::UpstreamSync request;
    request.set_vm("vm-1");
    request.set_delta(delta.dump());
    return request;
}

} // namespace

BOOST_AUTO_TEST_CASE(an_odd_entry_neither_hides_the_others_of_its_list_nor_makes_them_come_again)
{
    for (const nlohmann::json &odd : {nlohmann::json(3), nlohmann::json::object(),
             nlohmann::json{
                 {"announcement", {{"id", "i-2"}, {"address", "10.0.0.1:65536"}}}, {"remaining_ms", 1e300}}}) {
        entry::UpstreamBook book({});
        const auto answer = entry::answerSync(pushOf(odd), book, NOW, false);
        BOOST_TEST(!answer.resend());
        BOOST_TEST(book.list(NOW).size() == 2U);
        const auto passedOn = membership::parseDelta(answer.delta());
        BOOST_REQUIRE(passedOn.has_value());
        BOOST_TEST(passedOn.value().entries.size() == 2U);
        BOOST_TEST(passedOn.value().unreadable.empty());
    }
}
