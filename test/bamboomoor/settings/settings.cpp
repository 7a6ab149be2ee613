/**
 * Tests of the settings: what is read, and how each kind of mistake is explained.
 */
#include "bamboomoor/settings/settings.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace bamboomoor;

namespace
{

const std::string GOOD = R"(vm = "vm1"
data_centre = "dc1"
region = "r1"
listen = "127.0.0.1:8080"
peer_listen = "[::1]:9090"
data_folder = "/var/lib/bamboomoor"
bootstrap = true
operator_token = "secret"
[[voter]]
name = "vm1"
address = "127.0.0.1:9090"
[control]
freshness_lease_ms = 1500
)";

std::string replaced(const std::string &from, const std::string &to)
{
    std::string text = GOOD;
    return text.replace(text.find(from), from.size(), to);
}

std::string mistake(const std::string &text)
{
    const auto result = settings::parseSettings(text, "a.toml");
    return result.has_error() ? result.error().message : "no mistake";
}

} // namespace

BOOST_AUTO_TEST_CASE(good_settings_are_read_with_defaults)
{
    const auto read = settings::parseSettings(GOOD, "a.toml").value();
    BOOST_TEST(read.vm == "vm1");
    BOOST_TEST(read.voters.at(0).address == "127.0.0.1:9090");
    BOOST_TEST(read.control.freshnessLease.count == 1500);
    BOOST_TEST(read.upstreams.lease.count == 3000);
    BOOST_TEST(read.upstreams.maxClosure.count == 600'000);
    BOOST_TEST(read.placement.adaptersInFlight == 130);
    BOOST_TEST(read.bootstrap);
}

BOOST_AUTO_TEST_CASE(a_span_in_seconds_may_have_a_fraction)
{
    const auto windowOf = [](const std::string &value) {
        return settings::parseSettings(GOOD + "[placement]\nstore_window_s = " + value + "\n", "a.toml")
            .value()
            .placement.storeWindow.count;
    };
    BOOST_TEST(windowOf("4") == 4'000);
    BOOST_TEST(windowOf("2.5") == 2'500);
    for (const char *it : {"0", "-1", "nan", "\"5\"", "1e99"}) {
        BOOST_TEST(mistake(GOOD + "[placement]\nstore_window_s = " + it + "\n")
            == "a.toml: placement.store_window_s: must be seconds, from 1 to 86400000 ms");
    }
}

BOOST_AUTO_TEST_CASE(the_longest_closure_of_an_upstream_can_be_set)
{
    const std::string section = GOOD + "[upstreams]\nmax_closure_ms = ";
    BOOST_TEST(settings::parseSettings(section + "5000\n", "a.toml").value().upstreams.maxClosure.count == 5'000);
    BOOST_TEST(mistake(section + "-1\n") != "no mistake");
}

BOOST_AUTO_TEST_CASE(the_share_of_retries_is_between_nothing_and_all)
{
    const auto shareOf = [](const std::string &value) {
        return settings::parseSettings(GOOD + "[relay]\nretry_ratio = " + value + "\n", "a.toml")
            .value()
            .relay.retryPermille;
    };
    BOOST_TEST(shareOf("0") == 0);
    BOOST_TEST(shareOf("0.125") == 125);
    BOOST_TEST(shareOf("1") == 1'000);
    for (const char *it : {"-0.1", "1.1", "nan", "\"0.2\""}) {
        BOOST_TEST(mistake(GOOD + "[relay]\nretry_ratio = " + it + "\n")
            == "a.toml: relay.retry_ratio: must be a share from 0 to 1");
    }
}

BOOST_AUTO_TEST_CASE(each_mistake_is_one_line_with_file_key_and_rule)
{
    BOOST_TEST(mistake(GOOD + "heart = 1\n").starts_with("a.toml: control.heart: is not a known key; allowed here: "));
    BOOST_TEST(mistake(GOOD + "heartbeat_ms = 1.5\n")
        == "a.toml: control.heartbeat_ms: must be an integer from 1 to 86400000");
    BOOST_TEST(mistake(GOOD + "heartbeat_ms = 301\n")
        == "a.toml: control.election_timeout_ms: must be at least 3 times heartbeat_ms");
    BOOST_TEST(mistake(replaced("data_folder = \"/var/lib/bamboomoor\"\n", ""))
        == "a.toml: data_folder: is missing; a VM that is a [[voter]] must have one");
    BOOST_TEST(mistake(replaced("vm = \"vm1\"", "vm = \"vm2\""))
        == "a.toml: bootstrap: must be false on a VM that is no [[voter]]");
    BOOST_TEST(mistake(replaced("[::1]:9090", "::1:9090")).starts_with("a.toml: peer_listen: must be an address"));
    BOOST_TEST(mistake(replaced("8080", "65536")).starts_with("a.toml: listen: must be an address"));
    BOOST_TEST(mistake("vm = ").starts_with("a.toml: line 1, column "));
    BOOST_TEST(
        settings::loadSettings("/nonexistent.toml").error().message == "/nonexistent.toml: the file cannot be read");
}

BOOST_AUTO_TEST_CASE(any_text_is_read_or_explained_in_one_line)
{
    const bool passed = rc::check([] {
        // Either noise, or good settings with one stretch replaced by noise.
        std::string text = *rc::gen::arbitrary<std::string>();
        if (*rc::gen::arbitrary<bool>()) {
            const auto at = *rc::gen::inRange<std::size_t>(0, GOOD.size());
            std::string mixed = GOOD;
            text = mixed.replace(at, *rc::gen::inRange<std::size_t>(0, 12), text);
        }
        const auto result = settings::parseSettings(text, "a.toml");
        if (result.has_value()) {
            RC_ASSERT(!result.value().voters.empty());
            RC_ASSERT(!result.value().operatorToken.empty());
            return;
        }
        RC_ASSERT(result.error().message.starts_with("a.toml: "));
        RC_ASSERT(result.error().message.find('\n') == std::string::npos);
    });
    BOOST_TEST(passed);
}
