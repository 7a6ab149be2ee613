/**
 * Implements the conversion between budget messages and their protobuf messages.
 */
#include "bamboomoor/control/budgetwire.hpp"

#include <algorithm>

namespace bamboomoor::control
{

namespace
{

/** @brief Converts an enum value from a peer; values out of range become `otherwise`. */
template<class Enum, class Table>
Enum readEnum(std::uint32_t value, const Table &names, Enum otherwise)
{
    return value < names.size() ? static_cast<Enum>(value) : otherwise;
}

budget::TokenRequestEntry takeEntry(const peer::wire::BudgetAskEntry &from)
{
    budget::TokenRequestEntry entry;
    entry.organisation = from.organisation();
    for (const auto &it : from.spends()) {
        entry.spends.push_back({it.tokens(), {it.age_ms()}});
    }
    entry.returned = from.returned();
    entry.debt = from.debt();
    for (const auto &it : from.refunds()) {
        entry.refunds.push_back({it.mark(), it.tokens()});
    }
    entry.needs.assign(from.needs().begin(), from.needs().end());
    entry.desired = from.wanted();
    return entry;
}

budget::TokenReplyEntry takeEntry(const peer::wire::BudgetReplyEntry &from)
{
    budget::TokenReplyEntry entry;
    entry.organisation = from.organisation();
    entry.firstMark = from.first_mark();
    entry.granted = from.granted();
    for (const auto &it : from.needs()) {
        entry.needs.push_back(
            {readEnum(it.verdict(), budget::ADMISSION_DECISION_NAMES, budget::AdmissionDecision::Waiting),
                {it.retry_after_ms()}});
    }
    entry.recall = from.recall();
    return entry;
}

} // namespace

peer::wire::BudgetAsk toWire(const budget::TokenRequest &ask)
{
    peer::wire::BudgetAsk to;
    to.set_holder(ask.holder);
    to.set_incarnation(ask.session.incarnation);
    to.set_session(ask.session.number);
    to.set_term(ask.term);
    to.set_sequence(ask.sequence);
    for (const budget::TokenRequestEntry &it : ask.entries) {
        auto *entry = to.add_entries();
        entry->set_organisation(it.organisation);
        for (const budget::Spend &spend : it.spends) {
            auto *wire = entry->add_spends();
            wire->set_tokens(spend.tokens);
            wire->set_age_ms(spend.age.count);
        }
        entry->set_returned(it.returned);
        entry->set_debt(it.debt);
        for (const budget::Refund &refund : it.refunds) {
            auto *wire = entry->add_refunds();
            wire->set_mark(refund.mark);
            wire->set_tokens(refund.tokens);
        }
        entry->mutable_needs()->Add(it.needs.begin(), it.needs.end());
        entry->set_wanted(it.desired);
    }
    return to;
}

peer::wire::BudgetReply toWire(const budget::TokenReply &reply)
{
    peer::wire::BudgetReply to;
    to.set_served(true);
    to.set_holder(reply.holder);
    to.set_incarnation(reply.session.incarnation);
    to.set_session(reply.session.number);
    to.set_term(reply.term);
    to.set_sequence(reply.sequence);
    to.set_status(static_cast<std::uint32_t>(reply.status));
    to.set_lease_ms(reply.lease.count);
    for (const budget::TokenReplyEntry &it : reply.entries) {
        auto *entry = to.add_entries();
        entry->set_organisation(it.organisation);
        entry->set_first_mark(it.firstMark);
        entry->set_granted(it.granted);
        entry->set_recall(it.recall);
        for (const budget::NeedReply &need : it.needs) {
            auto *wire = entry->add_needs();
            wire->set_verdict(static_cast<std::uint32_t>(need.decision));
            wire->set_retry_after_ms(need.retryAfter.count);
        }
    }
    return to;
}

budget::TokenRequest fromWire(const peer::wire::BudgetAsk &ask)
{
    budget::TokenRequest to;
    to.holder = ask.holder();
    to.session = {ask.incarnation(), ask.session()};
    to.term = ask.term();
    to.sequence = ask.sequence();
    std::transform(ask.entries().begin(), ask.entries().end(), std::back_inserter(to.entries), [](const auto &it) {
        return takeEntry(it);
    });
    return to;
}

budget::TokenReply fromWire(const peer::wire::BudgetReply &reply)
{
    budget::TokenReply to;
    to.holder = reply.holder();
    to.session = {reply.incarnation(), reply.session()};
    to.term = reply.term();
    to.sequence = reply.sequence();
    to.status = readEnum(reply.status(), budget::TOKEN_REQUEST_STATUS_NAMES, budget::TokenRequestStatus::Outdated);
    to.lease = {reply.lease_ms()};
    std::transform(reply.entries().begin(), reply.entries().end(), std::back_inserter(to.entries), [](const auto &it) {
        return takeEntry(it);
    });
    return to;
}

} // namespace bamboomoor::control
