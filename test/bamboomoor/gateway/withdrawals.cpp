/**
 * Tests of the confirmation that an upstream gets when it withdraws itself from a control VM, with daemons of a control
 * group in this process. What is confirmed must be known to the voters, from which entries pull their lists.
 */
#include "bamboomoor/gateway/controldaemon.hpp"

#include "bamboomoor/control/loopback.hpp"
#include "bamboomoor/gateway/identity.hpp"
#include "bamboomoor/gateway/noorders.hpp"
#include "bamboomoor/http/fetch.hpp"
#include "bamboomoor/membership/codec.hpp"
#include "bamboomoor/peer/client.hpp"

#include <absl/strings/str_split.h>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <future>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

using namespace bamboomoor;

namespace
{

constexpr int OK = 200;
constexpr int UNAVAILABLE = 503;
constexpr const char *UPSTREAM = "w-1";
constexpr std::chrono::seconds PATIENCE{20};
constexpr std::chrono::milliseconds POLL{50};

/** @brief Reads calls from the path: /announce/ID/INCARNATION/SEQUENCE/STATE, /withdraw/ID and
 * /withdraw/ID/INCARNATION. */
class Calls final : public gateway::ControlDialect
{
public:
    [[nodiscard]] gateway::ControlCall read(const http::Request &request) const override
    {
        const std::vector<std::string> parts = absl::StrSplit(request.path.substr(1), '/');
        if (parts[0] == "announce") {
            membership::Announcement announcement;
            announcement.id = parts.at(1);
            announcement.incarnation = std::stoull(parts.at(2));
            announcement.sequence = std::stoull(parts.at(3));
            announcement.leaving = parts.at(4) == "leaving";
            announcement.address = "10.0.0.1:80";
            announcement.dataCentre = "a";
            announcement.kind = membership::UpstreamKind::Service;
            announcement.service = "s";
            return gateway::AnnounceCall{std::move(announcement)};
        }
        const bool isStated = parts.size() > 2;
        return gateway::WithdrawCall{
            parts.at(1), isStated ? std::optional<std::uint64_t>(std::stoull(parts[2])) : std::nullopt};
    }

    [[nodiscard]] http::Response done() const override
    {
        return {OK, {}, {}};
    }

    [[nodiscard]] http::Response document(const std::string &source) const override
    {
        return {OK, {}, source};
    }

    [[nodiscard]] http::Response invalid(const std::string &reason) const override
    {
        return {400, {}, reason};
    }

    [[nodiscard]] http::Response unavailable(const std::string &reason) const override
    {
        return {UNAVAILABLE, {}, reason};
    }
};

/** @brief Finds a port that is free now. */
int freePort()
{
    const std::string address = control_test::freeAddress();
    return std::stoi(address.substr(address.rfind(':') + 1));
}

template<class Condition>
bool eventually(Condition condition)
{
    const auto until = std::chrono::steady_clock::now() + PATIENCE;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > until) {
            return false;
        }
        std::this_thread::sleep_for(POLL);
    }
    return true;
}

/** @brief Control daemons, each with a loopback address and a disk of its own. The first `voters` found the group. */
class Group
{
public:
    explicit Group(int voters)
        : m_voters(voters)
        , m_port(freePort())
    {
        std::string name = (std::filesystem::temp_directory_path() / "bamboomoor-withdrawals-XXXXXX").string();
        BOOST_REQUIRE(mkdtemp(name.data()) != nullptr);
        m_folder = name;
        m_dialects.control = std::make_unique<Calls>();
        m_dialects.orders = std::make_unique<gateway_test::NoOrders>();
        for (int n = 1; n <= voters; ++n) {
            start(n);
        }
        // A withdrawal needs a leader.
        BOOST_REQUIRE(eventually([this] {
            return announce(1, "other", 1, 1) == OK && withdraw(1, "other") == OK;
        }));
    }

    ~Group()
    {
        m_client.stop();
        m_peers.clear();
        m_daemons.clear();
        std::filesystem::remove_all(m_folder);
    }

    Group(const Group &) = delete;
    Group &operator=(const Group &) = delete;

    void start(int n)
    {
        const bool isFounder = n <= m_voters;
        const std::string folder = (m_folder / std::to_string(n)).string();
        std::string text = "vm = \"c" + std::to_string(n) + "\"\ndata_centre = \"a\"\nregion = \"r\"\nlisten = \""
            + addressOf(n, 0) + "\"\npeer_listen = \"" + addressOf(n, 1) + "\"\ndata_folder = \"" + folder + "\"\n"
            + "bootstrap = " + (isFounder ? "true" : "false") + '\n';
        for (int seed = 1; seed <= m_voters; ++seed) {
            text += "[[seed]]\naddress = \"" + addressOf(seed, 0) + "\"\n";
        }
        text += "[group]\nsize = " + std::to_string(m_voters) + "\n[upstreams]\nlease_ms = 60000\nwarm_up_ms = 1\n";
        auto settings = settings::parseSettings(text, "test");
        BOOST_REQUIRE_MESSAGE(settings.has_value(), (settings ? std::string() : settings.error().message));
        const auto identity = gateway::readIdentity(folder, isFounder, addressOf(n, 1));
        BOOST_REQUIRE(identity.has_value());
        auto daemon = std::make_unique<gateway::ControlDaemon>(settings.value(), identity.value(), m_dialects, m_log);
        const auto started = daemon->start();
        BOOST_REQUIRE_MESSAGE(started.has_value(), (started ? std::string() : started.error()));
        m_daemons[n] = std::move(daemon);
    }

