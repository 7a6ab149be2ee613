/**
 * Tests of documents whose version is chosen by the operator.
 */
#include "bamboomoor/config/parse.hpp"
#include "bamboomoor/state/machine.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <map>

using namespace bamboomoor;

namespace
{

std::string documentOf(std::int64_t rate)
{
    config::Document document;
    config::Organisation organisation;
    organisation.name = "acme";
    organisation.rate = rate;
    document.organisations.push_back(organisation);
    return config::print(document);
}

state::ChangeOutcome apply(state::Machine &machine, std::uint64_t version, std::int64_t rate, const std::string &source)
{
    state::ReplaceConfig command;
    command.author = "operator";
    command.version = version;
    command.documentText = documentOf(rate);
    command.source = source;
    return std::get<state::ChangeOutcome>(machine.apply(machine.lastIndex() + 1, state::encode(command)));
}

} // namespace

BOOST_AUTO_TEST_SUITE(replace_config)

BOOST_AUTO_TEST_CASE(other_content_with_the_current_version_number_is_ignored)
{
    state::Machine machine;
    BOOST_TEST((apply(machine, 7, 1, "first").code == state::ChangeCode::Accepted));
    BOOST_TEST((apply(machine, 7, 2, "second").code == state::ChangeCode::Accepted));
    BOOST_TEST((apply(machine, 3, 3, "older").code == state::ChangeCode::Accepted));
    BOOST_TEST(machine.configuration().current().version == 7U);
    BOOST_TEST(*machine.configuration().current().source == "first");
    BOOST_TEST(machine.configuration().document()->organisations[0].rate == 1);
}

BOOST_AUTO_TEST_CASE(a_deeply_nested_document_in_the_log_ends_no_replica)
{
    constexpr int LEVELS = 200'000;
    std::string text;
    for (int n = 0; n < LEVELS; ++n) {
        text += "a.";
    }
    text += "a = 1";
    state::Machine machine;
    state::ReplaceConfig replaced;
    replaced.version = 9;
    replaced.documentText = text;
    auto outcome = std::get<state::ChangeOutcome>(machine.apply(1, state::encode(replaced)));
    BOOST_TEST((outcome.code == state::ChangeCode::InvalidDocument));
    state::ApplyConfig applied;
    applied.changeId = "c";
    applied.author = "operator";
    applied.baseVersion = machine.configuration().current().version;
    applied.baseDigest = machine.configuration().current().digest;
    applied.documentText = text;
    outcome = std::get<state::ChangeOutcome>(machine.apply(2, state::encode(applied)));
    BOOST_TEST((outcome.code == state::ChangeCode::InvalidDocument));
    const std::string nested =
        R"({"kind":"replace_config","value":)" + std::string(LEVELS, '[') + std::string(LEVELS, ']') + '}';
    BOOST_TEST(std::holds_alternative<state::Malformed>(machine.apply(3, nested)));
    const std::string beside = R"({"kind":"sweep_claims","value":{"before":1},"x":)" + std::string(LEVELS, '[')
        + std::string(LEVELS, ']') + '}';
    static_cast<void>(machine.apply(4, beside));
    BOOST_TEST(state::Machine::restore(machine.snapshot()).has_value());
}

BOOST_AUTO_TEST_CASE(an_invalid_document_has_no_effect)
{
    state::Machine machine;
    apply(machine, 7, 1, "first");
    state::ReplaceConfig command;
    command.version = 9;
    command.documentText = "not toml [";
    const auto outcome = machine.apply(machine.lastIndex() + 1, state::encode(command));
    BOOST_TEST((std::get<state::ChangeOutcome>(outcome).code == state::ChangeCode::InvalidDocument));
    BOOST_TEST(machine.configuration().current().version == 7U);
}

BOOST_AUTO_TEST_CASE(the_highest_version_is_current_and_survives_a_snapshot_byte_for_byte)
{
    BOOST_TEST(rc::check([] {
        state::Machine machine;
        std::uint64_t highest = 0;
        std::map<std::uint64_t, std::string> first;
        const int steps = *rc::gen::inRange(1, 30);
        for (int n = 0; n < steps; ++n) {
            const auto version = *rc::gen::inRange<std::uint64_t>(1, 20);
            const auto source = *rc::gen::arbitrary<std::string>();
            apply(machine, version, n + 1, source);
            if (version > highest) {
                highest = version;
                first[version] = source;
            }
            if (*rc::gen::inRange(0, 5) == 0) {
                auto restored = state::Machine::restore(machine.snapshot());
                RC_ASSERT(restored.has_value());
                machine = std::move(restored.value());
            }
            RC_ASSERT(machine.configuration().current().version == highest);
            RC_ASSERT(*machine.configuration().current().source == first[highest]);
        }
        for (const auto &[version, source] : first) {
            const state::VersionInfo *info = machine.configuration().find(version);
            RC_ASSERT(info != nullptr && *info->source == source);
        }
        RC_ASSERT(machine.configuration().find(highest + 1) == nullptr);
    }));
}

BOOST_AUTO_TEST_SUITE_END()
