/**
 * Tests of the answers to daemons that spread upstreams.
 */
#include "bamboomoor/entry/upstreamsync.hpp"

#include "bamboomoor/control/loopback.hpp"
#include "bamboomoor/membership/codec.hpp"
#include "narrowlink.hpp"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <array>
#include <atomic>
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

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

namespace
{

/** @brief A voter with a list of its own, which may say that it is cut off from the others. */
class ListingVoter final : public control_test::EmptyHandler
{
public:
    explicit ListingVoter(membership::RegistryOptions options = {})
        : book(options)
    {
    }

    void syncUpstreams(const peer::wire::UpstreamSync &request, peer::Answer<peer::wire::UpstreamSync> answer) override
    {
        auto reply = entry::answerSync(request, book, clock.now(), false);
        reply.set_cut_off(isCutOff);
        answer(std::move(reply));
    }

    base::SteadyClock clock;
    entry::UpstreamBook book;
    std::atomic<bool> isCutOff{false};
};

} // namespace

// An entry that pulled from a voter cut off from the others, but not from it, did not learn who leaves.
BOOST_AUTO_TEST_CASE(an_entry_leaves_a_voter_that_is_cut_off_from_the_others)
{
    std::array<ListingVoter, 2> voters;
    std::vector<std::unique_ptr<peer::Server>> servers;
    std::vector<control::VoterAddress> addresses;
    for (std::size_t n = 0; n < voters.size(); ++n) {
        voters.at(n).book.announce(voters.at(n).clock.now(), serviceNamed("only-at-" + std::to_string(n)));
        addresses.push_back({"v" + std::to_string(n), control_test::freeAddress()});
        servers.push_back(std::make_unique<peer::Server>(voters.at(n)));
        BOOST_REQUIRE(servers.back()->start(addresses.back().address));
    }
    control::PeerRegistry peers(addresses);
    const base::SteadyClock clock;
    entry::UpstreamBook heard({});
    entry::UpstreamBook book({});
    entry::UpstreamSyncOptions options;
    options.interval = {20};
    entry::UpstreamSync sync(options, heard, book, peers, clock);
    sync.start();
    const auto knows = [&](std::size_t n) {
        return book.lastAddressOf("only-at-" + std::to_string(n)).has_value();
    };
    const auto eventually = [](const auto &condition) {
        for (int n = 0; n < 500 && !condition(); ++n) {
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
        return condition();
    };
    BOOST_TEST(eventually([&] {
        return knows(0) || knows(1);
    }));
    const std::size_t source = knows(0) ? 0 : 1;
    BOOST_TEST(!knows(1 - source));
    voters.at(source).isCutOff = true;
    BOOST_TEST(eventually([&] {
        return knows(1 - source);
    }));
    sync.stop();
    peers.stop();
}

// Guards against entries that never know the upstreams as their list takes longer than a pull may.
BOOST_AUTO_TEST_CASE(a_list_of_many_upstreams_is_pulled_over_a_narrow_link)
{
    constexpr std::size_t NARROW_LINK = 937'500;
    constexpr int UPSTREAMS = 600;
    membership::RegistryOptions longLease;
    longLease.lease = {600'000};
    ListingVoter voter(longLease);
    for (int n = 0; n < UPSTREAMS; ++n) {
        membership::Announcement announcement = serviceNamed("i-" + std::to_string(n));
        for (int copy = 0; copy < 60; ++copy) {
            announcement.localCopies.push_back("a-model-with-a-name-" + std::to_string(copy));
        }
        voter.book.announce(voter.clock.now(), std::move(announcement));
    }
    peer::Server server(voter);
    const std::string address = control_test::freeAddress();
    BOOST_REQUIRE(server.start(address));
    entry_test::NarrowLink link(address, NARROW_LINK);
    control::PeerRegistry peers({{"v0", link.address()}});
    const base::SteadyClock clock;
    entry::UpstreamBook heard({});
    entry::UpstreamBook book(longLease);
    entry::UpstreamSync sync({}, heard, book, peers, clock);
    sync.start();
    for (int n = 0; n < 250 && !sync.synced(); ++n) {
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    BOOST_TEST(sync.synced());
    BOOST_TEST(book.lastAddressOf("i-0").has_value());
    BOOST_TEST(book.lastAddressOf("i-" + std::to_string(UPSTREAMS - 1)).has_value());
    sync.stop();
    peers.stop();
}
