/**
 * Tests of individual safety rules, each on a single node that the test steps directly.
 */
#include "sim.hpp"

#include <boost/test/unit_test.hpp>

using namespace bamboomoor;
using namespace bamboomoor::consensus;

namespace
{

constexpr std::int64_t LONG_MS = 5'000;

/** @brief Node `a` of the voters a, b and c, with its disk. */
struct Solo {
    sim::Disk disk;
    Options options;
    std::unique_ptr<Node> node;
    std::int64_t now = 0;
    Outputs out;

    explicit Solo(bool bootstrap = true, std::vector<VoterId> voters = {"a", "b", "c"})
    {
        options.self = "a";
        options.initialVoters = std::move(voters);
        options.bootstrap = bootstrap;
        restart();
    }

    void restart()
    {
        node = std::make_unique<Node>(options, RecoveredState{disk.fresh, disk.hardState, disk.snapshot, disk.entries});
        step(Tick{});
    }

    /** @brief Runs a step and syncs the disk immediately; `out` holds the combined effects. */
    void step(Input input)
    {
        stepUnsynced(std::move(input));
        if (out.persist) {
            disk.apply(*out.persist);
            Outputs after = node->step({now}, PersistDone{out.persist->sequence});
            out.messages.insert(out.messages.end(), after.messages.begin(), after.messages.end());
            out.committed.insert(out.committed.end(), after.committed.begin(), after.committed.end());
            out.proposals.insert(out.proposals.end(), after.proposals.begin(), after.proposals.end());
            if (after.persist) {
                disk.apply(*after.persist);
                static_cast<void>(node->step({now}, PersistDone{after.persist->sequence}));
            }
        }
    }

    void stepUnsynced(Input input)
    {
        out = node->step({now}, std::move(input));
    }

    void from(const VoterId &id, std::uint64_t term, MessageBody body)
    {
        step(Message{id, "a", term, std::move(body)});
    }

    template<class Body>
    [[nodiscard]] std::optional<Body> sent() const
    {
        for (const Message &it : out.messages) {
            if (const auto *body = std::get_if<Body>(&it.body)) {
                return *body;
            }
        }
        return std::nullopt;
    }

