/**
 * Tests of how changes of the configuration reach entries whose links carry few bytes a second.
 */
#include "bamboomoor/base/digest.hpp"
#include "bamboomoor/config/parse.hpp"
#include "bamboomoor/control/configurationthread.hpp"
#include "bamboomoor/entry/freshness.hpp"

#include "bamboomoor/control/loopback.hpp"
#include "narrowlink.hpp"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <cstdlib>
#include <deque>
#include <filesystem>
#include <future>
#include <memory>
#include <string>
#include <thread>

using namespace bamboomoor;

namespace
{

// The narrowest link of an entry VM, 7.5 Mbit/s.
constexpr std::size_t NARROW_LINK = 937'500;
// Within which an accepted change has to be in force at every entry.
constexpr base::Millis IN_FORCE{2'500};
constexpr base::Millis PAUSE{10};
constexpr std::size_t FEW_ROUTES = 30;
constexpr std::size_t MANY_ROUTES = 2'600;

void rest(base::Millis span)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(span.count));
}

/** @brief Returns a document with a number of relay routes and one organisation. @param rate Differs in each version.
 */
config::Document makeDocument(std::size_t routes, std::int64_t rate)
{
    config::Document out;
    config::Organisation organisation;
    organisation.name = "org";
    organisation.rate = rate;
    organisation.burst = rate;
    out.organisations.push_back(std::move(organisation));
    config::Service service;
    service.name = "app";
    service.maxConnections = 100;
    out.services.push_back(std::move(service));
    for (std::size_t n = 0; n < routes; ++n) {
        config::Relay relay;
        relay.name = "route-" + base::sha256(std::to_string(n)).substr(0, 12);
        relay.host = base::sha256(relay.name).substr(0, 8) + ".example";
        relay.prefix = "/" + base::sha256(relay.host).substr(0, 8) + "/";
        relay.shares.push_back({"app", 1});
        out.relays.push_back(std::move(relay));
    }
    return out;
}

/** @brief The only voter of its group, with what serves the configuration. */
class Leader final : public control_test::EmptyHandler
{
public:
    Leader()
        : m_peers({})
        , m_voter(makeOptions(), m_peers, clock)
        , m_configuration(m_voter, clock)
        , m_server(*this)
    {
        m_voter.addObserver(m_configuration);
        m_configuration.start();
        BOOST_REQUIRE(m_voter.start().has_value());
        address = control_test::freeAddress();
        BOOST_REQUIRE(m_server.start(address).has_value());
        while (!m_voter.status().confirmedAt) {
            rest(PAUSE);
        }
    }
    ~Leader() override
    {
        m_configuration.stop();
        m_voter.stop();
        m_server.stop();
        std::filesystem::remove_all(m_folder);
    }
    Leader(const Leader &) = delete;
    Leader &operator=(const Leader &) = delete;

    void freshen(const peer::wire::FreshenRequest &request, peer::Answer<peer::wire::FreshenReply> answer) override
    {
        m_configuration.freshen(request, std::move(answer));
    }
    void fetchPiece(const peer::wire::PieceRequest &request, peer::Answer<peer::wire::PieceReply> answer) override
    {
        m_configuration.fetchPiece(request, std::move(answer));
    }

    /** @brief Commits a version. */
    void change(std::uint64_t version, const config::Document &document)
    {
        auto done = std::make_shared<std::promise<bool>>();
        const state::ReplaceConfig change{"op", 0, version, config::print(document), {}};
        m_voter.propose(state::encode(change), std::nullopt, [done](const control::ProposalOutcome &it) {
            done->set_value(it.status == consensus::ProposalStatus::Committed);
        });
        BOOST_REQUIRE(done->get_future().get());
    }

    base::SteadyClock clock;
    std::string address;

private:
    control::VoterOptions makeOptions()
    {
        std::string name = (std::filesystem::temp_directory_path() / "bamboomoor-leader-XXXXXX").string();
        BOOST_REQUIRE(mkdtemp(name.data()) != nullptr);
        m_folder = name;
        control::VoterOptions options;
        options.folder = name;
        options.node.self = "leader";
        options.node.initialVoters = {"leader"};
        options.node.bootstrap = true;
        return options;
    }

