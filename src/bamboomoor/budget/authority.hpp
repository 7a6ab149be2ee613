/**
 * The authority over budgets: it runs at the leader of the control group, keeps one bucket per organisation and grants
 * tokens to holders. Tokens granted and not yet reported as spent count against the level, so that holders together
 * never spend what the bucket does not hold. It grants no more than a ceiling in the replicated log has reserved.
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

/** @brief The settings of an authority. */
struct AuthorityOptions {
    // The term of the leader, at least 1; a later authority has a greater one.
    std::uint64_t term = 1;
    // The most by which any clock runs fast or slow, in thousandths.
    std::int64_t driftPermille = 10;
    // The time after a holder's ask at which its grants end, in milliseconds.
    base::Millis lease{2'000};
    // How long a committed ceiling lets the authority grant, from the moment it was asked for; in milliseconds.
    base::Millis authorityLease{3'000};
    // The longest time after a lack of tokens in which no more than the needs is granted, in milliseconds.
    base::Millis scarcity{200};
    // The least time between two ceilings that only raise what a following authority finds, in milliseconds.
    base::Millis ceilingInterval{1'000};
};

/** @brief Keeps the buckets and answers the asks of holders. */
class Authority
{
public:
    /**
     * @brief Takes over.
     * @param options The settings.
     * @param now The present time.
     * @param ceilings The latest replicated entry of each organisation, read when every entry of earlier terms has been
     * applied; an organisation without one starts with a full bucket.
     */
    Authority(const AuthorityOptions &options, base::Millis now, const std::vector<CeilingEntry> &ceilings);

    /**
     * @brief Replaces the limits.
     * @param now The present time.
     * @param limits All organisations; one that is missing gets no further grants.
     */
    void setLimits(base::Millis now, const std::vector<Limit> &limits);

    /**
     * @brief Answers an ask; the same sequence number gets the same reply again.
     * @param now The present time.
     * @param ask The ask.
     * @return The reply to send back.
     */
    [[nodiscard]] Reply onAsk(base::Millis now, const Ask &ask);

    /**
     * @brief Ends the sessions whose lease has passed; their unreported tokens count as spent.
     * @param now The present time.
     */
    void tick(base::Millis now);

    /**
     * @brief Asks for a record to replicate.
     * @param now The present time.
     * @return The next ceiling, or nothing while one is under way or none is needed.
     */
    [[nodiscard]] std::optional<Ceiling> ceilingWanted(base::Millis now);

    /**
     * @brief Takes note that a ceiling is committed; only while one is not too old, tokens are granted.
     * @param number Its number.
     */
    void onCeilingCommitted(std::uint64_t number);

    /**
     * @brief Takes note that the outcome of a ceiling is not known; it may still be committed.
     * @param number Its number.
     */
    void onCeilingUnknown(std::uint64_t number);

    /**
     * @brief Reads what can be granted of an organisation's bucket, for metrics.
     * @param now The present time.
     * @param organisation The organisation.
     * @return Tokens, 0 for an unknown organisation.
     */
    [[nodiscard]] Tokens available(base::Millis now, const std::string &organisation) const;

    /**
     * @brief Reads what holders have been granted and have not reported as spent, for metrics.
     * @param organisation The organisation.
     * @return Tokens, 0 for an unknown organisation.
     */
    [[nodiscard]] Tokens outstanding(const std::string &organisation) const;

private:
    struct Account {
        std::optional<Bucket> bucket;
        bool known = false;
        // The sum over all sessions; level − outstanding >= 0 after every grant.
        Tokens outstanding = 0;
        // The part of it that holders of earlier authorities may have in hand.
        Tokens inherited = 0;
        // What the committed ceiling still allows to grant.
        Tokens reserve = 0;
        // Level less exposure of the latest ceiling proposed here, or else of the one found in the log.
        std::optional<Tokens> recorded;
        // One of the ceilings proposed here names this organisation.
        bool proposed = false;
        // The greatest need that the reserve did not cover.
        Tokens lacking = 0;
        bool used = false;
        base::Millis scarceUntil{0};
        base::Millis proposedAt{0};
    };

    struct Session {
        SessionId id;
        // Of the latest ask carried out.
        std::uint64_t sequence = 0;
        // Its lease passed with tokens outstanding.
        bool closed = false;
        base::Millis expiry;
        std::map<std::string, Tokens> outstanding;
        Reply reply;
    };

    struct Proposal {
        std::uint64_t number = 0;
        // What it allows to grant, less what has been granted since it was made.
        std::map<std::string, Tokens> reserves;
    };

    [[nodiscard]] Tokens spare(base::Millis now, const Account &account) const;
    [[nodiscard]] Tokens granting(base::Millis now, const std::string &organisation, const Account &account) const;
    [[nodiscard]] bool isConfirmed(base::Millis now) const noexcept;
    [[nodiscard]] Tokens reserved(const std::string &organisation, const Account &account) const;
    [[nodiscard]] ReplyEntry answer(base::Millis now, Session &session, const AskEntry &entry);
    void applyReport(base::Millis now, Session &session, Account &account, const AskEntry &entry, ReplyEntry &reply);
    void answerNeeds(base::Millis now, Account &account, const AskEntry &entry, ReplyEntry &reply);
    [[nodiscard]] NeedReply answerNeed(
        base::Millis now, Account &account, const std::string &organisation, Tokens need, Tokens &promised);
    void grant(Account &account, const std::string &organisation, Tokens tokens);
    // Counts the session's outstanding tokens as spent; tells whether there were any.
    bool charge(base::Millis now, const Session &session);
    void openAccount(const Limit &limit);
    [[nodiscard]] base::Millis surelyPassed(base::Millis age) const noexcept;
    [[nodiscard]] bool wantsCeiling(base::Millis now, const std::string &organisation, const Account &account) const;

    AuthorityOptions m_options;
    base::Millis m_now;
    // By then, every grant of an earlier authority has ended.
    base::Millis m_inheritedUntil;
    std::map<std::string, CeilingEntry> m_inherited;
    std::map<std::string, Account> m_accounts;
    // By holder.
    std::map<std::string, Session> m_sessions;
    // Not yet past their lease: sessions replaced by a later one of the same holder, and, without a holder, those of
    // earlier authorities.
    std::vector<Session> m_orphans;
    // Those not known to be committed, by growing number; each may be the one that a following authority reads.
    std::vector<Proposal> m_proposals;
    std::uint64_t m_lastNumber = 0;
    base::Millis m_lastProposedAt;
    // When the latest committed ceiling was proposed.
    std::optional<base::Millis> m_confirmedAt;
    // Tokens were asked for and not granted for want of a recent ceiling.
    bool m_renewalWanted = false;
    bool m_underWay = false;
};

} // namespace bamboomoor::budget
