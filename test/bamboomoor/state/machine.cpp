/**
 * Tests of the replicated state machine against a reference model, and of snapshots and encodings.
 */
#include "bamboomoor/state/machine.hpp"
#include "bamboomoor/base/overloaded.hpp"
#include "bamboomoor/state/generators.hpp"
#include "bamboomoor/state/oracle.hpp"

#include <boost/test/unit_test.hpp>

using namespace bamboomoor;
using namespace bamboomoor::state;

namespace
{

std::string withdrawnHash(const Machine &machine, const WithdrawKey &command)
{
    for (const auto &organisation : machine.configuration().document()->organisations) {
        for (const auto &key : organisation.keys) {
            if (organisation.name == command.organisation && key.id == command.keyId) {
                return key.hash;
            }
        }
    }
    return "none";
}

// Applies one command to machine and oracle; returns whether the outcome satisfies all guarantees.
bool applyBoth(Machine &machine, Oracle &oracle, const Command &command)
{
    const std::string hash =
        std::holds_alternative<WithdrawKey>(command) ? withdrawnHash(machine, std::get<WithdrawKey>(command)) : "none";
    const std::uint64_t fencing = machine.leaderLog().lastFencing();
    const auto openBefore = machine.leaderLog().openIntents();
    const std::uint64_t version = machine.configuration().current().version;
    const Outcome outcome = machine.apply(machine.lastIndex() + 1, encode(command));
    const bool grown = machine.configuration().current().version > version;
    const base::Overloaded judge{
        [&](const ApplyConfig &it) {
            const std::string base = std::to_string(it.baseVersion) + " " + it.baseDigest;
            return oracle.change(it.changeId, it.documentText, base, outcome);
        },
        [&](const AddKey &it) {
            return oracle.change(it.changeId, "add" + it.organisation + it.hash, "", outcome);
        },
        [&](const WithdrawKey &it) {
            if (grown) {
                oracle.withdraw(hash);
            }
            return oracle.change(it.changeId, "withdraw" + it.organisation + it.keyId, "", outcome);
        },
        [&](const OpenClaim &it) {
            return oracle.open(it, outcome);
        },
        [&](const FinishClaim &it) {
            oracle.finish(it, outcome);
            return true;
        },
        [&](const ReleaseClaim &it) {
            return oracle.release(it, outcome);
        },
        [&](const SweepClaims &) {
            oracle.sweep(machine);
            return true;
        },
        [&](const RecordIntent &it) {
            const bool recorded = std::get<IntentOutcome>(outcome).code == IntentCode::Recorded;
            return !recorded || it.fencing > fencing
                || (openBefore.contains(it.orderId) && openBefore.at(it.orderId) == it);
        },
        [](const auto &) {
            return true;
        },
    };
    return std::visit(judge, command) && oracle.keysAreValid(machine)
        && decodeOutcome(encode(outcome)).value() == outcome;
}

const std::string ACME = "[[organisation]]\nname = \"acme\"\nrate = 1\nburst = 1\n";

ApplyConfig changeFrom(const Machine &machine, const std::string &id, const std::string &text)
{
    const auto &now = machine.configuration().current();
    return {id, "ann", 1, now.version, now.digest, text};
}

ChangeOutcome applyChange(Machine &machine, const Command &command)
{
    return std::get<ChangeOutcome>(machine.apply(machine.lastIndex() + 1, encode(command)));
}

} // namespace

BOOST_AUTO_TEST_CASE(random_commands_satisfy_the_guarantees_of_the_oracle)
{
    const bool passed = rc::check([] {
        Machine machine;
        Oracle oracle;
        for (int n = 0; n < 80; ++n) {
            RC_ASSERT(applyBoth(machine, oracle, anyCommand(machine)));
        }
    });
    BOOST_TEST(passed);
}

