/**
 * Property test of three registries against the announcements that upstreams actually sent.
 */
#include "bamboomoor/membership/registry.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <array>
#include <set>

using namespace bamboomoor;
using membership::Announcement;

namespace
{
constexpr base::Millis LEASE{3'000};
constexpr std::size_t REGISTRIES = 3;
constexpr std::size_t UPSTREAMS = 3;

struct Upstream {
    Announcement present;
    // Every announcement sent, by incarnation and sequence.
    std::map<std::pair<std::uint64_t, std::uint64_t>, Announcement> sent;
    // Latest lease expiry granted by any registry on direct receipt.
    std::map<std::uint64_t, base::Millis> granted;
};

struct Message {
    std::size_t to = 0;
    std::size_t from = 0;
    base::Millis requestedAt;
    membership::Delta delta;
};

class Simulation
{
public:
    Simulation()
    {
        for (std::size_t n = 0; n < REGISTRIES; ++n) {
            restartRegistry(n);
        }
        for (std::size_t n = 0; n < UPSTREAMS; ++n) {
            m_upstreams[n].present.id = "w" + std::to_string(n);
            m_upstreams[n].present.incarnation = 1;
        }
    }

    void apply(std::uint32_t code)
    {
        const std::uint32_t kind = code % 16;
        const std::size_t a = code / 16 % 3;
        const std::size_t b = code / 48 % 3;
        if (kind < 4) {
            announce(a, b, false);
        } else if (kind < 6) {
            replay(a, b, code / 144);
        } else if (kind < 10) {
            request(a, b);
        } else if (kind < 12) {
            deliver(code / 16, kind == 10);
        } else if (kind == 12) {
            m_now += base::Millis{code / 16 % 2'000};
        } else if (kind == 13) {
            change(a, code / 144);
        } else if (kind == 14) {
            m_registries[a].expire(m_now);
        } else if (code / 144 % 4 == 0) {
            restartRegistry(a);
        }
    }

    // Every listed upstream was actually announced, has a granted lease and retains "leaving".
    [[nodiscard]] bool isConsistent()
    {
        for (std::size_t n = 0; n < REGISTRIES; ++n) {
            for (const membership::Entry *entry : m_registries[n].list(m_now)) {
                if (!isConsistent(n, entry->announcement)) {
                    return false;
                }
            }
        }
        return true;
    }

    // After a fault-free exchange all registries list every live upstream identically.
    [[nodiscard]] bool converges()
    {
        for (std::size_t n = 0; n < UPSTREAMS; ++n) {
            announce(n, n % REGISTRIES, false);
        }
        m_messages.clear();
        for (std::size_t round = 0; round < 4 * REGISTRIES * REGISTRIES; ++round) {
            request(round % REGISTRIES, round / REGISTRIES % REGISTRIES);
            deliver(0, false);
        }
        for (std::size_t n = 0; n < REGISTRIES; ++n) {
            const auto entries = m_registries[n].list(m_now);
            if (entries.size() != UPSTREAMS) {
                return false;
            }
            for (std::size_t i = 0; i < UPSTREAMS; ++i) {
                const Announcement &listed = entries[i]->announcement;
                Announcement expected = m_upstreams[i].present;
                expected.leaving = m_registries[0].find(m_now, expected.id)->announcement.leaving;
                if (!(listed == expected) || !isConsistent(n, listed)) {
                    return false;
                }
            }
        }
        return true;
    }

private:
    [[nodiscard]] bool isConsistent(std::size_t n, const Announcement &listed)
    {
        Upstream &upstream = m_upstreams[static_cast<std::size_t>(listed.id.back() - '0')];
        const auto it = upstream.sent.find({listed.incarnation, listed.sequence});
        if (it == upstream.sent.end() || upstream.granted[listed.incarnation] <= m_now) {
            return false;
        }
        if (m_seenLeaving[n].count({listed.id, listed.incarnation}) != 0 && !listed.leaving) {
            return false;
        }
        Announcement expected = it->second;
        expected.leaving = listed.leaving;
        return expected == listed && (listed.leaving || !it->second.leaving);
    }

    void receive(std::size_t to, Upstream &upstream, const Announcement &announcement)
    {
        const membership::AnnounceOutcome outcome = m_registries[to].announce(m_now, announcement);
        if (outcome != membership::AnnounceOutcome::Overtaken
            && outcome != membership::AnnounceOutcome::OlderIncarnation
            && outcome != membership::AnnounceOutcome::LeavingNoted) {
            base::Millis &until = upstream.granted[announcement.incarnation];
            until = std::max(until, m_now + LEASE);
        }
        if (announcement.leaving && outcome != membership::AnnounceOutcome::OlderIncarnation) {
            m_seenLeaving[to].insert({announcement.id, announcement.incarnation});
        }
    }

    void announce(std::size_t n, std::size_t to, bool lost)
    {
        Upstream &upstream = m_upstreams[n];
        ++upstream.present.sequence;
        upstream.present.load.running = upstream.present.sequence * 7 % 5;
        upstream.sent[{upstream.present.incarnation, upstream.present.sequence}] = upstream.present;
        if (!lost) {
            receive(to, upstream, upstream.present);
        }
    }

    void replay(std::size_t n, std::size_t to, std::uint32_t choice)
    {
        Upstream &upstream = m_upstreams[n];
        if (upstream.sent.empty()) {
            return;
        }
        const auto it = std::next(upstream.sent.begin(), choice % static_cast<std::uint32_t>(upstream.sent.size()));
        receive(to, upstream, it->second);
    }

    void change(std::size_t n, std::uint32_t choice)
    {
        Announcement &present = m_upstreams[n].present;
        if (choice % 4 == 0) {
            ++present.incarnation;
            present.sequence = choice / 4 % 2;
            present.leaving = false;
        } else if (choice % 4 == 1) {
            // A faulty upstream resets "leaving".
            present.leaving = !present.leaving;
        } else {
            present.accelerators = {{"0", choice % 3, {}}};
        }
        announce(n, 0, true);
    }

    void request(std::size_t to, std::size_t from)
    {
        if (to != from) {
            m_messages.push_back({to, from, m_now, m_registries[from].changesSince(m_now, m_positions[to][from])});
        }
    }

    void deliver(std::size_t choice, bool keep)
    {
        if (m_messages.empty()) {
            return;
        }
        const std::size_t n = choice % m_messages.size();
        const Message message = m_messages[n];
        if (!keep) {
            m_messages.erase(m_messages.begin() + static_cast<std::ptrdiff_t>(n));
        }
        const auto result = m_registries[message.to].merge(message.requestedAt, message.delta);
        m_positions[message.to][message.from] = result.incomplete ? membership::Position{} : message.delta.position;
    }

    void restartRegistry(std::size_t n)
    {
        membership::RegistryOptions options;
        options.epoch = ++m_epoch;
        m_registries[n] = membership::Registry(options);
        m_positions[n] = {};
        m_seenLeaving[n].clear();
    }

    base::Millis m_now{10'000};
    std::uint64_t m_epoch = 0;
    std::array<membership::Registry, REGISTRIES> m_registries;
    std::array<Upstream, UPSTREAMS> m_upstreams;
    std::array<std::array<membership::Position, REGISTRIES>, REGISTRIES> m_positions;
    std::array<std::set<std::pair<std::string, std::uint64_t>>, REGISTRIES> m_seenLeaving;
    std::vector<Message> m_messages;
};
} // namespace

BOOST_AUTO_TEST_CASE(registries_converge_on_sent_announcements)
{
    BOOST_TEST(rc::check("registries list only announced upstreams with a lease, and converge", [] {
        const auto codes =
            *rc::gen::container<std::vector<std::uint32_t>>(rc::gen::inRange<std::uint32_t>(0, 1U << 24U)).as("steps");
        Simulation simulation;
        for (const std::uint32_t code : codes) {
            simulation.apply(code);
            RC_ASSERT(simulation.isConsistent());
        }
        RC_ASSERT(simulation.converges());
    }));
}

BOOST_AUTO_TEST_CASE(an_unchanged_upstream_is_replicated_as_a_renewal)
{
    membership::Registry registry;
    Announcement announcement;
    announcement.id = "w";
    announcement.sequence = 1;
    registry.announce({0}, announcement);
    const auto first = registry.changesSince({10}, {});
    BOOST_TEST(first.entries.size() == 1U);
    BOOST_TEST(first.entries[0].remaining.count == 2'990);
    announcement.sequence = 2;
    announcement.load.running = 5;
    registry.announce({1'000}, announcement);
    const auto second = registry.changesSince({1'000}, first.position);
    BOOST_TEST(second.entries.empty());
    BOOST_TEST(second.renewals.size() == 1U);
    BOOST_TEST(registry.find({3'999}, "w") != nullptr);
    BOOST_TEST(registry.find({4'000}, "w") == nullptr);
    BOOST_TEST(registry.expire({4'000}).size() == 1U);
    BOOST_TEST(registry.changesSince({4'000}, second.position).removed.size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_process_whose_address_a_later_one_has_announced_is_not_listed_until_its_lease_ends)
{
    const auto announcementOf = [](std::string id, std::string address, std::uint64_t incarnation,
                                    std::uint64_t sequence) {
        Announcement announcement;
        announcement.id = std::move(id);
        announcement.address = std::move(address);
        announcement.incarnation = incarnation;
        announcement.sequence = sequence;
        return announcement;
    };
    const auto idsOf = [](const std::vector<const membership::Entry *> &entries) {
        std::vector<std::string> ids;
        ids.reserve(entries.size());
        for (const membership::Entry *it : entries) {
            ids.push_back(it->announcement.id);
        }
        return ids;
    };
    using Ids = std::vector<std::string>;
    membership::Registry registry;
    registry.announce({0}, announcementOf("a", "10.0.0.1:80", 1'000, 1));
    registry.announce({0}, announcementOf("b", "10.0.0.2:80", 1'000, 1));
    registry.announce({1'000}, announcementOf("c", "10.0.0.1:80", 5'000, 1));
    BOOST_TEST(idsOf(registry.list({1'000})) == (Ids{"b", "c"}));
    BOOST_TEST(idsOf(registry.usable({1'000})) == (Ids{"b", "c"}));
    BOOST_TEST(idsOf(registry.replaced({1'000})) == Ids{"a"});
    // An announcement that was delayed by a partition.
    registry.announce({2'000}, announcementOf("a", "10.0.0.1:80", 1'000, 2));
    BOOST_TEST(idsOf(registry.replaced({2'000})) == Ids{"a"});
    registry.announce({3'500}, announcementOf("a", "10.0.0.1:80", 1'000, 3));
    BOOST_TEST(idsOf(registry.list({4'000})) == Ids{"a"});
    BOOST_TEST(registry.replaced({4'000}).empty());
    // The order of start is not known.
    registry.announce({4'000}, announcementOf("d", "10.0.0.1:80", 1'000, 1));
    BOOST_TEST(idsOf(registry.list({4'000})) == (Ids{"a", "d"}));
}

BOOST_AUTO_TEST_CASE(a_process_whose_lease_has_ended_is_still_found_to_be_replaced_and_has_a_last_address)
{
    Announcement crashed;
    crashed.id = "a";
    crashed.address = "10.0.0.1:80";
    crashed.incarnation = 1'000;
    crashed.sequence = 1;
    Announcement successor = crashed;
    successor.id = "b";
    successor.incarnation = 5'000;
    membership::Registry registry;
    registry.announce({0}, crashed);
    for (const base::Millis now : {base::Millis{3'000}, base::Millis{3'400}}) {
        registry.expire(now);
        BOOST_TEST(registry.find(now, "a") == nullptr);
        BOOST_TEST(registry.replaced(now).empty());
        const membership::Entry *retained = registry.findRetained("a");
        BOOST_REQUIRE(retained != nullptr);
        BOOST_TEST(retained->announcement.address == "10.0.0.1:80");
    }
    registry.announce({4'000}, successor);
    const auto replaced = registry.replaced({4'000});
    BOOST_REQUIRE(replaced.size() == 1U);
    BOOST_TEST(replaced[0]->announcement.id == "a");
    BOOST_TEST(registry.list({4'000}).size() == 1U);
    registry.expire({4'000});
    BOOST_TEST(registry.replaced({4'000}).size() == 1U);
    registry.expire({70'000});
    BOOST_TEST(registry.findRetained("a") == nullptr);
    BOOST_TEST(registry.findRetained("c") == nullptr);
    BOOST_TEST(registry.replaced({70'000}).empty());
}

// A withdrawal was dropped where the upstream was unknown, and a late announcement brought the upstream back.
BOOST_AUTO_TEST_CASE(a_withdrawn_upstream_is_leaving_wherever_and_whenever_it_is_announced)
{
    Announcement announcement;
    announcement.id = "w";
    announcement.incarnation = 5;
    announcement.sequence = 7;
    membership::Registry origin;
    origin.withdraw({0}, "w", 5);
    membership::Registry other;
    BOOST_TEST(other.merge({0}, origin.changesSince({0}, {})).changed == 1U);
    BOOST_TEST(other.merge({0}, origin.changesSince({0}, {})).changed == 0U);
    for (membership::Registry *it : {&origin, &other}) {
        it->announce({10}, announcement);
        BOOST_REQUIRE(it->find({10}, "w") != nullptr);
        BOOST_TEST(it->find({10}, "w")->announcement.leaving);
        BOOST_TEST(it->usable({10}).empty());
    }
    // A later process under the same id has not withdrawn.
    announcement.incarnation = 6;
    announcement.sequence = 1;
    other.announce({20}, announcement);
    BOOST_TEST(other.usable({20}).size() == 1U);
    BOOST_TEST(other.merge({20}, origin.changesSince({20}, {})).changed == 0U);
    BOOST_TEST(other.usable({20}).size() == 1U);
}

// A registry that knew an earlier process only did not pass the withdrawal of the present one on.
BOOST_AUTO_TEST_CASE(a_withdrawal_reaches_registries_that_know_a_later_process_than_its_sender)
{
    Announcement announcement;
    announcement.id = "w";
    announcement.incarnation = 5;
    announcement.sequence = 1;
    membership::Registry origin;
    origin.announce({0}, announcement);
    announcement.incarnation = 6;
    membership::Registry other;
    other.announce({0}, announcement);
    origin.withdraw({0}, "w", 6);
    other.merge({0}, origin.changesSince({0}, {}));
    BOOST_REQUIRE(other.find({0}, "w") != nullptr);
    BOOST_TEST(other.find({0}, "w")->announcement.leaving);
}

BOOST_AUTO_TEST_CASE(a_withdrawal_marks_earlier_processes_as_well_and_is_forgotten_after_the_retention)
{
    Announcement announcement;
    announcement.id = "w";
    announcement.incarnation = 5;
    announcement.sequence = 7;
    membership::Registry registry;
    registry.announce({0}, announcement);
    registry.withdraw({0}, "w", 6);
    registry.withdraw({0}, "w", 4);
    BOOST_TEST(registry.usable({0}).empty());
    // Its lease is not extended.
    BOOST_TEST(registry.find({2'999}, "w") != nullptr);
    BOOST_TEST(registry.find({3'000}, "w") == nullptr);
    registry.expire({59'999});
    // The process that was known, and the later one that has withdrawn.
    const auto removed = registry.changesSince({59'999}, {}).removed;
    BOOST_REQUIRE(removed.size() == 2U);
    BOOST_TEST(removed[0].incarnation == 5U);
    BOOST_TEST(removed[1].incarnation == 6U);
    registry.expire({64'000});
    BOOST_TEST(registry.changesSince({64'000}, {}).removed.empty());
}
