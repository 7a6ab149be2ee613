/**
 * Unit tests of event splitting, the retry budget and the route table.
 */
#include "bamboomoor/base/digest.hpp"
#include "bamboomoor/relay/eventsplitter.hpp"
#include "bamboomoor/relay/retrybudget.hpp"
#include "bamboomoor/relay/routetable.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <map>

using namespace bamboomoor;

BOOST_AUTO_TEST_SUITE(event_cutter)

BOOST_AUTO_TEST_CASE(any_split_of_the_bytes_gives_the_same_complete_events)
{
    BOOST_TEST(rc::check([] {
        std::string stream;
        const int events = *rc::gen::inRange(0, 8);
        for (int n = 1; n <= events; ++n) {
            const bool returns = *rc::gen::arbitrary<bool>();
            const std::string end = returns ? "\r\n" : "\n";
            const std::string number = std::to_string(n);
            for (const std::string &piece :
                {std::string("id: "), number, end, std::string("data: x"), number, end, end}) {
                stream += piece;
            }
        }
        const std::string unfinished = *rc::gen::element<std::string>("", "id: 99\nda");
        relay::EventSplitter cutter;
        std::string out;
        const std::string all = stream + unfinished;
        for (std::size_t at = 0; at < all.size();) {
            const auto size = *rc::gen::inRange<std::size_t>(1, 9);
            out += cutter.feed(std::string_view(all).substr(at, size));
            at += size;
        }
        RC_ASSERT(out == stream);
        RC_ASSERT(cutter.atBoundary() == unfinished.empty());
        RC_ASSERT(cutter.events() == static_cast<std::size_t>(events));
        RC_ASSERT(cutter.lastId() == (events == 0 ? std::string() : std::to_string(events)));
    }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(retry_allowance)

BOOST_AUTO_TEST_CASE(no_window_contains_more_retries_than_the_budget_allows)
{
    BOOST_TEST(rc::check([] {
        relay::RetryBudget allowance({200, base::Millis{1'000}});
        std::vector<std::int64_t> requests;
        std::vector<std::int64_t> retries;
        std::int64_t now = 0;
        const int steps = *rc::gen::inRange(1, 200);
        for (int n = 0; n < steps; ++n) {
            now += *rc::gen::inRange(0, 60);
            if (*rc::gen::inRange(0, 3) > 0) {
                allowance.countRequest({now}, "s");
                requests.push_back(now);
            } else if (allowance.takeRetry({now}, "s")) {
                allowance.settle({now}, "s", true);
                retries.push_back(now);
            }
        }
        for (const std::int64_t end : retries) {
            const auto within = [end](std::int64_t it) {
                return it > end - 1'000 && it <= end;
            };
            const auto asked = std::count_if(requests.begin(), requests.end(), within);
            const auto again = std::count_if(retries.begin(), retries.end(), within);
            RC_ASSERT(again * 5 <= asked);
        }
    }));
}

BOOST_AUTO_TEST_CASE(delayed_retries_do_not_arrive_more_densely_than_the_budget_allows)
{
    BOOST_TEST(rc::check([] {
        constexpr std::int64_t WINDOW = 1'000;
        relay::RetryBudget allowance({200, base::Millis{WINDOW}});
        std::vector<std::int64_t> requests;
        // Retries in transit: when each arrives and when the entry learns of it; unset if it never arrives.
        struct UnderWay {
            std::int64_t decidedAt = 0;
            std::int64_t arrivesAt = 0;
            std::int64_t knownAt = 0;
            bool arrives = true;
        };
        std::vector<UnderWay> underWay;
        std::vector<UnderWay> arrived;
        std::int64_t now = 0;
        const int steps = *rc::gen::inRange(1, 300);
        for (int n = 0; n < steps; ++n) {
            now += *rc::gen::inRange(0, 60);
            std::erase_if(underWay, [&](const UnderWay &it) {
                if (it.knownAt > now) {
                    return false;
                }
                allowance.settle({now}, "s", it.arrives);
                return true;
            });
            if (*rc::gen::inRange(0, 3) > 0) {
                allowance.countRequest({now}, "s");
                requests.push_back(now);
            } else if (allowance.takeRetry({now}, "s")) {
                UnderWay it;
                it.decidedAt = now;
                it.arrivesAt = now + *rc::gen::inRange(0, 900);
                it.knownAt = it.arrivesAt + *rc::gen::inRange(0, 200);
                it.arrives = *rc::gen::inRange(0, 4) > 0;
                underWay.push_back(it);
                if (it.arrives) {
                    arrived.push_back(it);
                }
            }
        }
        for (const UnderWay &from : arrived) {
            std::int64_t count = 0;
            std::int64_t lastDecided = 0;
            for (const UnderWay &it : arrived) {
                if (it.arrivesAt >= from.arrivesAt && it.arrivesAt < from.arrivesAt + WINDOW) {
                    ++count;
                    lastDecided = std::max(lastDecided, it.decidedAt);
                }
            }
            const auto asked = std::count_if(requests.begin(), requests.end(), [lastDecided](std::int64_t it) {
                return it > lastDecided - WINDOW && it <= lastDecided;
            });
            RC_ASSERT(count * 5 <= asked);
        }
    }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(route_table)

BOOST_AUTO_TEST_CASE(the_longest_prefix_of_the_host_wins)
{
    auto document = std::make_shared<config::Document>();
    const auto add = [&document](const char *name, const char *host, const char *prefix) {
        config::Relay relay;
        relay.name = name;
        relay.host = host;
        relay.prefix = prefix;
        relay.shares = {{"s", 1}};
        document->relays.push_back(relay);
    };
    add("root", "a.example", "/");
    add("long", "a.example", "/x/y/");
    add("short", "a.example", "/x/");
    add("other", "b.example", "/x/");
    const relay::RouteTable table(1, document);
    const auto nameOf = [&table](const char *host, const char *path) {
        const config::Relay *found = table.find(host, path);
        return found == nullptr ? std::string("none") : found->name;
    };
    BOOST_TEST(nameOf("a.example", "/x/y/z") == "long");
    BOOST_TEST(nameOf("a.example", "/x/y") == "short");
    BOOST_TEST(nameOf("a.example", "/xy/z") == "root");
    BOOST_TEST(nameOf("b.example", "/x/") == "other");
    BOOST_TEST(nameOf("b.example", "/y/") == "none");
    BOOST_TEST(nameOf("c.example", "/x/") == "none");
    BOOST_TEST(nameOf("a.example", "no-slash") == "none");
}

BOOST_AUTO_TEST_CASE(keys_lead_to_their_organisation_and_shares_follow_their_weights)
{
    auto document = std::make_shared<config::Document>();
    config::Organisation organisation;
    organisation.name = "acme";
    organisation.keys = {{"k1", base::sha256("one"), false}, {"k2", base::sha256("two"), false}};
    document->organisations.push_back(organisation);
    const relay::RouteTable table(1, document);
    BOOST_TEST(table.organisationOf("two")->name == "acme");
    BOOST_TEST(table.organisationOf("three") == nullptr);
    BOOST_TEST(table.organisationOf("") == nullptr);
    config::Relay relay;
    relay.shares = {{"none", 0}, {"most", 90}, {"few", 10}};
    std::map<std::string, int> counts;
    for (int n = 0; n < 10'000; ++n) {
        ++counts[relay::RouteTable::serviceOf(relay, "id-" + std::to_string(n))];
    }
    BOOST_TEST(counts["none"] == 0);
    BOOST_TEST(counts["few"] > 800);
    BOOST_TEST(counts["few"] < 1'200);
}

BOOST_AUTO_TEST_SUITE_END()