    void stop(int n)
    {
        m_daemons.erase(n);
    }

    int announce(int n, const std::string &id, int incarnation, int sequence, bool leaving = false)
    {
        return call(n,
            "/announce/" + id + '/' + std::to_string(incarnation) + '/' + std::to_string(sequence)
                + (leaving ? "/leaving" : "/ready"));
    }

    int withdraw(int n, const std::string &idAndIncarnation)
    {
        return call(n, "/withdraw/" + idAndIncarnation);
    }

    /** @brief Pulls the list of a daemon, as entries do, and finds an upstream there. */
    std::optional<membership::Announcement> listed(int n, const std::string &id)
    {
        for (const membership::DeltaEntry &it : pull(n).entries) {
            if (it.announcement.id == id) {
                return it.announcement;
            }
        }
        return std::nullopt;
    }

    bool isLeaving(int n, const std::string &id)
    {
        const auto found = listed(n, id);
        return found && found->leaving;
    }

    membership::Delta pull(int n)
    {
        peer::wire::UpstreamSync request;
        request.set_vm("entry");
        auto reply = std::make_shared<std::promise<std::optional<peer::wire::UpstreamSync>>>();
        auto future = reply->get_future();
        auto &peer = m_peers[n];
        if (!peer) {
            peer = std::make_unique<peer::Client>(addressOf(n, 1));
        }
        peer->call(request, base::Millis{2'000}, [reply](std::optional<peer::wire::UpstreamSync> it) {
            reply->set_value(std::move(it));
        });
        const auto answer = future.get();
        BOOST_REQUIRE(answer.has_value());
        m_isWarming = answer->warming();
        auto delta = membership::parseDelta(answer->delta());
        BOOST_REQUIRE(delta.has_value());
        return delta.value();
    }

    /** @brief Tells whether the daemon that was asked last says that it may lack upstreams. */
    [[nodiscard]] bool isWarming() const noexcept
    {
        return m_isWarming;
    }

private:
    [[nodiscard]] std::string addressOf(int n, int port) const
    {
        return "127.0.61." + std::to_string(n) + ':' + std::to_string(m_port + port);
    }

    int call(int n, const std::string &path)
    {
        http::Call call;
        call.method = "POST";
        call.url = "http://" + addressOf(n, 0) + path;
        call.totalTimeout = base::Millis{5'000};
        return http::fetch(m_client, std::move(call)).status;
    }

    const int m_voters;
    const int m_port;
    std::filesystem::path m_folder;
    base::EventLog m_log;
    gateway::Dialects m_dialects;
    http::Client m_client;
    std::map<int, std::unique_ptr<peer::Client>> m_peers;
    std::map<int, std::unique_ptr<gateway::ControlDaemon>> m_daemons;
    bool m_isWarming = false;
};

} // namespace

BOOST_AUTO_TEST_SUITE(withdrawals)

// review/8: a control VM that is no voter confirmed the withdrawal of an upstream that it did not know, and dropped it.
BOOST_AUTO_TEST_CASE(a_control_vm_that_is_no_voter_passes_on_the_withdrawal_that_it_confirms)
{
    Group group(1);
    group.start(2);
    BOOST_REQUIRE(group.announce(1, UPSTREAM, 5, 1) == OK);
    BOOST_REQUIRE(eventually([&] {
        return group.withdraw(2, UPSTREAM) == OK;
    }));
    BOOST_TEST(eventually([&] {
        return group.isLeaving(1, UPSTREAM);
    }));
}

// A confirmation of what this VM does not know ends the search of the upstream for one that does.
BOOST_AUTO_TEST_CASE(the_withdrawal_of_an_unknown_upstream_is_not_confirmed)
{
    Group group(1);
    BOOST_TEST(group.withdraw(1, UPSTREAM) == UNAVAILABLE);
    BOOST_TEST(group.announce(1, UPSTREAM, 5, 1) == OK);
    BOOST_TEST(group.withdraw(1, UPSTREAM) == OK);
}

