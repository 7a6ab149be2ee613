/**
 * Messages between a holder, which admits requests on one VM, and the authority, which keeps the token buckets of all
 * organisations. A holder has at most one token request in flight and resends it until the reply arrives; the authority
 * processes each sequence number of a session once.
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

/** @brief A number of tokens; prompt and generated tokens count alike. */
using Tokens = std::int64_t;

/** @brief The maximum number of tokens of a request, a rate or a burst. */
inline constexpr Tokens MAX_TOKENS = 1'000'000'000;

/** @brief The rate limit of an organisation. */
struct Limit {
    std::string organisation;
    // Tokens per second, from 1 to MAX_TOKENS.
    Tokens rate = 1;
    // The capacity of the bucket in tokens, from 0 to MAX_TOKENS.
    Tokens burst = 0;
};

/** @brief Identifies a session, a sequence of grants to one holder; a later session compares greater. */
struct SessionId {
    // Increases with every start of the process.
    std::uint64_t incarnation = 0;
    // Increases whenever a session ends within one process.
    std::uint64_t number = 0;

    friend constexpr auto operator<=>(const SessionId &, const SessionId &) noexcept = default;
};

/** @brief Tokens spent from grants within a short interval. */
struct Spend {
    Tokens tokens = 0;
    // Time from the latest of these spends to the first transmission of the request, in milliseconds of the holder's
    // clock.
    base::Millis age;
};

/** @brief Reserved tokens that a settled request did not use. */
struct Refund {
    // Identifies the spend.
    std::uint64_t mark = 0;
    Tokens tokens = 0;
};

/** @brief One organisation's part of a token request; covers the time since the session's previous request. */
struct TokenRequestEntry {
    std::string organisation;
    // Tokens spent from the session's grants, in chronological order.
    std::vector<Spend> spends;
    // Unspent tokens given back; the holder has already stopped using them.
    Tokens returned = 0;
    // Tokens used beyond an estimate and not covered by a grant.
    Tokens debt = 0;
    std::vector<Refund> refunds;
    // The estimates of the waiting requests, in order of arrival.
    std::vector<Tokens> needs;
    // Additional tokens that the holder expects to use soon.
    Tokens desired = 0;
};

/** @brief A holder's report and request for tokens, over all of its organisations. */
struct TokenRequest {
    std::string holder;
    SessionId session;
    // The term of the authority that opened the session; 0 before its first reply.
    std::uint64_t term = 0;
    // Starts at 1 in each session.
    std::uint64_t sequence = 0;
    std::vector<TokenRequestEntry> entries;
};

/** @brief The admission decision on one request. */
enum class AdmissionDecision { Admitted, Waiting, Refused };

/** @brief The names of the decisions on the wire. */
inline constexpr auto ADMISSION_DECISION_NAMES = base::makeNames<AdmissionDecision>("admitted", "waiting", "refused");

/** @brief The decision on one of TokenRequestEntry::needs. */
struct NeedReply {
    AdmissionDecision decision = AdmissionDecision::Waiting;
    // Refusals only: milliseconds until enough tokens are available; base::NEVER if the need exceeds the burst.
    base::Millis retryAfter;
};

/** @brief One organisation's part of a reply. */
struct TokenReplyEntry {
    std::string organisation;
    // The mark of the first reported spend, for later refunds; the others are numbered consecutively.
    std::uint64_t firstMark = 0;
    // Granted tokens: those of the admitted needs, plus an advance for later requests.
    Tokens granted = 0;
    // In the order of TokenRequestEntry::needs.
    std::vector<NeedReply> needs;
    // Another holder is short of tokens; unspent ones must be returned.
    bool recall = false;
};

/** @brief The result of processing a token request. */
enum class TokenRequestStatus {
    // The request was processed.
    Processed,
    // The session is unknown or closed; the holder must open a new one.
    UnknownSession,
    // The request repeats an earlier one; the reply must be ignored.
    Outdated
};

/** @brief The names of the statuses on the wire. */
inline constexpr auto TOKEN_REQUEST_STATUS_NAMES =
    base::makeNames<TokenRequestStatus>("done", "unknown_session", "outdated");

/** @brief The authority's reply to one token request. */
struct TokenReply {
    std::string holder;
    SessionId session;
    std::uint64_t term = 0;
    std::uint64_t sequence = 0;
    TokenRequestStatus status = TokenRequestStatus::Processed;
    // The session's grants expire this long after the request was first sent, in milliseconds.
    base::Millis lease;
    std::vector<TokenReplyEntry> entries;
};

/** @brief One organisation's part of a ceiling. */
struct CeilingEntry {
    std::string organisation;
    // The bucket's level, including outstanding tokens.
    Tokens level = 0;
    // The maximum number of tokens that holders may have until the next entry: outstanding tokens plus the reserve.
    Tokens exposure = 0;
};

/** @brief A record for the replicated log; each entry replaces the organisation's earlier one. */
struct Ceiling {
    std::uint64_t number = 0;
    std::vector<CeilingEntry> entries;
};

} // namespace bamboomoor::budget