BOOST_AUTO_TEST_CASE(a_command_that_counts_as_decided_has_that_outcome_and_changes_nothing)
{
    std::size_t repeated = 0;
    const bool passed = rc::check([&repeated] {
        Machine machine;
        std::vector<std::string> sent;
        for (int n = 0; n < 60; ++n) {
            const bool again = !sent.empty() && *rc::gen::inRange(0, 2) == 0;
            sent.push_back(again ? *rc::gen::elementOf(sent) : encode(anyCommand(machine)));
            const auto decided = machine.decided(sent.back());
            const std::uint64_t index = machine.lastIndex() + 1;
            Machine before = machine;
            const Outcome outcome = machine.apply(index, sent.back());
            if (decided) {
                ++repeated;
                RC_ASSERT(*decided == outcome);
                static_cast<void>(before.apply(index, encode(SweepClaims{0})));
                RC_ASSERT(before.digest() == machine.digest());
            }
        }
    });
    BOOST_TEST(passed);
    BOOST_TEST(repeated > 100U);
}

BOOST_AUTO_TEST_CASE(a_restored_snapshot_behaves_like_the_original)
{
    const bool passed = rc::check([] {
        // Limits so small that each of them is reached.
        const Limits limits{.history = 5,
            .historyTexts = 2,
            .historyTextBytes = 900,
            .changes = 6,
            .changeBytes = 600,
            .withdrawnKeys = 2,
            .claims = 3,
            .claimBytes = 60,
            .responseBytes = 5,
            .totalResponseBytes = 8};
        Machine machine(limits);
        Machine replica(limits);
        const int at = *rc::gen::inRange(0, 60);
        for (int n = 0; n < 60; ++n) {
            if (n == at) {
                replica = Machine::restore(machine.snapshot(), limits).value();
                RC_ASSERT(replica.digest() == machine.digest());
            }
            const std::string command = encode(anyCommand(machine));
            const std::uint64_t index = machine.lastIndex() + 1;
            RC_ASSERT(machine.apply(index, command) == replica.apply(index, command));
        }
        RC_ASSERT(replica.digest() == machine.digest());
        RC_ASSERT(machine.configuration().versions().size() <= limits.history);
        RC_ASSERT(machine.claims().claims().size() <= limits.claims);
    });
    BOOST_TEST(passed);
}

BOOST_AUTO_TEST_CASE(of_two_changes_from_one_base_the_second_is_rejected_and_identifies_the_first)
{
    Machine machine;
    const auto first = changeFrom(machine, "c1", ACME);
    auto second = changeFrom(machine, "c2", "");
    const auto won = applyChange(machine, first);
    BOOST_TEST(CHANGE_CODE_NAMES.name(won.code) == "accepted");
    const auto lost = applyChange(machine, second);
    BOOST_TEST(CHANGE_CODE_NAMES.name(lost.code) == "base_mismatch");
    BOOST_TEST(lost.version == won.version);
    BOOST_TEST(lost.digest == won.digest);
    BOOST_TEST(lost.author == "ann");
    // The same version number with another digest is a different base.
    second.baseVersion = won.version;
    BOOST_TEST(CHANGE_CODE_NAMES.name(applyChange(machine, second).code) == "base_mismatch");
    second.baseDigest = won.digest;
    BOOST_TEST(applyChange(machine, second).version == 2U);
    // A change resent after its reply was lost, even from another base, returns the accepted outcome.
    BOOST_TEST((applyChange(machine, first) == won));
    BOOST_TEST((applyChange(machine, changeFrom(machine, "c1", ACME)) == won));
    BOOST_TEST(CHANGE_CODE_NAMES.name(applyChange(machine, changeFrom(machine, "c1", "")).code) == "change_id_reused");
    BOOST_TEST(machine.configuration().current().version == 2U);
    BOOST_TEST(machine.configuration().find(1)->summary == "added organisation acme");
}

