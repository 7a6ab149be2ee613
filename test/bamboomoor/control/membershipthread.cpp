/**
 * Tests of the membership thread at a VM that follows no leader itself.
 */
#include "bamboomoor/control/membershipthread.hpp"

#include "loopback.hpp"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <chrono>
#include <functional>
#include <future>
#include <string>
#include <thread>

using namespace bamboomoor;

namespace
{

constexpr std::chrono::seconds LIMIT{10};
constexpr std::chrono::milliseconds PAUSE{10};
constexpr const char *LEADER = "aa@127.0.0.1:1";

/** @brief A member that follows a leader until it loses it. */
class Follower final : public control_test::EmptyHandler
{
public:
    void join(const peer::wire::JoinRequest & /*request*/, peer::Answer<peer::wire::JoinReply> answer) override
    {
        peer::wire::JoinReply reply;
        if (follows) {
            reply.set_leader(LEADER);
        }
        answer(std::move(reply));
    }

    std::atomic<bool> follows{true};
};

struct Vm {
    explicit Vm(const std::string &seed)
        : peers(std::vector<control::VoterAddress>{{seed, control::addressIn(seed)}})
        , voter({}, peers, clock)
        , thread(options(seed), voter, peers, clock)
    {
        thread.start();
    }
    ~Vm()
    {
        thread.stop();
        peers.stop();
    }
    Vm(const Vm &) = delete;
    Vm &operator=(const Vm &) = delete;

    static control::MembershipThreadOptions options(const std::string &seed)
    {
        control::MembershipThreadOptions options;
        options.self = "bb@127.0.0.1:2";
        options.seeds = {seed};
        return options;
    }

    [[nodiscard]] bool eventually(const std::function<bool()> &holds) const
    {
        const auto end = std::chrono::steady_clock::now() + LIMIT;
        while (!holds() && std::chrono::steady_clock::now() < end) {
            std::this_thread::sleep_for(PAUSE);
        }
        return holds();
    }

    base::SteadyClock clock;
    control::PeerRegistry peers;
    control::VoterThread voter;
    control::MembershipThread thread;
};

} // namespace

BOOST_AUTO_TEST_SUITE(membershipthread)

BOOST_AUTO_TEST_CASE(a_leader_that_nobody_follows_any_more_is_not_named)
{
    Follower follower;
    peer::Server server(follower);
    const std::string address = control_test::freeAddress();
    BOOST_REQUIRE(server.start(address).has_value());
    Vm vm("cc@" + address);
    BOOST_REQUIRE(vm.eventually([&vm] {
        return vm.thread.leader() == LEADER;
    }));
    // A member does not repeat what others told it.
    std::promise<std::string> named;
    vm.thread.join({}, [&named](const peer::wire::JoinReply &it) {
        named.set_value(it.leader());
    });
    BOOST_TEST(named.get_future().get().empty());
    follower.follows = false;
    BOOST_TEST(vm.eventually([&vm] {
        return vm.thread.leader().empty();
    }));
}

BOOST_AUTO_TEST_SUITE_END()
