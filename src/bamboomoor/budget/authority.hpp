/**
 * The budget authority. It runs on the leader of the control group, keeps one token bucket per organisation and grants
 * tokens to holders. Granted tokens that have not been reported as spent are deducted from the available level, so that
 * all holders together never spend more than the bucket contains. The authority never grants more than a ceiling
 * committed to the replicated log has reserved.
 */
#pragma once

#include "bamboomoor/base/clock.hpp"
#include "bamboomoor/budget/bucket.hpp"
#include "bamboomoor/budget/messages.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bamboomoor::budget
{

/** @brief Settings of an authority. */
struct AuthorityOptions {
    // The Raft term of the leader, at least 1; a later authority has a greater one.
    std::uint64_t term = 1;
    // The maximum rate error of any clock, in thousandths.
    std::int64_t driftPermille = 10;
    // How long a holder's grants are valid, counted from its token request, in milliseconds.
    base::Millis lease{2'000};
    // How long the authority may grant after a time at which it is known to have led, in milliseconds.
    base::Millis authorityLease{3'000};
    // After a shortage, only tokens for waiting requests are granted for this time, in milliseconds.
    base::Millis scarcityPeriod{200};
    // The minimum interval between ceilings that only raise the level a succeeding authority starts from, in
    // milliseconds.
    base::Millis ceilingInterval{1'000};
};

/** @brief Keeps the token buckets and answers the token requests of holders. Not thread-safe. */
class Authority
{
public:
    /**
     * @brief Takes over from the authority of the previous term.
     * @param options The settings.
     * @param now The current time.
     * @param ceilings The latest replicated entry of each organisation, read after all log entries of earlier terms
     * have been applied; an organisation without one starts with a full bucket.
     */
    Authority(const AuthorityOptions &options, base::Millis now, const std::vector<CeilingEntry> &ceilings);

    /**
     * @brief Replaces the limits of all organisations.
     * @param now The current time.
     * @param limits The limits of all organisations; an organisation missing from the list gets no further grants.
     */
    void setLimits(base::Millis now, const std::vector<Limit> &limits);

    /**
     * @brief Processes a token request. A repeated sequence number gets the same reply again, without further effect.
     * @param now The current time.
     * @param request The token request.
     * @return The reply to send to the holder.
     */
    [[nodiscard]] TokenReply onRequest(base::Millis now, const TokenRequest &request);

    /**
     * @brief Closes sessions whose lease has expired; their outstanding tokens count as spent.
     * @param now The current time.
     */
    void tick(base::Millis now);

    /**
     * @brief Returns the next ceiling to replicate, if one is needed.
     * @param now The current time.
     * @return The ceiling, or nothing while a proposal is pending or no ceiling is needed.
     */
    [[nodiscard]] std::optional<Ceiling> nextCeiling(base::Millis now);

    /**
     * @brief Extends the authority's lease.
     * @param at A time at which this authority led: a quorum has since replied to it in its term.
     */
    void onLeadershipConfirmed(base::Millis at);

    /**
     * @brief Handles the commit of a ceiling, which also shows that the authority led when it was proposed.
     * @param now The current time.
     * @param number The number of the ceiling.
     */
    void onCeilingCommitted(base::Millis now, std::uint64_t number);

    /**
     * @brief Handles a ceiling whose outcome is unknown; it may still be committed.
     * @param number The number of the ceiling.
     */
    void onCeilingUnknown(std::uint64_t number);

    /**
     * @brief Returns the tokens of an organisation's bucket that are not yet granted, for metrics.
     * @param now The current time.
     * @param organisation The organisation.
     * @return Tokens, 0 for an unknown organisation.
     */
    [[nodiscard]] Tokens available(base::Millis now, const std::string &organisation) const;

    /**
     * @brief Returns the tokens granted to holders and neither returned nor reported as spent, for metrics.
     * @param organisation The organisation.
     * @return Tokens, 0 for an unknown organisation.
     */
    [[nodiscard]] Tokens outstanding(const std::string &organisation) const;

private:
    struct Account {
        std::optional<Bucket> bucket;
        bool configured = false;
        // The sum over all sessions. Invariant: level − outstanding >= 0 after every grant.
        Tokens outstanding = 0;
        // The part of `outstanding` that was granted by earlier authorities.
        Tokens inherited = 0;
        // Tokens that the committed ceiling still allows to grant.
        Tokens reserve = 0;
        // Level minus exposure of the latest ceiling proposed by this authority, or else of the one found in the log.
        std::optional<Tokens> recorded;
        // This authority has proposed a ceiling for this organisation.
        bool proposed = false;
        // The largest need that the reserve did not cover.
        Tokens uncoveredNeed = 0;
        bool used = false;
        base::Millis scarceUntil{0};
        base::Millis proposedAt{0};
    };

    struct Session {
        SessionId id;
        // The sequence number of the latest processed request.
        std::uint64_t sequence = 0;
        // The lease expired while tokens were outstanding.
        bool closed = false;
        base::Millis expiry;
        std::map<std::string, Tokens> outstanding;
        TokenReply reply;
    };

    struct Proposal {
        std::uint64_t number = 0;
        // Tokens that the ceiling allows to grant, minus those granted since its proposal, by organisation.
        std::map<std::string, Tokens> reserves;
    };

    [[nodiscard]] Tokens ungranted(base::Millis now, const Account &account) const;
    [[nodiscard]] Tokens grantable(base::Millis now, const std::string &organisation, const Account &account) const;
    [[nodiscard]] bool isConfirmed(base::Millis now) const noexcept;
    [[nodiscard]] Tokens reserved(const std::string &organisation, const Account &account) const;
    [[nodiscard]] TokenReplyEntry processEntry(base::Millis now, Session &session, const TokenRequestEntry &entry);
    void applyReport(
        base::Millis now, Session &session, Account &account, const TokenRequestEntry &entry, TokenReplyEntry &reply);
    void decideNeeds(base::Millis now, Account &account, const TokenRequestEntry &entry, TokenReplyEntry &reply);
    [[nodiscard]] NeedReply decideNeed(
        base::Millis now, Account &account, const std::string &organisation, Tokens need, Tokens &promised);
    void grant(Account &account, const std::string &organisation, Tokens tokens);
    // Counts the session's outstanding tokens as spent; returns whether there were any.
    bool chargeOutstanding(base::Millis now, const Session &session);
    void openAccount(const Limit &limit);
    [[nodiscard]] base::Millis minElapsed(base::Millis age) const noexcept;
    [[nodiscard]] Tokens usualReserve(const Limit &limit) const;
    [[nodiscard]] bool needsCeiling(base::Millis now, const std::string &organisation, const Account &account) const;

    AuthorityOptions m_options;
    base::Millis m_now;
    // All grants of earlier authorities have expired by this time.
    base::Millis m_inheritedUntil;
    std::map<std::string, CeilingEntry> m_inherited;
    std::map<std::string, Account> m_accounts;
    // By holder name.
    std::map<std::string, Session> m_sessions;
    // Sessions whose lease has not expired yet: those replaced by a later session of the same holder, and one entry
    // without a holder for the grants of earlier authorities in each organisation.
    std::vector<Session> m_orphans;
    // Proposals not known to be committed, by ascending number. A succeeding authority may read any of them.
    std::vector<Proposal> m_proposals;
    std::uint64_t m_lastNumber = 0;
    base::Millis m_lastProposedAt;
    // The latest time at which this authority is known to have led.
    std::optional<base::Millis> m_confirmedAt;
    // Recent duration of a commit; falls by half with each shorter one.
    base::Millis m_commitTime;
    // Tokens were requested and not granted, or are expected to be needed, so the ceiling has to be renewed.
    bool m_renewalNeeded = false;
    bool m_proposalPending = false;
};

} // namespace bamboomoor::budget