BOOST_AUTO_TEST_CASE(added_keys_outlive_documents_and_withdrawn_keys_stay_withdrawn)
{
    Machine machine;
    const std::string hash = base::sha256("key");
    BOOST_TEST(applyChange(machine, changeFrom(machine, "c1", ACME)).version == 1U);
    BOOST_TEST(applyChange(machine, AddKey{"c2", "ann", 1, "acme", "k", hash}).version == 2U);
    BOOST_TEST(applyChange(machine, changeFrom(machine, "c3", ACME)).version == 3U);
    BOOST_TEST(machine.configuration().document()->organisations.at(0).keys.size() == 1U);
    BOOST_TEST(applyChange(machine, WithdrawKey{"c4", "ann", 1, "acme", "k"}).version == 4U);
    const auto again = applyChange(machine, AddKey{"c5", "ann", 1, "acme", "k2", hash});
    BOOST_TEST(CHANGE_CODE_NAMES.name(again.code) == "key_withdrawn");
    const std::string listed = ACME + "[[organisation.key]]\nid = \"k\"\nhash = \"" + hash + "\"\n";
    const auto back = applyChange(machine, changeFrom(machine, "c6", listed));
    BOOST_TEST(CHANGE_CODE_NAMES.name(back.code) == "key_withdrawn");
    const auto bad = applyChange(machine, AddKey{"c7", "ann", 1, "acme", "k", "no hash"});
    BOOST_TEST(CHANGE_CODE_NAMES.name(bad.code) == "invalid_document");
}

BOOST_AUTO_TEST_CASE(a_claim_of_a_dead_daemon_is_unknown_until_its_response_is_stored)
{
    Machine machine;
    const OpenClaim open{"o", "q", "r", "vm1", 7, "t1", 0, 100};
    OpenClaim other = open;
    other.vm = "vm2";
    const auto apply = [&machine](const Command &command) {
        return machine.apply(machine.lastIndex() + 1, encode(command));
    };
    const auto codeOf = [&apply](const Command &command) {
        return CLAIM_CODE_NAMES.name(std::get<ClaimOutcome>(apply(command)).code);
    };
    BOOST_TEST(codeOf(open) == "opened");
    BOOST_TEST(codeOf(other) == "already_open");
    BOOST_TEST(std::get<CountOutcome>(apply(AbandonClaims{"vm1", 6})).count == 0U);
    BOOST_TEST(std::get<CountOutcome>(apply(AbandonClaims{"vm1", 7})).count == 1U);
    BOOST_TEST(codeOf(other) == "unknown");
    BOOST_TEST(codeOf(open) == "unknown");
    BOOST_TEST(codeOf(FinishClaim{"o", "q", 2, 200, {}, "late"}) == "not_open");
    BOOST_TEST(codeOf(FinishClaim{"o", "q", 1, 200, {}, std::string("\0\xff", 2)}) == "finished");
    const auto stored = std::get<ClaimOutcome>(apply(other));
    BOOST_TEST(CLAIM_CODE_NAMES.name(stored.code) == "stored");
    BOOST_TEST((stored.response->body == std::string("\0\xff", 2)));
    BOOST_TEST(std::get<CountOutcome>(apply(SweepClaims{100})).count == 0U);
    BOOST_TEST(std::get<CountOutcome>(apply(SweepClaims{101})).count == 1U);
}

BOOST_AUTO_TEST_CASE(a_released_claim_may_run_again_only_if_it_did_not_run)
{
    Machine machine;
    const auto code = [&machine](const Command &command) {
        const auto outcome = machine.apply(machine.lastIndex() + 1, encode(command));
        return CLAIM_CODE_NAMES.name(std::get<ClaimOutcome>(outcome).code);
    };
    const OpenClaim first{"o", "k", "d", "vm1", 1, "a1", 0, 100};
    OpenClaim resend = first;
    resend.attempt = "a2";
    BOOST_TEST(code(first) == "opened");
    BOOST_TEST(code(ReleaseClaim{"o", "k", "vm1", "a2", false}) == "not_open");
    BOOST_TEST(code(ReleaseClaim{"o", "k", "vm1", "a1", false}) == "finished");
    BOOST_TEST(code(resend) == "opened");
    BOOST_TEST(code(ReleaseClaim{"o", "k", "vm1", "a2", true}) == "finished");
    BOOST_TEST(code(first) == "unknown");
}

