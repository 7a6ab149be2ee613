/**
 * Tests of how an entry asks for the configuration in force while no voter leads.
 */
#include "bamboomoor/entry/freshness.hpp"

#include "bamboomoor/control/loopback.hpp"

#include <boost/test/unit_test.hpp>

#include <array>
#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace bamboomoor;

namespace
{

constexpr std::uint64_t VERSION = 1;
constexpr std::size_t VOTERS = 5;
// How long a leader keeps a question of an entry that knows the version in force.
constexpr base::Millis HOLD{400};
constexpr base::Millis LEASE{2'000};
// How long questions are counted.
constexpr base::Millis SPAN{4'000};

void rest(base::Millis span)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(span.count));
}

/** @brief A voter that confirms the version while it leads, and otherwise names the leader that it was told. */
class Voter final : public control_test::EmptyHandler
{
public:
    void freshen(const peer::wire::FreshenRequest & /*request*/, peer::Answer<peer::wire::FreshenReply> answer) override
    {
        ++questions;
        if (silent) {
            m_unanswered.emplace_back([answer = std::move(answer)] {
                answer({});
            });
            return;
        }
        rest(delay);
        peer::wire::FreshenReply reply;
        reply.set_confirmed(leads);
        reply.set_version(VERSION);
        reply.set_leader(leads ? name : named.load() != nullptr ? named.load()->name : std::string());
        reply.set_evacuations(evacuations);
        if (evacuations % 2 == 1) {
            reply.add_evacuated("dc1");
        }
        answer(std::move(reply));
    }

    void witness(const peer::wire::WitnessRequest & /*request*/, peer::Answer<peer::wire::WitnessReply> answer) override
    {
        ++questions;
        if (silent) {
            m_unanswered.emplace_back([answer = std::move(answer)] {
                answer({});
            });
            return;
        }
        rest(delay);
        peer::wire::WitnessReply reply;
        reply.set_usable(usable);
        reply.set_version(VERSION);
        reply.mutable_voters()->Add(voters.begin(), voters.end());
        answer(std::move(reply));
    }

    std::string name;
    std::vector<std::string> voters;
    std::atomic<int> questions{0};
    std::atomic<bool> leads{false};
    // The revision of the evacuations; with each odd one "dc1" is evacuated.
    std::atomic<std::uint64_t> evacuations{0};
    std::atomic<bool> usable{true};
    // The leader that this voter follows.
    std::atomic<const Voter *> named{nullptr};
    // Before the first question only.
    bool silent = false;
    base::Millis delay;

    /** @brief Ends the calls that got no answer, so that the server can stop. */
    void endUnanswered()
    {
        for (const auto &it : m_unanswered) {
            it();
        }
        m_unanswered.clear();
    }

private:
    // Filled by one thread at a time, as the entry asks again only after a timeout.
    std::vector<std::function<void()>> m_unanswered;
};

struct Fixture {
    std::array<Voter, VOTERS> voters;
    std::vector<std::unique_ptr<peer::Server>> servers;
    std::vector<control::VoterAddress> addresses;
    base::SteadyClock clock;
    entry::InForce inForce;
    std::atomic<int> changes{0};
    std::unique_ptr<control::PeerRegistry> peers;
    std::unique_ptr<entry::LeaderHint> leader;
    std::unique_ptr<entry::Freshness> freshness;

    Fixture()
    {
        std::vector<std::string> names;
        for (Voter &it : voters) {
            it.name = "voter" + std::to_string(names.size());
            names.push_back(it.name);
            addresses.push_back({it.name, control_test::freeAddress()});
            servers.push_back(std::make_unique<peer::Server>(it));
            BOOST_REQUIRE(servers.back()->start(addresses.back().address).has_value());
        }
        for (Voter &it : voters) {
            it.voters = names;
        }
        inForce.install(entry::makeConfiguration(VERSION, "digest", {}));
        peers = std::make_unique<control::PeerRegistry>(addresses);
        leader = std::make_unique<entry::LeaderHint>(names);
        entry::FreshnessOptions options;
        options.vm = "entry1";
        options.lease = LEASE;
        freshness = std::make_unique<entry::Freshness>(options, inForce, *peers, *leader, clock, [this] {
            ++changes;
        });
    }