    std::filesystem::path m_folder;
    control::PeerRegistry m_peers;
    control::VoterThread m_voter;
    control::ConfigurationThread m_configuration;
    peer::Server m_server;
};

/** @brief An entry's part that keeps the configuration in force, behind a link of its own. */
class Entry
{
public:
    Entry(const Leader &leader, std::size_t bytesPerSecond)
        : link(leader.address, bytesPerSecond)
        , m_peers({{"leader", link.address()}})
        , m_hint({"leader"})
        , m_freshness(options(), inForce, m_peers, m_hint, leader.clock, [] {})
    {
        m_freshness.start();
    }
    ~Entry()
    {
        m_freshness.stop();
        m_peers.stop();
    }
    Entry(const Entry &) = delete;
    Entry &operator=(const Entry &) = delete;

    /** @brief Waits until a version is in force. @return False if it is not within the span. */
    bool takes(std::uint64_t version, base::Millis span) const
    {
        const base::SteadyClock clock;
        const base::Millis end = clock.now() + span;
        while (this->version() < version && clock.now() < end) {
            rest(PAUSE);
        }
        return this->version() >= version;
    }

    [[nodiscard]] std::uint64_t version() const
    {
        const auto held = inForce.current();
        return held ? held->version : 0;
    }

    entry::InForce inForce;
    entry_test::NarrowLink link;

private:
    static entry::FreshnessOptions options()
    {
        entry::FreshnessOptions options;
        options.vm = "entry";
        return options;
    }

    control::PeerRegistry m_peers;
    entry::LeaderHint m_hint;
    entry::Freshness m_freshness;
};

} // namespace

BOOST_AUTO_TEST_SUITE(distribution)

// Guards against changes that never come into force where the document takes longer than a question may.
BOOST_AUTO_TEST_CASE(a_change_of_many_routes_is_in_force_in_time_behind_narrow_links)
{
    Leader leader;
    std::deque<Entry> entries;
    for (int n = 0; n < 8; ++n) {
        entries.emplace_back(leader, NARROW_LINK);
    }
    leader.change(1, makeDocument(FEW_ROUTES, 1));
    for (const Entry &it : entries) {
        BOOST_REQUIRE(it.takes(1, IN_FORCE));
    }
    const base::Millis end = leader.clock.now() + IN_FORCE;
    leader.change(2, makeDocument(MANY_ROUTES, 1));
    for (const Entry &it : entries) {
        BOOST_TEST(it.takes(2, end - leader.clock.now()));
    }
}

// Guards against entries that fall behind while each of many changes sends the whole document.
BOOST_AUTO_TEST_CASE(the_last_of_many_changes_of_a_large_document_is_in_force_in_time)
{
    constexpr std::uint64_t CHANGES = 20;
    Leader leader;
    Entry entry(leader, NARROW_LINK);
    leader.change(1, makeDocument(MANY_ROUTES, 1));
    BOOST_TEST_REQUIRE(entry.takes(1, IN_FORCE));
    base::Millis end;
    for (std::uint64_t n = 2; n <= CHANGES; ++n) {
        end = leader.clock.now() + IN_FORCE;
        leader.change(n, makeDocument(MANY_ROUTES, static_cast<std::int64_t>(n)));
        rest({50});
    }
    BOOST_TEST(entry.takes(CHANGES, end - leader.clock.now()));
}

// Guards against an entry that starts while its link carries less than a document in the time of a question.
BOOST_AUTO_TEST_CASE(an_entry_that_starts_behind_a_squeezed_link_gets_a_large_document)
{
    constexpr std::size_t SQUEEZED_LINK = NARROW_LINK / 10;
    Leader leader;
    leader.change(1, makeDocument(MANY_ROUTES, 1));
    const Entry entry(leader, SQUEEZED_LINK);
    BOOST_TEST(entry.takes(1, IN_FORCE * 4));
}

BOOST_AUTO_TEST_SUITE_END()
