/**
 * The holder of grants on one VM: it admits requests from granted tokens, asks the authority for what is missing,
 * reports what was spent and returns what lies idle. Its grants end by its own clock before the authority counts them
 * as spent.
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

/** @brief The settings of a holder. */
struct HolderOptions {
    // Unique among the VMs.
    std::string name;
    // Greater at every start of the process.
    std::uint64_t incarnation = 1;
    // The most by which any clock runs fast or slow, in thousandths.
    std::int64_t driftPermille = 10;
    // The time without an answer after which an ask is sent again, in milliseconds.
    base::Millis resend{20};
    // The longest time between a spend and its report, in milliseconds.
    base::Millis report{25};
    // The time without use after which tokens are returned, in milliseconds.
    base::Millis idle{250};
    // The pause before a request that has to wait is asked for again, in milliseconds.
    base::Millis retry{5};
    // The longest that a request waits for tokens, in milliseconds.
    base::Millis patience{1'000};
    // Requests of one organisation that may wait.
    std::size_t maxWaiting = 1'024;
};

/** @brief The state of one request's admission. */
struct Admission {
    // Names the request in settle() and cancel().
    std::uint64_t reservation = 0;
    Verdict verdict = Verdict::Waiting;
    // For a refusal: milliseconds until a further try; base::NEVER if the estimate exceeds the burst.
    base::Millis retryAfter;
};

/** @brief Admits the requests of one VM. */
class Holder
{
public:
    /**
     * @brief Makes a holder without grants.
     * @param options The settings.
     */
    explicit Holder(HolderOptions options);

    /**
     * @brief Admits a request, or lets it wait for the authority's answer.
     * @param now The present time.
     * @param organisation Whose tokens it uses.
     * @param estimate Tokens that the request will use, at least 1.
     * @return The decision; one that is Waiting is decided by a later onReply() or tick().
     */
    [[nodiscard]] Admission admit(base::Millis now, const std::string &organisation, Tokens estimate);

    /**
     * @brief Settles an admitted request, once.
     * @param now The present time.
     * @param reservation The request; an unknown one changes nothing.
     * @param actual Tokens that it used; 0 if it did not run.
     */
    void settle(base::Millis now, std::uint64_t reservation, Tokens actual);

    /**
     * @brief Forgets a waiting request.
     * @param reservation The request; an unknown one changes nothing.
     */
    void cancel(std::uint64_t reservation);

    /**
     * @brief Takes a reply; one that is late, repeated or from an earlier term is ignored.
     * @param now The present time.
     * @param reply The reply.
     * @return The decisions on waiting requests.
     */
    [[nodiscard]] std::vector<Admission> onReply(base::Millis now, const Reply &reply);

    /**
     * @brief Ends grants whose lease has passed and refuses requests that have waited too long.
     * @param now The present time.
     * @return The decisions on waiting requests.
     */
    [[nodiscard]] std::vector<Admission> tick(base::Millis now);

    /**
     * @brief Takes the ask to send, to be called after every other method.
     * @param now The present time.
     * @return An ask, or nothing while one is under way or nothing is to be said.
     */
    [[nodiscard]] std::optional<Ask> takeAsk(base::Millis now);

    /**
     * @brief Reads the tokens that can be spent without asking, for metrics.
     * @param organisation The organisation.
     * @return Tokens.
     */
    [[nodiscard]] Tokens held(const std::string &organisation) const;

private:
    struct Waiter {
        std::uint64_t reservation = 0;
        Tokens estimate = 0;
        base::Millis since;
        base::Millis notBefore;
    };

    struct TimedSpend {
        base::Millis first;
        base::Millis latest;
        Tokens tokens = 0;
    };

    struct Pool {
        // Granted in this session and neither spent nor returned.
        Tokens tokens = 0;
        // In this session and not yet in an ask, by time, with the reservations that spent them.
        std::vector<TimedSpend> unreported;
        std::vector<std::uint64_t> unreportedBy;
        // In the ask under way.
        std::vector<std::uint64_t> reportedBy;
        std::vector<std::uint64_t> asked;
        Tokens debt = 0;
        // By mark.
        std::map<std::uint64_t, Tokens> refunds;
        // Left from the session before, granted by an earlier authority.
        Tokens former = 0;
        std::deque<Waiter> waiting;
        base::Millis lastSpend;
        base::Millis lastAsk;
        // Tokens used lately, decaying with time.
        double recentUse = 0;
        bool recall = false;
    };

    enum class Stage { Former, Unreported, UnderWay, Reported };

    struct Reservation {
        std::string organisation;
        Tokens estimate = 0;
        Stage stage = Stage::Unreported;
        SessionId session;
        // Its place in the ask until it is reported.
        std::uint64_t mark = 0;
        // Settled while the ask that reports it was under way.
        bool settled = false;
        Tokens refund = 0;
    };

    struct UnderWay {
        Ask ask;
        base::Millis firstSent;
        base::Millis lastSent;
    };

    void spend(base::Millis now, Pool &pool, const std::string &organisation, std::uint64_t id, Tokens tokens);
    static std::uint64_t note(base::Millis now, Pool &pool, Tokens tokens);
    void settleExcess(base::Millis now, Pool &pool, Tokens excess);
    void settleRefund(std::uint64_t id, Reservation &reservation, Pool &pool, Tokens refund);
    void applyEntry(base::Millis now, const ReplyEntry &entry, std::vector<Admission> &decided);
    void closeReported(const ReplyEntry &entry, Pool &pool);
    void decideWaiter(
        base::Millis now, const ReplyEntry &entry, std::size_t n, Pool &pool, std::vector<Admission> &decided);
    void openSession(bool keepFormer);
    void endLease(base::Millis now);
    [[nodiscard]] bool isOver(base::Millis now, base::Millis start) const noexcept;
    [[nodiscard]] bool mustAsk(base::Millis now, const Pool &pool) const;
    [[nodiscard]] bool mustReturn(base::Millis now, const Pool &pool) const;
    [[nodiscard]] AskEntry makeEntry(base::Millis now, const std::string &organisation, Pool &pool);
    [[nodiscard]] static Tokens recentUse(base::Millis now, const Pool &pool);

    HolderOptions m_options;
    SessionId m_session;
    // The greatest term seen; replies of lesser ones are ignored.
    std::uint64_t m_term = 0;
    // The term of this session's authority, 0 before its first reply.
    std::uint64_t m_sessionTerm = 0;
    std::uint64_t m_sequence = 0;
    // The grants of this session end m_lease after m_leaseStart, less the drift.
    base::Millis m_leaseStart;
    base::Millis m_lease;
    base::Millis m_formerStart;
    std::optional<UnderWay> m_underWay;
    std::uint64_t m_lastReservation = 0;
    std::map<std::string, Pool> m_pools;
    std::unordered_map<std::uint64_t, Reservation> m_reservations;
};

} // namespace bamboomoor::budget