    ~Fixture()
    {
        freshness->stop();
        peers->stop();
        for (Voter &it : voters) {
            it.endUnanswered();
        }
        for (const auto &it : servers) {
            it->stop();
        }
    }

    [[nodiscard]] int asked() const
    {
        int sum = 0;
        for (const Voter &it : voters) {
            sum += it.questions;
        }
        return sum;
    }

    [[nodiscard]] bool isFresh() const
    {
        return clock.now() < inForce.freshUntil();
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(freshness, Fixture)

BOOST_AUTO_TEST_CASE(an_entry_without_a_leader_asks_each_voter_no_more_often_than_a_leader)
{
    freshness->start();
    rest(LEASE);
    const int before = asked();
    const base::Millis end = clock.now() + SPAN;
    while (clock.now() < end) {
        BOOST_TEST(isFresh());
        rest({50});
    }
    const auto most = static_cast<int>(VOTERS) * static_cast<int>(SPAN.count / HOLD.count);
    BOOST_TEST(asked() - before <= most);
}

BOOST_AUTO_TEST_CASE(an_entry_that_no_majority_confirms_asks_each_voter_hardly_more_often_than_a_leader)
{
    for (Voter &it : voters) {
        it.usable = false;
    }
    freshness->start();
    rest(LEASE);
    const int before = asked();
    rest(SPAN);
    BOOST_TEST(!isFresh());
    // The voters, and one of them as the supposed leader.
    const auto most = static_cast<int>(VOTERS + 1) * static_cast<int>(SPAN.count / HOLD.count);
    BOOST_TEST(asked() - before <= most);
}

BOOST_AUTO_TEST_CASE(an_entry_hears_of_a_new_leader_well_before_a_change_has_to_be_in_force)
{
    for (Voter &it : voters) {
        it.usable = false;
    }
    freshness->start();
    rest(LEASE);
    voters.back().leads = true;
    for (Voter &it : voters) {
        it.named = &voters.back();
    }
    const base::Millis end = clock.now() + LEASE / 2;
    while (!isFresh() && clock.now() < end) {
        rest({10});
    }
    BOOST_TEST(isFresh());
}

BOOST_AUTO_TEST_CASE(voters_that_name_each_other_as_the_leader_are_not_asked_in_a_loop)
{
    for (Voter &it : voters) {
        it.usable = false;
        it.named = &voters.front();
    }
    voters.front().named = &voters.back();
    freshness->start();
    rest(LEASE);
    const int before = asked();
    rest(SPAN);
    // The voters, and the two that name each other.
    const auto most = static_cast<int>(VOTERS + 2) * static_cast<int>(SPAN.count / HOLD.count);
    BOOST_TEST(asked() - before <= most);
}

// Guards against entries that send to a data centre whose evacuation was acknowledged.
BOOST_AUTO_TEST_CASE(an_entry_takes_the_evacuations_that_the_leader_confirms_and_never_goes_back)
{
    const auto isEvacuated = [this] {
        return inForce.evacuations()->dataCentres.contains("dc1");
    };
    voters.front().leads = true;
    freshness->start();
    voters.front().evacuations = 3;
    for (int n = 0; n < 200 && !isEvacuated(); ++n) {
        rest({10});
    }
    BOOST_TEST(isEvacuated());
    BOOST_TEST(changes == 1);
    voters.front().evacuations = 2;
    rest(HOLD);
    BOOST_TEST(isEvacuated());
    voters.front().evacuations = 4;
    for (int n = 0; n < 200 && isEvacuated(); ++n) {
        rest({10});
    }
    BOOST_TEST(!isEvacuated());
    BOOST_TEST(changes == 2);
}

BOOST_AUTO_TEST_CASE(a_silent_voter_does_not_let_the_lease_of_an_entry_without_a_leader_run_out)
{
    voters.front().silent = true;
    for (Voter &it : voters) {
        it.delay = {300};
    }
    freshness->start();
    rest(LEASE);
    const base::Millis end = clock.now() + LEASE * 4;
    int lapses = 0;
    while (clock.now() < end) {
        lapses += isFresh() ? 0 : 1;
        rest({5});
    }
    BOOST_TEST(lapses == 0);
}

BOOST_AUTO_TEST_SUITE_END()