BOOST_AUTO_TEST_CASE(the_latest_ceiling_applies_and_earlier_terms_are_rejected)
{
    Machine machine;
    const auto raise = [&machine](std::uint64_t term, std::int64_t tokens) {
        const RaiseCeiling command{term, 1, {{"o", tokens, 7}}};
        const auto outcome = machine.apply(machine.lastIndex() + 1, encode(command));
        return CEILING_CODE_NAMES.name(std::get<CeilingOutcome>(outcome).code);
    };
    BOOST_TEST(raise(2, 10) == "raised");
    BOOST_TEST(raise(1, 99) == "stale_term");
    BOOST_TEST(raise(3, 5) == "raised");
    BOOST_TEST(machine.leaderLog().ceiling().organisations.at(0).level == 5);
    BOOST_TEST(machine.leaderLog().ceiling().term == 3U);
}

BOOST_AUTO_TEST_CASE(arbitrary_bytes_are_decoded_or_rejected)
{
    const bool passed = rc::check([] {
        Machine machine;
        std::string bytes = encode(anyCommand(machine));
        RC_ASSERT(encode(decode(bytes).value()) == bytes);
        const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
        bytes.replace(at, *rc::gen::inRange<std::size_t>(0, 6), *rc::gen::arbitrary<std::string>());
        const auto decoded = decode(bytes);
        RC_ASSERT((decoded.has_value() || !decoded.error().message.empty()));
        static_cast<void>(machine.apply(1, bytes));
        std::string saved = machine.snapshot();
        saved.replace(at % saved.size(), 3, *rc::gen::arbitrary<std::string>());
        static_cast<void>(Machine::restore(saved));
    });
    BOOST_TEST(passed);
    BOOST_TEST(decode(R"({"kind":"sweep_claims","value":{"before":1.5}})").has_error());
    BOOST_TEST(decode(R"({"kind":"sweep_claims","value":{"before":"1"}})").has_error());
}

BOOST_AUTO_TEST_CASE(claims_are_bounded_by_their_bytes_and_room_is_made_by_those_that_end)
{
    constexpr std::size_t KEY_BYTES = 100;
    const Limits limits{.claimBytes = 1'000};
    Machine machine(limits);
    const auto open = [&machine](std::uint64_t n) {
        std::string key = std::to_string(n);
        key.resize(KEY_BYTES, 'k');
        const OpenClaim command{"acme", key, "digest", "vm", 1, "attempt", 1, 1};
        return std::get<ClaimOutcome>(machine.apply(machine.lastIndex() + 1, encode(command))).code;
    };
    std::uint64_t opened = 0;
    while (opened < limits.claims && open(opened) == ClaimCode::Opened) {
        ++opened;
    }
    BOOST_TEST(opened == limits.claimBytes / (KEY_BYTES + std::string("acmedigestvmattempt").size()));
    static_cast<void>(machine.apply(machine.lastIndex() + 1, encode(AbandonClaims{"vm", 1})));
    static_cast<void>(machine.apply(machine.lastIndex() + 1, encode(SweepClaims{2})));
    BOOST_TEST((open(opened) == ClaimCode::Opened));
    machine = Machine::restore(machine.snapshot(), limits).value();
    for (std::uint64_t n = 1; n < opened; ++n) {
        BOOST_TEST((open(opened + n) == ClaimCode::Opened));
    }
    BOOST_TEST((open(2 * opened) == ClaimCode::Full));
}

BOOST_AUTO_TEST_CASE(outcomes_of_changes_are_bounded_by_their_bytes_and_the_newest_are_kept)
{
    const Limits limits{.changeBytes = 2'000};
    Machine machine(limits);
    const auto add = [&machine](int n) {
        const AddKey command{"change-" + std::to_string(n), "author", 1, "nobody", "key", std::string(64, 'a')};
        std::string encoded = encode(command);
        static_cast<void>(machine.apply(machine.lastIndex() + 1, encoded));
        return encoded;
    };
    const std::string first = add(0);
    for (int n = 1; n < 50; ++n) {
        BOOST_TEST(machine.decided(add(n)).has_value());
        BOOST_TEST(machine.configuration().bytes() <= limits.changeBytes);
    }
    BOOST_TEST(!machine.decided(first).has_value());
}
