/**
 * The holder of token grants on one VM. It admits requests against granted tokens, requests missing tokens from the
 * authority, reports spent tokens and returns idle ones. Invariant: grants expire by the holder's clock before the
 * authority counts them as spent.
 */
#pragma once

#include "bamboomoor/base/clock.hpp"
#include "bamboomoor/budget/messages.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace bamboomoor::budget
{

/** @brief Settings of a holder. */
struct HolderOptions {
    // Unique among all VMs.
    std::string name;
    // Increases with every start of the process.
    std::uint64_t incarnation = 1;
    // The maximum rate error of any clock, in thousandths.
    std::int64_t driftPermille = 10;
    // A token request without a reply is resent after this time at least, in milliseconds: twice as long as replies
    // take, and doubled with each resend up to maxResendTimeout, or holders would keep a busy authority busy.
    base::Millis resendTimeout{20};
    base::Millis maxResendTimeout{160};
    // The maximum time between a spend and its report, in milliseconds.
    base::Millis reportInterval{25};
    // Tokens are returned after this time without a spend, in milliseconds.
    base::Millis idleTimeout{250};
    // The delay before tokens are requested again for a waiting request, in milliseconds.
    base::Millis retryDelay{5};
    // A request that has waited this long for tokens is refused, in milliseconds.
    base::Millis waitTimeout{1'000};
    // The maximum number of waiting requests of one organisation.
    std::size_t maxWaiting = 1'024;
};

/** @brief The admission state of one request. */
struct Admission {
    // Identifies the request in settle() and cancel().
    std::uint64_t reservation = 0;
    AdmissionDecision decision = AdmissionDecision::Waiting;
    // Refusals only: milliseconds until the caller should retry; base::NEVER if the estimate exceeds the burst.
    base::Millis retryAfter;
    // Refusals only: false if nothing was decided in time, which says nothing about the rate.
    bool isDecided = true;
};

/** @brief Admits the requests of one VM. Not thread-safe. */
class Holder
{
public:
    /**
     * @brief Constructs a holder without grants.
     * @param options The settings.
     */
    explicit Holder(HolderOptions options);

    /**
     * @brief Admits a request, or queues it until the authority replies.
     * @param now The current time.
     * @param organisation The organisation whose tokens the request uses.
     * @param estimate The expected number of tokens of the request, at least 1.
     * @return The decision; a Waiting request is decided by a later onReply() or tick().
     */
    [[nodiscard]] Admission admit(base::Millis now, const std::string &organisation, Tokens estimate);

    /**
     * @brief Settles an admitted request; must be called once.
     * @param now The current time.
     * @param reservation The request; an unknown one is ignored.
     * @param actual The number of tokens used; 0 if the request did not run.
     */
    void settle(base::Millis now, std::uint64_t reservation, Tokens actual);

    /**
     * @brief Removes a waiting request.
     * @param reservation The request; an unknown one is ignored.
     */
    void cancel(std::uint64_t reservation);

    /**
     * @brief Handles a reply. Late and duplicate replies and those of an earlier term are ignored.
     * @param now The current time.
     * @param reply The reply.
     * @return The decisions on waiting requests.
     */
    [[nodiscard]] std::vector<Admission> onReply(base::Millis now, const TokenReply &reply);

    /**
     * @brief Drops grants whose lease has expired and refuses requests that have waited too long.
     * @param now The current time.
     * @return The decisions on waiting requests.
     */
    [[nodiscard]] std::vector<Admission> tick(base::Millis now);

    /**
     * @brief Returns the token request to send next. Must be called after every other method.
     * @param now The current time.
     * @return A new or resent request, or nothing while one is in flight or there is nothing to send.
     */
    [[nodiscard]] std::optional<TokenRequest> takeRequest(base::Millis now);

    /**
     * @brief Returns the tokens that can be spent without a token request, for metrics.
     * @param organisation The organisation.
     * @return Tokens.
     */
    [[nodiscard]] Tokens available(const std::string &organisation) const;

private:
    struct Waiter {
        std::uint64_t reservation = 0;
        Tokens estimate = 0;
        base::Millis arrival;
        base::Millis notBefore;
    };

    struct TimedSpend {
        base::Millis first;
        base::Millis latest;
        Tokens tokens = 0;
    };

    struct Pool {
        // Tokens granted in this session and neither spent nor returned.
        Tokens tokens = 0;
        // Spends of this session not yet in a token request, ordered by time, and the reservations that made them.
        std::vector<TimedSpend> unreported;
        std::vector<std::uint64_t> unreportedBy;
        // The reservations and waiting requests of the token request in flight.
        std::vector<std::uint64_t> reportedBy;
        std::vector<std::uint64_t> requested;
        Tokens debt = 0;
        // Refunds not yet reported, by mark.
        std::map<std::uint64_t, Tokens> refunds;
        // Tokens of the previous session, granted by an earlier authority.
        Tokens previousSession = 0;
        std::deque<Waiter> waiting;
        base::Millis lastSpend;
        base::Millis lastRequest;
        // Recently used tokens, decaying exponentially.
        double recentUse = 0;
        bool recall = false;
    };

    enum class Stage { PreviousSession, Unreported, InFlight, Reported };

    struct Reservation {
        std::string organisation;
        Tokens estimate = 0;
        Stage stage = Stage::Unreported;
        SessionId session;
        // The index of the spend in the token request until it is reported, then the mark of the spend.
        std::uint64_t mark = 0;
        // Settled while the token request that reports it was in flight.
        bool settled = false;
        Tokens refund = 0;
    };

    struct InFlightRequest {
        TokenRequest request;
        base::Millis firstSent;
        base::Millis resendAt;
        base::Millis resendTimeout;
    };

    void spend(base::Millis now, Pool &pool, const std::string &organisation, std::uint64_t id, Tokens tokens);
    static std::uint64_t recordSpend(base::Millis now, Pool &pool, Tokens tokens);
    void settleExcess(base::Millis now, Pool &pool, Tokens excess);
    void settleRefund(std::uint64_t id, Reservation &reservation, Pool &pool, Tokens refund);
    void applyEntry(base::Millis now, const TokenReplyEntry &entry, std::vector<Admission> &decided);
    void closeReported(const TokenReplyEntry &entry, Pool &pool);
    void decideWaiter(
        base::Millis now, const TokenReplyEntry &entry, std::size_t n, Pool &pool, std::vector<Admission> &decided);
    void openSession(bool keepFormer);
    void expireLease(base::Millis now);
    [[nodiscard]] bool hasExpired(base::Millis now, base::Millis start) const noexcept;
    [[nodiscard]] bool mustRequest(base::Millis now, const Pool &pool) const;
    [[nodiscard]] bool mustReturn(base::Millis now, const Pool &pool) const;
    [[nodiscard]] TokenRequestEntry makeEntry(base::Millis now, const std::string &organisation, Pool &pool);
    [[nodiscard]] static Tokens recentUse(base::Millis now, const Pool &pool);

    HolderOptions m_options;
    SessionId m_session;
    // The highest term seen; replies of lower terms are ignored.
    std::uint64_t m_term = 0;
    // The term of the session's authority; 0 before the first reply.
    std::uint64_t m_sessionTerm = 0;
    std::uint64_t m_sequence = 0;
    // The grants of this session expire m_lease after m_leaseStart, reduced by the clock drift.
    base::Millis m_leaseStart;
    base::Millis m_lease;
    base::Millis m_previousLeaseStart;
    std::optional<InFlightRequest> m_inFlight;
    // The time that replies take, a maximum that decays with each reply.
    base::Millis m_replyTime;
    std::uint64_t m_lastReservation = 0;
    std::map<std::string, Pool> m_pools;
    std::unordered_map<std::uint64_t, Reservation> m_reservations;
};

} // namespace bamboomoor::budget
