/**
 * The path of relayed requests from arrival to answer, as a state machine: time and events enter, effects leave
 * through an interface. One core holds all requests of an entry; it owns no thread, socket or clock.
 *
 * A request is admitted (route, key, rate), sent to an upstream, and answered; a failed attempt is repeated only where
 * the request may run again or has provably not run, within attempts, time and the retry allowance. A request that
 * cannot be served is refused at once.
 */
#pragma once

#include "bamboomoor/admission/fairqueue.hpp"
#include "bamboomoor/base/clock.hpp"
#include "bamboomoor/base/nametable.hpp"
#include "bamboomoor/budget/holder.hpp"
#include "bamboomoor/relay/eventcutter.hpp"
#include "bamboomoor/relay/fleet.hpp"
#include "bamboomoor/relay/request.hpp"
#include "bamboomoor/relay/retryallowance.hpp"
#include "bamboomoor/relay/routetable.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace bamboomoor::relay
{

/** @brief Whether an attempt counts against the retry allowance, and why not. */
enum class Charge { First, Retry, NoneArrived };

/** @brief The names of the charges in logs. */
inline constexpr auto CHARGE_NAMES = base::makeNames<Charge>("first", "retry", "none_arrived");

/** @brief What follows a failed attempt. */
enum class Next { Again, MayHaveRun, NoTime, NoAttempts, NoOther, NoAllowance };

/** @brief The names of what follows. */
inline constexpr auto NEXT_NAMES =
    base::makeNames<Next>("again", "may_have_run", "no_time", "no_attempts", "no_other", "no_allowance");

/** @brief One sending of a request to an upstream. */
struct Attempt {
    std::uint64_t id = 0;
    std::uint64_t exchange = 0;
    std::string upstream;
    // "IP:PORT".
    std::string address;
    // The organisation of the caller's key, empty without one.
    std::string organisation;
    // 0 first, at most 9.
    std::int64_t priority = 0;
    // How much time the upstream has.
    base::Millis remaining;
    // Where a stream goes on; empty at its start.
    std::string lastEventId;
    // True when it may not use a pooled connection, which may be dead.
    bool freshConnection = true;
    Charge charge = Charge::First;
    // It used a permit of the leader for a limited upstream.
    bool permit = false;
};

/** @brief How an attempt ended, as the transport saw it. */
struct AttemptEnd {
    // The answer came to its proper end.
    bool complete = false;
    // False only when it is certain that no byte of the request left.
    bool bytesSent = true;
    // The connection ended after bytes of the request and before any of an answer.
    bool lostConnection = false;
    // One word of the transport.
    std::string_view how;
};

/** @brief Why a request is refused or fails. */
enum class Reason {
    NotConfigured,
    UnknownRoute,
    UnknownKey,
    RateExceeded,
    RateUnknown,
    NoUpstream,
    NotHeld,
    Busy,
    Closed,
    TooLate,
    UpstreamRefused,
    UpstreamFailed,
    TimedOut,
    CallerGone,
    Stopping
};

/** @brief The names of the reasons in logs and counters. */
inline constexpr auto REASON_NAMES = base::makeNames<Reason>("not_configured", "unknown_route", "unknown_key",
    "rate_exceeded", "rate_unknown", "no_upstream", "not_held", "busy", "closed", "too_late", "upstream_refused",
    "upstream_failed", "timed_out", "caller_gone", "stopping");

/** @brief A final answer by the entry itself. */
struct Refused {
    Reason reason = Reason::UpstreamFailed;
    // No run of the request has begun or will begin.
    bool notRun = true;
    // When the caller may come back; 0 for no word.
    base::Millis retryAfter;
};

/** @brief What was decided about a request, for logs and counters. */
enum class Step { Queued, Sent, FirstEvent, Silent, AttemptFailed, Answered, Refused, Failed, Cut, Cancelled };

/** @brief The names of the steps. */
inline constexpr auto STEP_NAMES = base::makeNames<Step>(
    "queued", "sent", "first_event", "silent", "attempt_failed", "answered", "refused", "failed", "cut", "cancelled");

/** @brief One decision with what it rested on. */
struct Decision {
    Step step = Step::Sent;
    // The caller's id of the request.
    std::string_view request;
    std::string_view route;
    std::string_view organisation;
    std::string_view upstream;
    // The model or adapter asked for; empty for a plain service.
    std::string_view holding;
    std::string_view reason;
    int status = 0;
    std::uint64_t attempt = 0;
    // Set for Step::Sent.
    std::optional<Charge> charge;
    bool freshConnection = false;
    bool permit = false;
    // Set for Step::AttemptFailed and Step::Silent.
    std::optional<Next> next;
    // Since the request arrived.
    base::Millis age;
    // The version of the configuration that decided.
    std::uint64_t version = 0;
    // The wait that was expected at the upstream.
    base::Millis expectedWait;
    // What the request takes of its organisation's rate; 0 where there is none.
    std::int64_t tokens = 0;
};

/** @brief What an answer changed in what is known of its upstream. */
struct WordNote {
    standing::Change change = standing::Change::LimitNamed;
    // The caller's id of the request that was answered.
    std::string_view request;
    std::string_view upstream;
    standing::Word word;
};

/** @brief What the core wants done; every method returns at once and does not call back. */
class Effects
{
public:
    virtual ~Effects() = default;

    /** @brief Answers with an upstream's whole answer. @param exchange The request. @param response The answer. */
    virtual void respond(std::uint64_t exchange, http::Response response) = 0;
    /** @brief Answers by the entry itself. @param exchange The request. @param refused Why. */
    virtual void refuse(std::uint64_t exchange, const Refused &refused) = 0;
    /** @brief Begins a stream. @param exchange The request. @param status Its status. @param headers Its headers. */
    virtual void begin(std::uint64_t exchange, int status, http::Headers headers) = 0;
    /** @brief Sends whole events. @param exchange The request. @param bytes The events. @return False if it is cut. */
    virtual bool write(std::uint64_t exchange, std::string_view bytes) = 0;
    /** @brief Ends a stream properly. @param exchange The request. */
    virtual void end(std::uint64_t exchange) = 0;
    /** @brief Cuts a stream, so that the caller sees it. @param exchange The request. */
    virtual void abort(std::uint64_t exchange) = 0;
    /** @brief Sends a request to an upstream. @param attempt Where and how. @param request The request. */
    virtual void send(const Attempt &attempt, const Request &request) = 0;
    /** @brief Breaks an attempt off; nothing of it reaches the core any more. @param attempt Its id. */
    virtual void cancel(std::uint64_t attempt) = 0;
    /** @brief Tells what was decided. @param decision The decision; its texts are valid during the call. */
    virtual void note(const Decision &decision) = 0;
    /** @brief Tells what an upstream said of itself. @param note The word; its texts are valid during the call. */
    virtual void noteWord(const WordNote &note) = 0;
};

/** @brief The settings of a core. */
struct CoreOptions {
    FleetOptions fleet;
    RetryOptions retries;
    budget::HolderOptions budget;
    // When a caller comes back at the earliest for a model that nobody holds, or a service without upstreams.
    base::Millis loadRetry{1'000};
    // When a caller comes back for a model that nobody holds, at the latest: a loss is noticed within half a second,
    // and a load from a disk takes two.
    base::Millis lostRetry{2'500};
    // Callers wait no longer than this part of the time that they have left before they come back.
    std::int64_t followedPart = 3;
    // When a caller comes back after a refusal that says nothing of a time.
    base::Millis shortRetry{250};
    // When a caller comes back at the earliest to engines that have too much to read.
    base::Millis busyRetry{1'000};
    // Callers of an upstream that has closed itself come back over this time after it opens.
    base::Millis comebackSpread{400};
    // Connections refused before anything was sent, after which a request is given up.
    int unreached = 3;
    // Without an answer of the budget's authority for this time, a refusal says nothing about the rate.
    base::Millis budgetSilence{1'000};
    // A request that waits for room is refused when it could not be in time any more; this is left for its answer, of
    // the latency objective, in hundredths.
    std::int64_t queuePercent = 80;
    // The least silence after which an attempt that may be repeated is tried elsewhere.
    base::Millis leastSilence{1'200};
    // The longest plain answer, and all plain answers that are kept until they are whole; an upstream in trouble may
    // send bytes without end.
    std::size_t maxAnswerBytes = 4'194'304;
    std::size_t maxHeldBytes = 33'554'432;
};

/** @brief The requests for one model or adapter since the last count. */
struct HoldingDemand {
    std::string model;
    std::string adapter;
    std::uint64_t requests = 0;
    // Their prompts together.
    std::int64_t tokens = 0;
    // Those of them that found it nowhere.
    std::uint64_t missed = 0;
};

/** @brief All requests of an entry. */
class Core
{
public:
    /**
     * @brief Makes a core without configuration and upstreams.
     * @param options The settings.
     * @param effects Carries out what is decided; outlives the core.
     */
    Core(CoreOptions options, Effects &effects);

    /** @brief Takes another configuration. @param table The relays, not null. */
    void setTable(std::shared_ptr<const RouteTable> table);

    /** @brief Takes the upstreams that may get work. @param workers All of them. */
    void setWorkers(std::vector<Worker> workers);

    /**
     * @brief Takes a caller's request.
     * @param now The present time.
     * @param exchange Names it; not used before.
     * @param request The request.
     */
    void arrive(base::Millis now, std::uint64_t exchange, Request request);

    /** @brief The caller has gone. @param now The present time. @param exchange The request. */
    void leave(base::Millis now, std::uint64_t exchange);

    /** @brief The head of an answer. @param now The present time. @param attempt Whose. @param head The head. */
    void head(base::Millis now, std::uint64_t attempt, AnswerHead head);

    /** @brief Bytes of an answer. @param now The present time. @param attempt Whose. @param bytes The bytes. */
    void data(base::Millis now, std::uint64_t attempt, std::string_view bytes);

    /** @brief The end of an attempt. @param now The present time. @param attempt Which. @param end How. */
    void ended(base::Millis now, std::uint64_t attempt, const AttemptEnd &end);

    /** @brief An answer of the budget's authority. @param now The present time. @param reply The answer. */
    void budgetReplied(base::Millis now, const budget::Reply &reply);

    /** @brief Takes the ask to the budget's authority. @param now The present time. @return The ask, or nothing. */
    [[nodiscard]] std::optional<budget::Ask> takeAsk(base::Millis now);

    /** @brief Takes what other entries have waiting. @param now The present time. @param waiting Tokens by upstream. */
    void setForeignLoad(base::Millis now, const std::map<std::string, std::int64_t> &waiting);

    /** @brief Takes what comes to upstreams or came lately. @param now The present time. @param placed All of it. */
    void setPlaced(base::Millis now, const std::vector<Placed> &placed);

    /** @brief Takes what the leader tells of upstreams' words. @param now The present time. @param told All of it. */
    void told(base::Millis now, const std::vector<standing::Told> &told);

    /** @brief Takes what the leader should hear of upstreams' words. @param now The present time. @return All words. */
    [[nodiscard]] std::vector<standing::Report> takeReports(base::Millis now);

    /** @brief Lists upstreams that accept no connection. @param now The present time. @return Their ids. */
    [[nodiscard]] std::vector<std::string> unreachable(base::Millis now) const;

    /** @brief Tells whether requests wait for what the leader decides: a load or a permit. @return True once. */
    [[nodiscard]] bool takeUrgent() noexcept
    {
        return std::exchange(m_urgent, false);
    }

    /** @brief Lists what this entry has waiting at upstreams. @return Prompt tokens by upstream. */
    [[nodiscard]] std::map<std::string, std::int64_t> waiting() const;

    /** @brief Lets time pass. @param now The present time. */
    void tick(base::Millis now);

    /** @brief Takes no stream any more that the stopping entry would have to cut; other requests are still served. */
    void drain() noexcept
    {
        m_draining = true;
    }

    /** @brief Ends all requests. @param now The present time. */
    void stop(base::Millis now);

    /** @brief Tells when tick() is due. @param now The present time. @return A point of time, or base::NEVER. */
    [[nodiscard]] base::Millis nextDeadline(base::Millis now) const noexcept;

    /** @brief Counts the requests in progress. @return Their number. */
    [[nodiscard]] std::size_t inProgress() const noexcept
    {
        return m_exchanges.size();
    }

    /** @brief Reads and resets the demand for models. @return One entry for each model or adapter asked for. */
    [[nodiscard]] std::vector<HoldingDemand> takeDemand();

private:
    struct Exchange {
        std::uint64_t id = 0;
        Request request;
        // Keeps the route alive.
        std::shared_ptr<const RouteTable> table;
        const config::Relay *route = nullptr;
        std::string service;
        std::string organisation;
        std::int64_t priority = 0;
        std::int64_t cost = 0;
        // 0 without a bound.
        std::uint64_t reservation = 0;
        base::Millis arrivedAt;
        // When the route's timeout or the caller's patience ends.
        base::Millis deadline;
        Wanted wanted;
        // The attempt under way; its id is 0 while there is none.
        Attempt attempt;
        Choice choice;
        base::Millis sentAt;
        base::Millis heardAt;
        bool started = false;
        // The upstream was noted as silent during this attempt.
        bool silent = false;
        // The last event of this attempt.
        base::Millis eventAt;
        std::optional<AnswerHead> head;
        std::string body;
        EventCutter cutter;
        // Attempts that may have reached an upstream.
        std::int64_t sent = 0;
        int unreached = 0;
        // A retry of the allowance is taken and not settled.
        bool holdsRetry = false;
        // True when an attempt may have run.
        bool mayHaveRun = false;
        // The head of the stream has gone to the caller.
        bool begun = false;
        // The last event that went to the caller, or that the caller had.
        std::string lastEventId;
        // It waits for room until then; nothing while it does not wait.
        std::optional<base::Millis> queuedUntil;
        // When tick() looks at it.
        base::Millis lookAt;
    };

    void admit(base::Millis now, Exchange &exchange);
    void decided(base::Millis now, const budget::Admission &admission);
    void dispatch(base::Millis now, Exchange &exchange, bool fromQueue = false);
    void send(base::Millis now, Exchange &exchange, Choice choice);
    void refuseForLack(base::Millis now, Exchange &exchange);
    void enqueue(base::Millis now, Exchange &exchange);
    void leaveQueue(Exchange &exchange);
    void pump(base::Millis now);
    void relayEvents(base::Millis now, Exchange &exchange, std::string_view bytes);
    void endWhole(base::Millis now, Exchange &exchange);
    void takeWord(base::Millis now, const Exchange &exchange, const AnswerHead &head);
    void endStream(base::Millis now, Exchange &exchange);
    void deliver(base::Millis now, Exchange &exchange);
    void fail(base::Millis now, Exchange &exchange, Result result, bool notRun, bool reached, std::string_view how);
    [[nodiscard]] Next whatNext(base::Millis now, Exchange &exchange);
    [[nodiscard]] bool takeRetry(base::Millis now, Exchange &exchange);
    void settleRetry(base::Millis now, Exchange &exchange, bool arrived);
    [[nodiscard]] bool hold(Exchange &exchange, std::string_view bytes);
    [[nodiscard]] std::string takeBody(Exchange &exchange);
    [[nodiscard]] bool hasOther(base::Millis now, const Exchange &exchange) const;
    [[nodiscard]] base::Millis lostRetry(base::Millis now, const Exchange &exchange) const;
    [[nodiscard]] base::Millis closedRetry(base::Millis now, const Exchange &exchange) const;
    [[nodiscard]] base::Millis busyRetry(base::Millis now, const Exchange &exchange, base::Millis wait) const;
    [[nodiscard]] base::Millis queuePatience(base::Millis now, const Exchange &exchange) const;
    [[nodiscard]] bool mayRunAgain(const Exchange &exchange) const;
    void giveUp(base::Millis now, Exchange &exchange, Reason reason, base::Millis retryAfter);
    void closeAttempt(base::Millis now, Exchange &exchange, Result result);
    void cancelAttempt(base::Millis now, Exchange &exchange);
    void finish(base::Millis now, Exchange &exchange);
    void look(base::Millis now, Exchange &exchange);
    void lookAt(Exchange &exchange, base::Millis at);
    [[nodiscard]] base::Millis silenceLimit(const Exchange &exchange) const;
    [[nodiscard]] bool isStream(const Exchange &exchange) const;
    void note(base::Millis now, const Exchange &exchange, Step step, std::string_view reason, int status = 0,
        std::optional<Next> next = {}) const;
    [[nodiscard]] Exchange *find(std::uint64_t exchange);
    [[nodiscard]] Exchange *findByAttempt(std::uint64_t attempt);

    CoreOptions m_options;
    Effects &m_effects;
    // Null before the first configuration.
    std::shared_ptr<const RouteTable> m_table;
    Fleet m_fleet;
    // Of all bodies together; at most maxHeldBytes.
    std::size_t m_heldBytes = 0;
    RetryAllowance m_retries;
    budget::Holder m_holder;
    base::Millis m_budgetHeardAt;
    std::unordered_map<std::uint64_t, std::unique_ptr<Exchange>> m_exchanges;
    std::unordered_map<std::uint64_t, std::uint64_t> m_byAttempt;
    std::unordered_map<std::uint64_t, std::uint64_t> m_byReservation;
    // Exchanges by the time at which tick() looks at them.
    std::set<std::pair<base::Millis, std::uint64_t>> m_looks;
    std::uint64_t m_lastAttempt = 0;
    bool m_draining = false;
    bool m_urgent = false;
    // Requests that wait for room, by service and holding; queues without requests are removed.
    std::map<std::pair<std::string, std::string>, admission::FairQueue> m_queues;
    std::map<std::pair<std::string, std::string>, HoldingDemand> m_demand;
};

} // namespace bamboomoor::relay