// review/9: a withdrawal lay in the memory of the process that had confirmed it, and was lost with it.
BOOST_AUTO_TEST_CASE(a_confirmed_withdrawal_outlasts_the_process_that_confirmed_it)
{
    Group group(1);
    BOOST_REQUIRE(group.announce(1, UPSTREAM, 5, 1) == OK);
    BOOST_REQUIRE(group.withdraw(1, UPSTREAM) == OK);
    group.stop(1);
    group.start(1);
    // What a partition has delayed.
    BOOST_REQUIRE(eventually([&] {
        return group.announce(1, UPSTREAM, 5, 2) == OK;
    }));
    BOOST_TEST(eventually([&] {
        return group.isLeaving(1, UPSTREAM);
    }));
    // A process that starts later under the same id has not withdrawn.
    BOOST_TEST(group.announce(1, UPSTREAM, 6, 1) == OK);
    BOOST_TEST(group.listed(1, UPSTREAM).has_value());
    BOOST_TEST(!group.isLeaving(1, UPSTREAM));
}

// The first announcement of an upstream that leaves is confirmed like a withdrawal.
BOOST_AUTO_TEST_CASE(a_confirmed_announcement_of_leaving_outlasts_the_process_that_confirmed_it)
{
    Group group(1);
    BOOST_REQUIRE(group.announce(1, UPSTREAM, 5, 1) == OK);
    BOOST_REQUIRE(group.announce(1, UPSTREAM, 5, 3, true) == OK);
    group.stop(1);
    group.start(1);
    BOOST_REQUIRE(eventually([&] {
        return group.announce(1, UPSTREAM, 5, 2) == OK;
    }));
    BOOST_TEST(eventually([&] {
        return group.isLeaving(1, UPSTREAM);
    }));
}

// Entries that knew the upstream learn of the withdrawal from daemons that never heard of the upstream itself.
BOOST_AUTO_TEST_CASE(entries_are_told_of_a_withdrawal_after_a_restart_of_all_control_vms)
{
    Group group(3);
    BOOST_REQUIRE(group.announce(2, UPSTREAM, 5, 1) == OK);
    BOOST_REQUIRE(eventually([&] {
        return group.withdraw(2, UPSTREAM) == OK;
    }));
    for (int n = 1; n <= 3; ++n) {
        group.stop(n);
    }
    for (int n = 1; n <= 3; ++n) {
        group.start(n);
    }
    for (int n = 1; n <= 3; ++n) {
        BOOST_TEST(eventually([&] {
            const auto removed = group.pull(n).removed;
            return std::any_of(removed.begin(), removed.end(), [](const membership::Removal &it) {
                return it.id == UPSTREAM && it.incarnation == 5 && it.leaving;
            });
        }));
    }
}

// Without a quorum nothing can be recorded, and a confirmation would be a promise of this process alone.
BOOST_AUTO_TEST_CASE(a_withdrawal_is_not_confirmed_without_a_quorum_but_takes_effect)
{
    Group group(3);
    BOOST_REQUIRE(group.announce(1, UPSTREAM, 5, 1) == OK);
    group.stop(2);
    group.stop(3);
    BOOST_TEST(group.withdraw(1, UPSTREAM) == UNAVAILABLE);
    BOOST_TEST(group.isLeaving(1, UPSTREAM));
    group.start(2);
    BOOST_TEST(eventually([&] {
        return group.withdraw(1, UPSTREAM) == OK;
    }));
}

// A late withdrawal of a former process took the present one of the same id out of service for good.
BOOST_AUTO_TEST_CASE(a_late_withdrawal_of_a_former_process_does_not_concern_the_present_one)
{
    Group group(1);
    BOOST_REQUIRE(group.announce(1, UPSTREAM, 6, 1) == OK);
    BOOST_TEST(group.withdraw(1, std::string(UPSTREAM) + "/5") == OK);
    BOOST_TEST(group.listed(1, UPSTREAM).has_value());
    BOOST_TEST(!group.isLeaving(1, UPSTREAM));
    BOOST_TEST(group.withdraw(1, std::string(UPSTREAM) + "/6") == OK);
    BOOST_TEST(group.isLeaving(1, UPSTREAM));
}

// A process that states its start can be withdrawn before any VM has heard of it.
BOOST_AUTO_TEST_CASE(a_stated_process_is_withdrawn_where_it_is_unknown)
{
    Group group(1);
    BOOST_TEST(group.withdraw(1, std::string(UPSTREAM) + "/5") == OK);
    BOOST_TEST(group.announce(1, UPSTREAM, 5, 1) == OK);
    BOOST_TEST(group.isLeaving(1, UPSTREAM));
}

// Entries that pull from a control VM that is no voter would take its partial list for the whole one.
BOOST_AUTO_TEST_CASE(only_voters_call_their_lists_complete)
{
    Group group(1);
    group.start(2);
    BOOST_TEST(eventually([&] {
        static_cast<void>(group.pull(1));
        return !group.isWarming();
    }));
    static_cast<void>(group.pull(2));
    BOOST_TEST(group.isWarming());
}

BOOST_AUTO_TEST_SUITE_END()
