/**
 * The messages between a holder, which admits requests on one VM, and the authority, which keeps the one token bucket
 * of every organisation. A holder has at most one ask under way and sends it again until it is answered; the authority
 * carries out each sequence number of a session once.
 */
#pragma once

#include "bamboomoor/base/clock.hpp"
#include "bamboomoor/base/nametable.hpp"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace bamboomoor::budget
{

/** @brief A number of tokens, prompt and generated together. */
using Tokens = std::int64_t;

/** @brief The most tokens that one request, rate or burst may name. */
inline constexpr Tokens MAX_TOKENS = 1'000'000'000;

/** @brief What an organisation is owed. */
struct Limit {
    std::string organisation;
    // Tokens a second, from 1 to MAX_TOKENS.
    Tokens rate = 1;
    // Tokens that a full bucket holds, from 0 to MAX_TOKENS.
    Tokens burst = 0;
};

/** @brief Identifies one run of grants of one holder; a later session compares greater. */
struct SessionId {
    // Grows with every start of the process.
    std::uint64_t incarnation = 0;
    // Grows whenever a session ends within one process.
    std::uint64_t number = 0;

    friend constexpr auto operator<=>(const SessionId &, const SessionId &) noexcept = default;
};

/** @brief Tokens spent from grants at about one time. */
struct Spend {
    Tokens tokens = 0;
    // Time from the latest of them to the first sending of the ask, in milliseconds of the holder's clock.
    base::Millis age;
};

/** @brief Tokens of settled requests that turned out not to be needed. */
struct Refund {
    // The number of the spend.
    std::uint64_t mark = 0;
    Tokens tokens = 0;
};

/** @brief One organisation's part of an ask; everything in it counts since the session's previous ask. */
struct AskEntry {
    std::string organisation;
    // Spent from the session's grants, in the order of time.
    std::vector<Spend> spends;
    // Unspent tokens handed back; the holder has already stopped using them.
    Tokens returned = 0;
    // Used beyond an estimate and not covered by a grant.
    Tokens debt = 0;
    std::vector<Refund> refunds;
    // The waiting requests, in the order of their arrival.
    std::vector<Tokens> needs;
    // Further tokens that the holder expects to use soon.
    Tokens wanted = 0;
};

/** @brief What a holder reports and asks for, over all of its organisations. */
struct Ask {
    std::string holder;
    SessionId session;
    // The term of the authority that answered this session first, 0 before.
    std::uint64_t term = 0;
    // Counts from 1 within a session.
    std::uint64_t sequence = 0;
    std::vector<AskEntry> entries;
};

/** @brief The decision on one request. */
enum class Verdict { Admitted, Waiting, Refused };

/** @brief The names of the verdicts. */
inline constexpr auto VERDICT_NAMES = base::makeNames<Verdict>("admitted", "waiting", "refused");

/** @brief The answer to one of AskEntry::needs. */
struct NeedReply {
    Verdict verdict = Verdict::Waiting;
    // For a refusal: milliseconds until enough tokens are there; base::NEVER if the burst is too small.
    base::Millis retryAfter;
};

/** @brief One organisation's part of a reply. */
struct ReplyEntry {
    std::string organisation;
    // Names the first of the reported spends in later refunds; the others have the following numbers.
    std::uint64_t firstMark = 0;
    // Granted tokens: the admitted needs and what is left over for later requests.
    Tokens granted = 0;
    // In the order of AskEntry::needs.
    std::vector<NeedReply> needs;
    // Another holder lacks tokens: unspent ones are to be returned.
    bool recall = false;
};

/** @brief How the authority took an ask. */
enum class AskStatus {
    // Carried out.
    Done,
    // The session is not known: the holder opens a new one.
    UnknownSession,
    // Repetition of an earlier ask, to be ignored.
    Outdated
};

/** @brief The names of the statuses. */
inline constexpr auto ASK_STATUS_NAMES = base::makeNames<AskStatus>("done", "unknown_session", "outdated");

/** @brief The authority's answer to one ask. */
struct Reply {
    std::string holder;
    SessionId session;
    std::uint64_t term = 0;
    std::uint64_t sequence = 0;
    AskStatus status = AskStatus::Done;
    // The session's grants end this long after the ask was sent, in milliseconds.
    base::Millis lease;
    std::vector<ReplyEntry> entries;
};

/** @brief One organisation's part of a ceiling. */
struct CeilingEntry {
    std::string organisation;
    // The bucket's level, with outstanding tokens still in it.
    Tokens level = 0;
    // The most that holders may have in hand until the next entry: outstanding tokens and the reserve to be granted.
    Tokens exposure = 0;
};

/** @brief A record for the replicated log; it replaces the organisations' earlier entries. */
struct Ceiling {
    std::uint64_t number = 0;
    std::vector<CeilingEntry> entries;
};

} // namespace bamboomoor::budget
