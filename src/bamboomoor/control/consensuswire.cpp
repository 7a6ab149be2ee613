/**
 * Implements the conversion between consensus messages and their protobuf messages.
 */
#include "bamboomoor/control/consensuswire.hpp"

#include <variant>

namespace bamboomoor::control
{

namespace
{

using peer::wire::Envelope;

void put(Envelope &envelope, const consensus::VoteRequest &from)
{
    auto *to = envelope.mutable_vote_request();
    to->set_pre_vote(from.preVote);
    to->set_transfer(from.transfer);
    to->set_last_index(from.lastIndex);
    to->set_last_term(from.lastTerm);
}

void put(Envelope &envelope, const consensus::VoteReply &from)
{
    auto *to = envelope.mutable_vote_reply();
    to->set_pre_vote(from.preVote);
    to->set_granted(from.granted);
}

void put(Envelope &envelope, const consensus::Append &from)
{
    auto *to = envelope.mutable_append();
    to->set_prev_index(from.prevIndex);
    to->set_prev_term(from.prevTerm);
    to->set_commit_index(from.commitIndex);
    to->set_round(from.round);
    to->set_to_learner(from.toLearner);
    for (const consensus::Entry &it : from.entries) {
        auto *entry = to->add_entries();
        entry->set_index(it.index);
        entry->set_term(it.term);
        entry->set_kind(static_cast<std::uint32_t>(it.kind));
        entry->set_payload(it.payload.str());
    }
}

void put(Envelope &envelope, const consensus::AppendReply &from)
{
    auto *to = envelope.mutable_append_reply();
    to->set_success(from.success);
    to->set_prev_index(from.prevIndex);
    to->set_match_index(from.matchIndex);
    to->set_received_index(from.receivedIndex);
    to->set_conflict_term(from.conflictTerm);
    to->set_conflict_index(from.conflictIndex);
    to->set_round(from.round);
}

void put(Envelope &envelope, const consensus::InstallSnapshot &from)
{
    auto *to = envelope.mutable_install_snapshot();
    to->set_index(from.index);
    to->set_snapshot_term(from.snapshotTerm);
    to->mutable_voters()->Add(from.voters.begin(), from.voters.end());
    to->mutable_learners()->Add(from.learners.begin(), from.learners.end());
    to->set_offset(from.offset);
    to->set_data(from.data);
    to->set_done(from.done);
    to->set_round(from.round);
    to->set_to_learner(from.toLearner);
}

void put(Envelope &envelope, const consensus::SnapshotReply &from)
{
    auto *to = envelope.mutable_snapshot_reply();
    to->set_index(from.index);
    to->set_received(from.received);
    to->set_round(from.round);
}

void put(Envelope &envelope, const consensus::TimeoutNow & /*from*/)
{
    envelope.mutable_timeout_now();
}

std::optional<consensus::Append> take(const peer::wire::Append &from)
{
    consensus::Append to{from.prev_index(), from.prev_term(), {}, from.commit_index(), from.round(), from.to_learner()};
    for (const auto &it : from.entries()) {
        if (it.kind() >= consensus::ENTRY_KIND_NAMES.size()) {
            return std::nullopt;
        }
        to.entries.push_back({it.index(), it.term(), static_cast<consensus::EntryKind>(it.kind()), it.payload()});
    }
    return to;
}

consensus::AppendReply take(const peer::wire::AppendReply &from)
{
    return {from.success(), from.prev_index(), from.match_index(), from.received_index(), from.conflict_term(),
        from.conflict_index(), from.round()};
}

consensus::InstallSnapshot take(const peer::wire::InstallSnapshot &from)
{
    return {from.index(), from.snapshot_term(), {from.voters().begin(), from.voters().end()},
        {from.learners().begin(), from.learners().end()}, from.offset(), from.data(), from.done(), from.round(),
        from.to_learner()};
}

std::optional<consensus::MessageBody> takeBody(const Envelope &envelope)
{
    switch (envelope.body_case()) {
    case Envelope::kVoteRequest: {
        const auto &from = envelope.vote_request();
        return consensus::VoteRequest{from.pre_vote(), from.transfer(), from.last_index(), from.last_term()};
    }
    case Envelope::kVoteReply:
        return consensus::VoteReply{envelope.vote_reply().pre_vote(), envelope.vote_reply().granted()};
    case Envelope::kAppend:
        return take(envelope.append());
    case Envelope::kAppendReply:
        return take(envelope.append_reply());
    case Envelope::kInstallSnapshot:
        return take(envelope.install_snapshot());
    case Envelope::kSnapshotReply: {
        const auto &from = envelope.snapshot_reply();
        return consensus::SnapshotReply{from.index(), from.received(), from.round()};
    }
    case Envelope::kTimeoutNow:
        return consensus::TimeoutNow{};
    case Envelope::BODY_NOT_SET:
        return std::nullopt;
    }
    return std::nullopt;
}

} // namespace

Envelope toWire(const consensus::Message &message)
{
    Envelope envelope;
    envelope.set_from(message.from);
    envelope.set_to(message.to);
    envelope.set_term(message.term);
    std::visit(
        [&envelope](const auto &body) {
            put(envelope, body);
        },
        message.body);
    return envelope;
}

std::optional<consensus::Message> fromWire(const Envelope &envelope)
{
    auto body = takeBody(envelope);
    if (!body) {
        return std::nullopt;
    }
    return consensus::Message{envelope.from(), envelope.to(), envelope.term(), *std::move(body)};
}

} // namespace bamboomoor::control