    [[nodiscard]] bool votesFor(const VoterId &id, std::uint64_t term)
    {
        from(id, term, VoteRequest{false, false, 1'000, term - 1});
        return sent<VoteReply>().value().granted;
    }

    void lead()
    {
        now += LONG_MS;
        step(Tick{});
        from("b", node->term() + 1, VoteReply{true, true});
        from("b", node->term(), VoteReply{false, true});
        BOOST_REQUIRE((node->role() == Role::Leader));
    }

    void acknowledge(const VoterId &id, std::uint64_t index)
    {
        from(id, node->term(), acknowledgement(index));
    }

    [[nodiscard]] static AppendReply acknowledgement(std::uint64_t index)
    {
        AppendReply reply;
        reply.success = true;
        reply.prevIndex = reply.matchIndex = reply.receivedIndex = index;
        return reply;
    }
};

} // namespace

BOOST_AUTO_TEST_CASE(a_vote_survives_a_restart)
{
    Solo solo;
    solo.now += LONG_MS;
    BOOST_TEST(solo.votesFor("b", 7));
    solo.restart();
    solo.now += LONG_MS;
    BOOST_TEST(!solo.votesFor("c", 7));
    BOOST_TEST(solo.votesFor("b", 7));
}

BOOST_AUTO_TEST_CASE(nothing_is_acknowledged_before_it_is_synced)
{
    Solo solo;
    solo.now += LONG_MS;
    solo.stepUnsynced(Message{"b", "a", 7, VoteRequest{false, false, 1'000, 6}});
    BOOST_TEST(!solo.sent<VoteReply>().has_value());
    solo.step(PersistDone{solo.out.persist->sequence});
    BOOST_TEST(solo.sent<VoteReply>().value().granted);

    Append append{1, 1, {{2, 7, EntryKind::Noop, {}}}, 2, 1, false};
    solo.stepUnsynced(Message{"b", "a", 7, append});
    BOOST_TEST(solo.sent<AppendReply>().value().matchIndex == 1U);
    solo.step(PersistDone{solo.out.persist->sequence});
    BOOST_TEST(solo.sent<AppendReply>().value().matchIndex == 2U);
}

BOOST_AUTO_TEST_CASE(a_candidate_does_not_start_again_before_its_own_vote_is_synced)
{
    Solo solo;
    solo.now += LONG_MS;
    solo.step(Tick{});
    solo.stepUnsynced(Message{"b", "a", solo.node->term() + 1, VoteReply{true, true}});
    BOOST_REQUIRE((solo.node->role() == Role::Candidate));
    const std::uint64_t term = solo.node->term();
    const std::uint64_t sequence = solo.out.persist.value().sequence;
    BOOST_TEST((solo.node->nextDeadline() == base::NEVER));
    solo.now += LONG_MS;
    solo.stepUnsynced(Tick{});
    BOOST_TEST((solo.node->role() == Role::Candidate));
    solo.stepUnsynced(PersistDone{sequence});
    BOOST_TEST(solo.sent<VoteRequest>().has_value());
    // The others sync their votes as slowly.
    solo.now += LONG_MS;
    solo.stepUnsynced(Message{"b", "a", term, VoteReply{false, true}});
    BOOST_TEST((solo.node->role() == Role::Leader));
    BOOST_TEST(solo.node->term() == term);
}

BOOST_AUTO_TEST_CASE(a_voter_does_not_campaign_before_its_vote_for_another_is_synced)
{
    Solo solo;
    solo.now += LONG_MS;
    solo.stepUnsynced(Message{"b", "a", 7, VoteRequest{false, false, 1'000, 6}});
    const std::uint64_t sequence = solo.out.persist.value().sequence;
    solo.now += LONG_MS;
    solo.stepUnsynced(Tick{});
    BOOST_TEST((solo.node->role() == Role::Follower));
    solo.stepUnsynced(PersistDone{sequence});
    BOOST_TEST(solo.sent<VoteReply>().value().granted);
    BOOST_TEST((solo.node->nextDeadline() >= base::Millis{solo.now} + solo.options.electionTimeout));
}

BOOST_AUTO_TEST_CASE(a_silent_leader_is_not_named_while_a_term_is_synced)
{
    Solo solo;
    solo.stepUnsynced(Message{"b", "a", 7, Append{1, 1, {}, 1, 1, false}});
    BOOST_REQUIRE(solo.out.persist.has_value());
    BOOST_TEST(solo.node->leader() == "b");
    solo.now += LONG_MS;
    solo.stepUnsynced(ReadRequest{1});
    BOOST_TEST(solo.node->leader().empty());
    BOOST_TEST(solo.out.reads.front().leader.empty());
}

BOOST_AUTO_TEST_CASE(a_learner_does_not_name_a_silent_leader)
{
    Solo solo(false);
    const Entry voters{1, 1, EntryKind::Voters, encodeMembership({{"b", "c"}, {"a"}})};
    solo.from("b", 1, Append{0, 0, {voters}, 1, 1, true});
    BOOST_TEST(solo.node->leader() == "b");
    solo.now += LONG_MS;
    solo.step(Tick{});
    BOOST_TEST(solo.node->leader().empty());
}

BOOST_AUTO_TEST_CASE(a_stall_of_the_disk_that_is_over_does_not_delay_elections)
{
    Solo solo;
    solo.now += LONG_MS;
    solo.stepUnsynced(Message{"b", "a", 7, VoteRequest{false, false, 1'000, 6}});
    solo.now += 4 * LONG_MS;
    solo.stepUnsynced(PersistDone{solo.out.persist.value().sequence});
    solo.from("c", 8, VoteRequest{false, false, 1'000, 6});
    BOOST_TEST(solo.node->nextDeadline().count - solo.now <= 4 * solo.options.electionTimeout.count);
}

BOOST_AUTO_TEST_CASE(no_pre_vote_is_granted_while_a_vote_is_synced)
{
    Solo solo;
    solo.now += LONG_MS;
    const VoteRequest preVote{true, false, 1'000, 6};
    solo.stepUnsynced(Message{"b", "a", 7, VoteRequest{false, false, 1'000, 6}});
    const std::uint64_t sequence = solo.out.persist.value().sequence;
    solo.stepUnsynced(Message{"c", "a", 8, preVote});
    BOOST_TEST(!solo.sent<VoteReply>().value().granted);
    solo.stepUnsynced(PersistDone{sequence});
    solo.stepUnsynced(Message{"c", "a", 8, preVote});
    BOOST_TEST(solo.sent<VoteReply>().value().granted);
}

BOOST_AUTO_TEST_CASE(failed_elections_lengthen_the_next_attempt_until_a_leader_is_heard)
{
    Solo solo;
    const auto attempt = [&solo] {
        solo.now = std::max(solo.now, solo.node->nextDeadline().count);
        solo.step(Tick{});
        solo.from("b", solo.node->term() + 1, VoteReply{true, true});
        BOOST_REQUIRE((solo.node->role() == Role::Candidate));
        return solo.node->nextDeadline().count - solo.now;
    };
    const std::int64_t timeout = solo.options.electionTimeout.count;
    BOOST_TEST(attempt() <= 2 * timeout);
    BOOST_TEST(attempt() >= 2 * timeout);
    BOOST_TEST(attempt() >= 4 * timeout);
    BOOST_TEST(attempt() <= 8 * timeout);
    solo.from("b", solo.node->term(), Append{1, 1, {}, 1, 1, false});
    BOOST_TEST(solo.node->nextDeadline().count - solo.now <= 2 * timeout);
}

BOOST_AUTO_TEST_CASE(a_leader_counts_itself_only_after_its_sync)
{
    Solo solo;
    solo.lead();
    solo.acknowledge("b", 2);
    solo.stepUnsynced(Propose{1, "x", std::nullopt});
    const std::uint64_t sequence = solo.out.persist.value().sequence;
    solo.stepUnsynced(Message{"b", "a", solo.node->term(), Solo::acknowledgement(3)});
    BOOST_TEST(solo.node->commitIndex() == 2U);
    solo.stepUnsynced(PersistDone{sequence});
    BOOST_TEST(solo.node->commitIndex() == 3U);
}

BOOST_AUTO_TEST_CASE(an_entry_of_an_older_term_is_not_committed_by_counting)
{
    Solo solo;
    solo.from("b", 1, Append{1, 1, {{2, 1, EntryKind::Command, "x"}}, 1, 1, false});
    solo.lead();
    solo.acknowledge("b", 2);
    BOOST_TEST(solo.node->commitIndex() == 1U);
    solo.acknowledge("b", 3);
    BOOST_TEST(solo.node->commitIndex() == 3U);
}

BOOST_AUTO_TEST_CASE(an_empty_disk_never_votes_under_an_old_identity)
{
    Solo solo(false);
    const Entry voters{1, 1, EntryKind::Voters, encodeMembership({{"a", "b", "c"}, {}})};
    solo.from("b", 1, Append{0, 0, {voters}, 1, 1, false});
    solo.restart();
    solo.now += LONG_MS;
    BOOST_TEST(!solo.votesFor("c", 7));
    BOOST_TEST((solo.node->nextDeadline() == base::NEVER));
    // As a learner of a current leader it has joined and may vote.
    solo.from("b", 8, Append{1, 1, {}, 1, 1, true});
    solo.now += LONG_MS;
    BOOST_TEST(solo.votesFor("c", 9));
}

BOOST_AUTO_TEST_CASE(a_leader_that_steps_down_reports_open_proposals_as_unknown)
{
    Solo solo;
    solo.lead();
    solo.acknowledge("b", 2);
    solo.step(Propose{1, "x", std::nullopt});
    solo.acknowledge("b", 3);
    BOOST_REQUIRE(solo.out.proposals.size() == 1U);
    BOOST_TEST((solo.out.proposals.front().status == ProposalStatus::Committed));
    solo.step(Propose{2, "y", std::nullopt});
    solo.step(Propose{3, "z", solo.node->term() + 1});
    BOOST_TEST((solo.out.proposals.front().reason == RejectReason::TermChanged));
    solo.from("c", solo.node->term() + 1, Append{2, solo.node->term(), {}, 2, 1, false});
    BOOST_REQUIRE(solo.out.proposals.size() == 1U);
    BOOST_TEST(solo.out.proposals.front().requestId == 2U);
    BOOST_TEST((solo.out.proposals.front().status == ProposalStatus::Unknown));
}

BOOST_AUTO_TEST_CASE(a_leader_without_contact_to_a_quorum_steps_down)
{
    Solo solo;
    solo.lead();
    solo.now += LONG_MS;
    solo.step(Tick{});
    BOOST_TEST((solo.node->role() == Role::Follower));
}

BOOST_AUTO_TEST_CASE(the_membership_changes_one_member_at_a_time)
{
    Solo solo;
    const auto reason = [&solo](ChangeKind change, const VoterId &id) {
        solo.step(ProposeVoters{1, change, id});
        return solo.out.proposals.empty() ? RejectReason::None : solo.out.proposals.front().reason;
    };
    solo.lead();
    BOOST_TEST((reason(ChangeKind::AddLearner, "d") == RejectReason::ChangeInProgress));
    solo.acknowledge("b", 2);
    BOOST_TEST((reason(ChangeKind::AddLearner, "b") == RejectReason::InvalidChange));
    BOOST_TEST((reason(ChangeKind::AddLearner, "d") == RejectReason::None));
    BOOST_TEST((reason(ChangeKind::Remove, "c") == RejectReason::ChangeInProgress));
    solo.acknowledge("b", 3);
    BOOST_TEST((reason(ChangeKind::Promote, "d") == RejectReason::NotCaughtUp));
    solo.acknowledge("d", 3);
    BOOST_TEST((reason(ChangeKind::Promote, "d") == RejectReason::None));
    BOOST_TEST(solo.node->membership().voters.size() == 4U);
    // Two of four voters are not a quorum.
    solo.acknowledge("b", 4);
    BOOST_TEST(solo.node->commitIndex() == 3U);
    solo.acknowledge("d", 4);
    BOOST_TEST(solo.node->commitIndex() == 4U);
}

BOOST_AUTO_TEST_CASE(a_single_voter_leads_commits_and_reads_alone)
{
    Solo solo(true, {"a"});
    solo.now += LONG_MS;
    solo.step(Tick{});
    BOOST_TEST((solo.node->role() == Role::Leader));
    solo.step(Propose{1, "x", std::nullopt});
    BOOST_REQUIRE(solo.out.proposals.size() == 1U);
    BOOST_TEST(solo.out.proposals.front().index == 3U);
    BOOST_TEST(solo.out.committed.back().payload == "x");
    solo.step(ReadRequest{2});
    BOOST_REQUIRE(solo.out.reads.size() == 1U);
    BOOST_TEST(solo.out.reads.front().index == 3U);
    solo.now += LONG_MS;
    solo.step(Tick{});
    BOOST_TEST((solo.node->role() == Role::Leader));
}

BOOST_AUTO_TEST_CASE(a_leader_whose_log_is_full_rejects_proposals_until_a_snapshot_replaces_entries)
{
    constexpr std::size_t PAYLOAD = 1'000;
    Solo solo(true, {"a"});
    solo.options.maxLogBytes = 2 * PAYLOAD;
    solo.options.keptBytes = PAYLOAD;
    solo.restart();
    solo.now += LONG_MS;
    solo.step(Tick{});
    const auto status = [&solo] {
        solo.step(Propose{1, std::string(PAYLOAD, 'x'), std::nullopt});
        return solo.out.proposals.front();
    };
    BOOST_TEST((status().status == ProposalStatus::Committed));
    BOOST_TEST((status().status == ProposalStatus::Committed));
    BOOST_TEST((status().reason == RejectReason::LogFull));
    solo.step(Compact{solo.node->commitIndex(), "state"});
    BOOST_TEST(solo.node->logBytes() <= PAYLOAD);
    BOOST_TEST((status().status == ProposalStatus::Committed));
}

BOOST_AUTO_TEST_CASE(a_member_is_sent_a_bounded_number_of_bytes_ahead_of_its_acknowledgement)
{
    constexpr std::size_t PAYLOAD = 1'000;
    constexpr std::size_t ENTRIES = 20;
    Solo solo;
    solo.options.maxInflightBytes = 4 * PAYLOAD;
    solo.options.maxBatchBytes = PAYLOAD;
    solo.restart();
    solo.lead();
    solo.acknowledge("b", 2);
    const auto sentTo = [&solo](const VoterId &id) {
        std::size_t bytes = 0;
        for (const Message &it : solo.out.messages) {
            const auto *append = std::get_if<Append>(&it.body);
            for (std::size_t n = 0; it.to == id && append != nullptr && n < append->entries.size(); ++n) {
                bytes += append->entries[n].payload.size();
            }
        }
        return bytes;
    };
    std::size_t bytes = 0;
    for (std::size_t n = 0; n < ENTRIES; ++n) {
        solo.step(Propose{n, std::string(PAYLOAD, 'x'), std::nullopt});
        bytes += sentTo("b");
    }
    BOOST_TEST(bytes == 4 * PAYLOAD);
    // Each acknowledgement lets as much follow, until all is sent.
    for (std::uint64_t acknowledged = 6; bytes < ENTRIES * PAYLOAD && acknowledged < ENTRIES + 2; acknowledged += 4) {
        solo.acknowledge("b", acknowledged);
        BOOST_TEST(sentTo("b") <= 4 * PAYLOAD);
        bytes += sentTo("b");
    }
    BOOST_TEST(bytes == ENTRIES * PAYLOAD);
}
