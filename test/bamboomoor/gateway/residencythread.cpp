/**
 * Tests of the leader's thread together with its voter, over restarts of both.
 */
#include "bamboomoor/gateway/residencythread.hpp"

#include "bamboomoor/gateway/controlmetrics.hpp"
#include "bamboomoor/gateway/noorders.hpp"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <future>
#include <string>
#include <thread>
#include <vector>

using namespace bamboomoor;

namespace
{

constexpr std::chrono::seconds LIMIT{20};
constexpr std::chrono::milliseconds PAUSE{20};

struct Folder {
    Folder()
    {
        std::string name = (std::filesystem::temp_directory_path() / "bamboomoor-residency-XXXXXX").string();
        BOOST_REQUIRE(mkdtemp(name.data()) != nullptr);
        path = name;
    }
    ~Folder()
    {
        std::filesystem::remove_all(path);
    }
    Folder(const Folder &) = delete;
    Folder &operator=(const Folder &) = delete;

    std::filesystem::path path;
};

control::VoterOptions onlyVoter(const Folder &folder)
{
    control::VoterOptions options;
    options.folder = folder.path.string();
    options.node.self = "v1";
    options.node.initialVoters = {"v1"};
    options.node.bootstrap = true;
    return options;
}

/** @brief The only control VM of a group. */
struct ControlVm {
    explicit ControlVm(const Folder &folder)
        : voter(onlyVoter(folder), peers, clock)
        , residency({}, {clock, voter, upstreams, client, dialect, metrics, log})
    {
        voter.addObserver(residency);
        residency.start();
        BOOST_REQUIRE(voter.start().has_value());
    }
    ~ControlVm()
    {
        client.stop();
        voter.stop();
        residency.stop();
    }
    ControlVm(const ControlVm &) = delete;
    ControlVm &operator=(const ControlVm &) = delete;

    peer::wire::DemandReply report(const peer::wire::DemandReport &request)
    {
        std::promise<peer::wire::DemandReply> reply;
        residency.report(request, [&reply](peer::wire::DemandReply it) {
            reply.set_value(std::move(it));
        });
        return reply.get_future().get();
    }

    // The first reply of the leader.
    peer::wire::DemandReply reportToLeader(const peer::wire::DemandReport &request)
    {
        const auto end = std::chrono::steady_clock::now() + LIMIT;
        peer::wire::DemandReply reply = report(request);
        while (!reply.served() && std::chrono::steady_clock::now() < end) {
            std::this_thread::sleep_for(PAUSE);
            reply = report(request);
        }
        BOOST_REQUIRE(reply.served());
        return reply;
    }

    std::size_t recorded()
    {
        std::promise<std::size_t> count;
        voter.read([&count](const control::ReadOutcome &it) {
            count.set_value(it.confirmed ? it.machine->quarantines().ends().size() : 0);
        });
        return count.get_future().get();
    }

    base::SteadyClock clock;
    control::PeerRegistry peers{{}};
    entry::UpstreamBook upstreams{membership::RegistryOptions{}};
    http::Client client;
    gateway_test::NoOrders dialect;
    gateway::ControlMetrics metrics;
    base::EventLog log;
    control::VoterThread voter;
    gateway::ResidencyThread residency;
};

} // namespace

BOOST_AUTO_TEST_SUITE(residencythread)

BOOST_AUTO_TEST_CASE(an_entry_learns_the_quarantines_with_its_first_report_after_a_restart_of_all_voters)
{
    const Folder folder;
    {
        ControlVm vm(folder);
        peer::wire::DemandReport request;
        request.set_vm("a");
        auto *quarantine = request.add_quarantines();
        quarantine->set_part("request:f1");
        quarantine->set_left_ms(600'000);
        BOOST_TEST(vm.reportToLeader(request).quarantines_size() == 1);
        const auto end = std::chrono::steady_clock::now() + LIMIT;
        while (vm.recorded() == 0 && std::chrono::steady_clock::now() < end) {
            std::this_thread::sleep_for(PAUSE);
        }
        BOOST_TEST(vm.recorded() == 1U);
    }
    ControlVm vm(folder);
    peer::wire::DemandReport request;
    request.set_vm("b");
    const peer::wire::DemandReply reply = vm.reportToLeader(request);
    BOOST_REQUIRE(reply.quarantines_size() == 1);
    BOOST_TEST(reply.quarantines(0).part() == "request:f1");
    BOOST_TEST(reply.quarantines(0).left_ms() > 500'000);
    BOOST_TEST(reply.quarantines(0).left_ms() <= 600'000);
}

BOOST_AUTO_TEST_SUITE_END()
