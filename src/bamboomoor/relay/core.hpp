/**
 * The lifecycle of relayed requests from arrival to response, as a deterministic state machine: time and events are
 * passed in, and actions are emitted through the Effects interface. One core handles all requests of an entry; it owns
 * no thread, socket or clock.
 *
 * A request is admitted (route, API key, rate limit), sent to an upstream, and answered. A failed attempt is retried
 * only if the request may be executed again or has provably not been executed, and only within the limits on attempts,
 * time and the retry budget. A request that cannot be served is rejected immediately.
 */
#pragma once

#include "bamboomoor/admission/fairqueue.hpp"
#include "bamboomoor/base/clock.hpp"
#include "bamboomoor/base/nametable.hpp"
#include "bamboomoor/budget/holder.hpp"
#include "bamboomoor/lineage/streamjournal.hpp"
#include "bamboomoor/quarantine/promptguard.hpp"
#include "bamboomoor/relay/eventsplitter.hpp"
#include "bamboomoor/relay/fleet.hpp"
#include "bamboomoor/relay/request.hpp"
#include "bamboomoor/relay/retrybudget.hpp"
#include "bamboomoor/relay/routetable.hpp"
#include "bamboomoor/relay/upstreamreach.hpp"

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

/** @brief Whether an attempt is charged to the retry budget; NoneArrived is free, as no earlier attempt arrived. */
enum class Charge { First, Retry, NoneArrived };

/** @brief The names of Charge in logs. */
inline constexpr auto CHARGE_NAMES = base::makeNames<Charge>("first", "retry", "none_arrived");

/** @brief Whether a failed attempt is retried, or the reason why it is not. */
enum class RetryDecision { Retry, MayHaveRun, NoTime, NoAttempts, NoOtherUpstream, NoBudget };

/** @brief The names of the retry decisions in logs. */
inline constexpr auto RETRY_DECISION_NAMES =
    base::makeNames<RetryDecision>("again", "may_have_run", "no_time", "no_attempts", "no_other", "no_allowance");

/** @brief One attempt to have a request served by an upstream. */
struct Attempt {
    std::uint64_t id = 0;
    std::uint64_t exchange = 0;
    std::string upstream;
    // "IP:PORT".
    std::string address;
    // "IP:PORT" of the entry that forwards the request to the upstream; empty if it is sent directly.
    std::string via;
    // The organisation that owns the caller's API key; empty without a key.
    std::string organisation;
    // From 0, the most urgent, to 9.
    std::int64_t priority = 0;
    // Time left until the deadline of the request.
    base::Millis remaining;
    // The event id after which a stream resumes; empty at its start.
    std::string lastEventId;
    // Requires a new connection, as a pooled one may be stale.
    bool freshConnection = true;
    Charge charge = Charge::First;
    // Consumed a permit that the leader granted for a rate-limited upstream.
    bool permit = false;
};

/** @brief How an attempt ended, as reported by the transport. */
struct AttemptEnd {
    // The response was received completely.
    bool complete = false;
    // False only if it is certain that no byte of the request was sent.
    bool bytesSent = true;
    // The connection closed after request bytes were sent and before any response byte arrived.
    bool lostConnection = false;
    // The transport's short reason, for logs.
    std::string_view reason;
    // The connection closed after a part of the response had arrived.
    bool truncated = false;
    // The response had a length or chunks; one without ends with its connection, however that comes to close.
    bool delimited = true;
    // No answer to the connection attempt in time; a sound upstream may pause for longer.
    bool connectTimedOut = false;
    // The received bytes are no HTTP response.
    bool malformed = false;
    // The forwarding entry failed or did not forward; nothing is known of the upstream.
    bool peerFailed = false;
};

/** @brief Why a request is rejected or fails. */
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
    Stopping,
    Quarantined,
    OriginUnknown,
    Outdated
};

/** @brief The names of the reasons in logs and counters. */
inline constexpr auto REASON_NAMES = base::makeNames<Reason>("not_configured", "unknown_route", "unknown_key",
    "rate_exceeded", "rate_unknown", "no_upstream", "not_held", "busy", "closed", "too_late", "upstream_refused",
    "upstream_failed", "timed_out", "caller_gone", "stopping", "quarantined", "origin_unknown", "outdated");

/** @brief A final response that the entry generates itself instead of forwarding one. */
struct LocalReply {
    Reason reason = Reason::UpstreamFailed;
    // The request has not been executed and will not be.
    bool notRun = true;
    // When the caller may retry; 0 if not stated.
    base::Millis retryAfter;
};

/** @brief A step in the lifecycle of a request, for logs and counters. */
enum class Step { Queued, Sent, FirstEvent, Stalled, AttemptFailed, Answered, Refused, Failed, Aborted, Cancelled };

/** @brief The names of the steps. */
inline constexpr auto STEP_NAMES = base::makeNames<Step>(
    "queued", "sent", "first_event", "silent", "attempt_failed", "answered", "refused", "failed", "cut", "cancelled");

/** @brief A decision about a request together with its inputs. */
struct Decision {
    Step step = Step::Sent;
    // The request id that the caller assigned.
    std::string_view request;
    std::string_view route;
    std::string_view organisation;
    std::string_view upstream;
    // The software version of the upstream; empty if it is not reported.
    std::string_view software;
    // The forwarding entry; empty for a direct attempt.
    std::string_view via;
    // The requested MODEL or MODEL/ADAPTER; empty for a plain service.
    std::string_view holding;
    std::string_view reason;
    int status = 0;
    std::uint64_t attempt = 0;
    // Set for Step::Sent.
    std::optional<Charge> charge;
    bool freshConnection = false;
    bool permit = false;
    // Set for Step::AttemptFailed and Step::Stalled.
    std::optional<RetryDecision> retryDecision;
    // Set for Step::AttemptFailed: complete events of the attempt.
    std::optional<std::size_t> events;
    // The prompt parts that other requests may share; set for Step::AttemptFailed and Reason::Quarantined.
    std::string sharedParts;
    // Identifies the request across its tries; set like sharedParts.
    std::string fingerprint;
    // Since the request arrived.
    base::Millis age;
    // The version of the configuration that applied.
    std::uint64_t version = 0;
    // The queueing delay predicted for the chosen upstream.
    base::Millis expectedWait;
    // Tokens charged to the organisation's rate limit; 0 without one.
    std::int64_t tokens = 0;
};

/** @brief A change in the known state of an upstream, caused by a signal in one of its responses. */
struct SignalNote {
    standing::Change change = standing::Change::LimitSignalled;
    // The caller-assigned id of the request whose response carried the signal.
    std::string_view request;
    std::string_view upstream;
    standing::UpstreamSignal signal;
};

/** @brief What the leader says about the origin of a stream. */
enum class OriginVerdict { Known, Unknown, NoLeader };

/** @brief The names of OriginVerdict in logs. */
inline constexpr auto ORIGIN_VERDICT_NAMES = base::makeNames<OriginVerdict>("known", "unknown", "no_leader");

/** @brief A question to the leader about the origin of a stream. */
struct OriginQuery {
    std::string service;
    // Empty if the caller does not name the stream.
    std::string stream;
};

/** @brief The actions that the core emits. Implementations must neither block nor call back into the core. */
class Effects
{
public:
    virtual ~Effects() = default;

    /** @brief Sends a complete upstream response. @param exchange The exchange id. @param response The response. */
    virtual void respond(std::uint64_t exchange, http::Response response) = 0;
    /** @brief Sends a locally generated response. @param exchange The exchange id. @param reply The response. */
    virtual void sendLocalReply(std::uint64_t exchange, const LocalReply &reply) = 0;
    /** @brief Starts a streamed response. @param exchange The exchange id. @param status The HTTP status.
     * @param headers The headers. */
    virtual void beginStream(std::uint64_t exchange, int status, http::Headers headers) = 0;
    /** @brief Sends complete events of a stream. @param exchange The exchange id. @param bytes The events.
     * @return False if the caller's connection is closed. */
    virtual bool write(std::uint64_t exchange, std::string_view bytes) = 0;
    /** @brief Completes a streamed response. @param exchange The exchange id. */
    virtual void endStream(std::uint64_t exchange) = 0;
    /** @brief Aborts a streamed response so that the caller detects the truncation. @param exchange The exchange id. */
    virtual void abortStream(std::uint64_t exchange) = 0;
    /** @brief Sends a request to an upstream. @param attempt Target and parameters. @param request The request. */
    virtual void send(const Attempt &attempt, const Request &request) = 0;
    /** @brief Cancels an attempt; no further event of it may be passed to the core. @param attempt The attempt id. */
    virtual void cancel(std::uint64_t attempt) = 0;
    /** @brief Asks the leader for the software version that began a stream; Core::onOriginResolved() takes the answer.
     * @param exchange The exchange id. @param origin The service, and the caller's id of the try that began the stream,
     * empty if it is not named. */
    virtual void resolveOrigin(std::uint64_t exchange, const OriginQuery &origin) = 0;
    /** @brief Reports a decision. @param decision The decision; its string views are valid only during the call. */
    virtual void logDecision(const Decision &decision) = 0;
    /** @brief Reports a state change that an upstream signalled. @param note The change; its string views are valid
     * only during the call. */
    virtual void logSignal(const SignalNote &note) = 0;
    /** @brief Reports that a prompt part has been quarantined. @param finding The part. @param byLeader Whether the
     * leader has decided it. */
    virtual void logQuarantine(const quarantine::Finding &finding, bool byLeader) = 0;
    /** @brief Reports that a partition from all upstreams began or ended. @param change The change. */
    virtual void logReach(const ReachChange &change) = 0;
};

/** @brief The settings of a core. */
struct CoreOptions {
    FleetOptions fleet;
    RetryOptions retries;
    budget::HolderOptions budget;
    quarantine::PromptGuardOptions quarantine;
    UpstreamReachOptions reach;
    lineage::StreamJournalOptions journal;
    // How long a resumed stream waits for the leader's answer on its origin; it is rejected afterwards.
    base::Millis originTimeout{900};
    // How long callers may resume a stream after its own deadline.
    base::Millis streamRetention{5'000};
    // The least retry delay for a model that no upstream has loaded, or a service without upstreams.
    base::Millis minLoadRetryDelay{1'000};
    // The greatest retry delay for a model that no upstream has loaded: losing its host is detected within 0.5 s, and
    // loading from disk takes 2 s.
    base::Millis maxLoadRetryDelay{2'500};
    // Callers follow a retry delay of at most their remaining time divided by this number.
    std::int64_t retryDelayDivisor = 3;
    // The retry delay after a rejection for which no better estimate exists.
    base::Millis defaultRetryDelay{250};
    // The least retry delay while the engines are overloaded.
    base::Millis minBusyRetryDelay{1'000};
    // Retries of callers that were rejected by a closed upstream are spread over this time after it reopens.
    base::Millis retrySpread{400};
    // The number of attempts that failed before any byte was sent after which a request fails; connection attempts
    // without an answer do not count.
    int maxUnreachedAttempts = 3;
    // The number of forwarding entries that failed before they forwarded after which a request fails.
    int maxPeerFailures = 4;
    // The number of those after which it is tried directly.
    int peerFailuresBeforeDirect = 2;
    // If the budget authority has not replied for this time, a rejection is attributed to the missing reply
    // (RateUnknown) instead of an exceeded rate.
    base::Millis budgetTimeout{1'000};
    // How long a request may be queued, in percent of the latency objective; the rest is left for serving it. A request
    // that exceeds it could no longer meet the objective and is rejected.
    std::int64_t queuePercent = 80;
    // The least time without progress after which a repeatable attempt is retried on another upstream.
    base::Millis minStallTimeout{1'200};
    // The same for a stream whose caller has its beginning, which would be aborted if the other upstreams turned it
    // away. Sound upstreams pause for more than a second; callers wait at least two.
    base::Millis minStreamStallTimeout{1'900};
    // The interval at which another upstream is looked for while an attempt makes no progress.
    base::Millis stallCheckInterval{200};
    // The limits for one buffered response and for all buffered responses together; a faulty upstream may send an
    // endless body.
    std::size_t maxResponseBytes = 4'194'304;
    std::size_t maxBufferedBytes = 33'554'432;
};

/** @brief The demand for one model or adapter since the previous takeDemand(). */
struct HoldingDemand {
    std::string model;
    std::string adapter;
    std::uint64_t requests = 0;
    // Prompt tokens of all requests.
    std::int64_t tokens = 0;
    // Requests that found no upstream with it loaded.
    std::uint64_t missed = 0;
};

/** @brief The request state machine of an entry. Not thread-safe. */
class Core
{
public:
    /**
     * @brief Creates a core without configuration and upstreams.
     * @param options The settings.
     * @param effects Executes the emitted actions; must outlive the core.
     */
    Core(CoreOptions options, Effects &effects);

    /** @brief Applies a configuration to requests that arrive later. @param table The route table, not null. */
    void setTable(std::shared_ptr<const RouteTable> table);

    /** @brief Rejects requests that arrive while the route table is outdated. @param isOutdated Whether it is. */
    void setOutdated(bool isOutdated) noexcept
    {
        m_isOutdated = isOutdated;
    }

    /** @brief Replaces the list of available upstreams. @param workers The complete list. */
    void setWorkers(std::vector<Worker> workers);

    /** @copydoc UpstreamReach::setPeers */
    void setPeers(base::Millis now, std::vector<std::string> addresses, std::uint64_t term)
    {
        m_reach.setPeers(now, std::move(addresses), term);
    }

    /** @brief Returns the detection of a partition from all upstreams. */
    [[nodiscard]] const UpstreamReach &reach() const noexcept
    {
        return m_reach;
    }

    /**
     * @brief Accepts a caller's request.
     * @param now The current time.
     * @param exchange The exchange id, unique over the lifetime of the core.
     * @param request The request.
     */
    void onRequest(base::Millis now, std::uint64_t exchange, Request request);

    /** @brief Handles the disconnect of a caller. @param now The current time. @param exchange The exchange id. */
    void onCallerDisconnected(base::Millis now, std::uint64_t exchange);

    /** @brief Handles a response head. @param now The current time. @param attempt The attempt id. @param head The
     * head. */
    void onResponseHead(base::Millis now, std::uint64_t attempt, ResponseHead head);

    /** @brief Handles bytes of a response body. @param now The current time. @param attempt The attempt id. @param
     * bytes The bytes. */
    void onResponseData(base::Millis now, std::uint64_t attempt, std::string_view bytes);

    /** @brief Handles the end of an attempt. @param now The current time. @param attempt The attempt id. @param end How
     * it ended. */
    void onAttemptEnded(base::Millis now, std::uint64_t attempt, const AttemptEnd &end);

    /** @brief Handles a reply of the budget authority. @param now The current time. @param reply The reply. */
    void onBudgetReply(base::Millis now, const budget::TokenReply &reply);

    /** @brief Takes the pending request to the budget authority. @param now The current time. @return The request, or
     * nothing if none is due. */
    [[nodiscard]] std::optional<budget::TokenRequest> takeBudgetRequest(base::Millis now);

    /** @brief Sets the load that other entries have queued. @param now The current time. @param waiting Prompt tokens
     * by upstream. */
    void setRemoteLoad(base::Millis now, const std::map<std::string, std::int64_t> &waiting);

    /** @brief Replaces the list of pending and recent placements. @param now The current time. @param placed The
     * complete list. */
    void setPlacements(base::Millis now, const std::vector<PlacedHolding> &placed);

    /** @brief Replaces the recorded software versions of upstreams. @param now The current time. @param versions The
     * versions. */
    void setSoftware(base::Millis now, lineage::SoftwareVersions versions)
    {
        m_journal.setVersions(now, std::move(versions));
    }

    /** @brief Makes the report on begun streams that is due to the leader. @param now The current time. @return The
     * report. */
    [[nodiscard]] lineage::Report takeStreamReport(base::Millis now)
    {
        return m_journal.makeReport(now);
    }

    /** @brief Handles the leader's reply to a report on streams. @param term The leader's term. @param sequence The
     * sequence number of the report. */
    void onStreamReply(std::uint64_t term, std::uint64_t sequence)
    {
        m_journal.onReply(term, sequence);
    }

    /** @brief Handles the answer to Effects::resolveOrigin(). @param now The current time. @param exchange The exchange
     * id. @param verdict The verdict. @param software The version if it is known. */
    void onOriginResolved(base::Millis now, std::uint64_t exchange, OriginVerdict verdict, const std::string &software);

    /** @brief Applies the leader's reports on upstreams. @param now The current time. @param reports The reports. */
    void onLeaderReports(base::Millis now, const std::vector<standing::LeaderReport> &reports);

    /** @brief Takes the reports on upstreams that are due to the leader. @param now The current time. @return One
     * report for each upstream with signalled state. */
    [[nodiscard]] std::vector<standing::Report> takeReports(base::Millis now);

    /** @brief Applies the leader's reply on prompt parts and requests: quarantined ones that no upstream has begun to
     * answer are ended. @param now The current time. @param reply The reply. */
    void onQuarantineReply(base::Millis now, const quarantine::LeaderReply &reply);

    /** @brief Makes the report on prompt parts and requests that is due to the leader. @param now The current time.
     * @return The report. */
    [[nodiscard]] quarantine::Report takeQuarantineReport(base::Millis now);

    /** @brief Lists the upstreams that currently accept no connection. @param now The current time. @return Their ids.
     */
    [[nodiscard]] std::vector<std::string> unreachable(base::Millis now) const;

    /** @brief Tests and clears the flag for requests that wait for a decision of the leader, which is a model load or a
     * permit, for crashes of upstreams, and for streams that the leader should know. @return True if the leader should
     * be contacted now. */
    [[nodiscard]] bool takeUrgent() noexcept
    {
        m_urgent = m_guard.takeUrgent() || m_urgent;
        return std::exchange(m_urgent, false);
    }

    /** @brief Returns the load that this entry has queued at upstreams. @return Prompt tokens by upstream. */
    [[nodiscard]] std::map<std::string, std::int64_t> queuedTokens() const;

    /** @brief Processes expired timers and queued requests. @param now The current time. */
    void tick(base::Millis now);

    /** @brief Begins a shutdown: rejects requests that may not be repeated and may last longer than the entry. @param
     * until When requests in progress are terminated. */
    void beginDrain(base::Millis until) noexcept
    {
        m_drainUntil = until;
    }

    /** @brief Rejects all further streams too, and whatever may last longer than the entry. */
    void drain() noexcept
    {
        m_draining = true;
    }

    /** @brief Terminates all requests in progress. @param now The current time. */
    void stop(base::Millis now);

    /** @brief Returns when tick() is due next. @param now The current time. @return The time, or base::NEVER. */
    [[nodiscard]] base::Millis nextDeadline(base::Millis now) const noexcept;

    /** @brief Returns the number of requests in progress. */
    [[nodiscard]] std::size_t inProgress() const noexcept
    {
        return m_exchanges.size();
    }

    /** @brief Returns and resets the demand for models. @return One element for each requested model or adapter. */
    [[nodiscard]] std::vector<HoldingDemand> takeDemand();

private:
    /** @brief What the requests of one queue have in common. */
    struct QueueKey {
        std::string service;
        std::string holding;
        std::optional<std::string> software;
        bool recordedSoftware = false;

        friend auto operator<=>(const QueueKey &, const QueueKey &) = default;
    };

    struct Exchange {
        std::uint64_t id = 0;
        Request request;
        // Keeps `route` alive.
        std::shared_ptr<const RouteTable> table;
        const config::Relay *route = nullptr;
        std::string service;
        std::string organisation;
        std::int64_t priority = 0;
        std::int64_t cost = 0;
        // 0 if the request is not rate-limited.
        std::uint64_t reservation = 0;
        base::Millis arrivedAt;
        // When the shorter of the route's and the caller's timeout expires.
        base::Millis deadline;
        Requirements requirements;
        // The active attempt; its id is 0 while there is none.
        Attempt attempt;
        Choice choice;
        base::Millis sentAt;
        base::Millis lastProgressAt;
        bool started = false;
        // The upstream has been recorded as stalled during this attempt.
        bool stalled = false;
        // When the last event of this attempt arrived.
        base::Millis lastEventAt;
        std::optional<ResponseHead> head;
        std::string body;
        EventSplitter splitter;
        // Bytes of an incomplete event, as counted in m_bufferedBytes.
        std::size_t bufferedEventBytes = 0;
        // Attempts that may have reached an upstream.
        std::int64_t sent = 0;
        int unreached = 0;
        // Those of the unreached that upstreams did not answer, as they may be paused.
        int unanswered = 0;
        // Forwarding entries that failed before they forwarded.
        int peerFailures = 0;
        // A direct attempt failed during a partition; the next ones are forwarded.
        bool avoidsDirect = false;
        // A retry has been charged to the retry budget and not yet settled.
        bool retryCharged = false;
        // An attempt may have been executed.
        bool mayHaveRun = false;
        // The head of the stream has been sent to the caller.
        bool headSent = false;
        // Id of the last event sent to the caller, or that the caller had received before.
        std::string lastEventId;
        // When queueing times out; unset while the request is not queued.
        std::optional<base::Millis> queuedUntil;
        QueueKey queue;
        // Until when it waits for the origin of its stream; unset unless it does.
        std::optional<base::Millis> resolvingUntil;
        // When tick() checks it next.
        base::Millis checkAt;
        // Computed when it is needed first.
        mutable std::string fingerprint;
    };

    void admit(base::Millis now, Exchange &exchange);
    [[nodiscard]] bool outlastsDrain(base::Millis now, const Exchange &exchange) const;
    void onAdmission(base::Millis now, const budget::Admission &admission);
    // Dispatches an admitted request, or has the origin of its stream resolved first.
    void begin(base::Millis now, Exchange &exchange);
    void pinSoftware(base::Millis now, Exchange &exchange, std::string software);
    // Keeps to the version that the leader may know already.
    void pinReported(Exchange &exchange) const;
    void recordOrigin(base::Millis now, const Exchange &exchange, const std::string &software);
    [[nodiscard]] bool isResumable(const Exchange &exchange) const;
    [[nodiscard]] static const std::string &streamOf(const Exchange &exchange) noexcept;
    [[nodiscard]] static QueueKey queueOf(const Exchange &exchange);
    [[nodiscard]] static Requirements requirementsOf(const QueueKey &key);
    void dispatch(base::Millis now, Exchange &exchange, bool fromQueue = false);
    void send(base::Millis now, Exchange &exchange, Choice choice);
    void rejectUnavailable(base::Millis now, Exchange &exchange);
    void enqueue(base::Millis now, Exchange &exchange);
    void leaveQueue(Exchange &exchange);
    void dispatchQueued(base::Millis now);
    void relayEvents(base::Millis now, Exchange &exchange, std::string_view bytes);
    void endResponse(base::Millis now, Exchange &exchange);
    // Lets the upstream be chosen again if the attempt used a pooled connection, whose end or stray bytes do not
    // indicate a failed upstream; a new connection will show. Returns whether it did.
    static bool readmitAfterPooled(Exchange &exchange);
    void applySignal(base::Millis now, const Exchange &exchange, const ResponseHead &head);
    void endStream(base::Millis now, Exchange &exchange, bool delimited);
    void deliver(base::Millis now, Exchange &exchange);
    void fail(
        base::Millis now, Exchange &exchange, AttemptResult result, bool notRun, bool reached, std::string_view how);
    [[nodiscard]] RetryDecision decideRetry(base::Millis now, Exchange &exchange);
    [[nodiscard]] bool takeRetry(base::Millis now, Exchange &exchange);
    void settleRetry(base::Millis now, Exchange &exchange, bool arrived);
    [[nodiscard]] bool bufferBody(Exchange &exchange, std::string_view bytes);
    // The most that one response may hold of the memory for responses.
    [[nodiscard]] std::size_t bufferLimit() const;
    [[nodiscard]] std::string takeBody(Exchange &exchange);
    [[nodiscard]] bool hasOtherUpstream(base::Millis now, const Exchange &exchange) const;
    [[nodiscard]] base::Millis loadRetryDelay(base::Millis now, const Exchange &exchange) const;
    [[nodiscard]] base::Millis closedRetryDelay(base::Millis now, const Exchange &exchange) const;
    [[nodiscard]] base::Millis busyRetryDelay(base::Millis now, const Exchange &exchange, base::Millis wait) const;
    // How long the caller of a resumed stream waits for its next event.
    [[nodiscard]] static base::Millis resumePatience(const Exchange &exchange);
    [[nodiscard]] base::Millis queueTimeout(base::Millis now, const Exchange &exchange) const;
    [[nodiscard]] std::optional<base::Millis> quarantinedFor(base::Millis now, const Exchange &exchange) const;
    void enforceQuarantine(base::Millis now, const std::vector<quarantine::Finding> &findings, bool byLeader);
    void noteLoss(base::Millis now, const Exchange &exchange);
    void selectPath(base::Millis now, Exchange &exchange);
    void evaluateReach(base::Millis now);
    void noteUnanswered(base::Millis now, const Exchange &exchange, ReachFailure failure);
    // Records that bytes of a response arrived.
    void noteReached(base::Millis now, const Exchange &exchange);
    [[nodiscard]] bool forwardInstead(base::Millis now, Exchange &exchange, std::string_view how);
    void onPeerFailed(base::Millis now, Exchange &exchange, const AttemptEnd &end);
    [[nodiscard]] bool lostInPartition(base::Millis now, const Exchange &exchange) const;
    void noteSurvival(base::Millis now, const Exchange &exchange);
    [[nodiscard]] static const std::string &fingerprintOf(const Exchange &exchange);
    [[nodiscard]] static quarantine::RequestTraits traitsOf(const Exchange &exchange);
    [[nodiscard]] bool isRepeatable(const Exchange &exchange) const;
    void giveUp(base::Millis now, Exchange &exchange, Reason reason, base::Millis retryAfter);
    void closeAttempt(base::Millis now, Exchange &exchange, AttemptResult result);
    void cancelAttempt(base::Millis now, Exchange &exchange);
    void finish(base::Millis now, Exchange &exchange);
    void checkTimers(base::Millis now, Exchange &exchange);
    void scheduleCheck(Exchange &exchange, base::Millis at);
    [[nodiscard]] base::Millis stallTimeout(const Exchange &exchange) const;
    [[nodiscard]] bool isStream(const Exchange &exchange) const;
    void note(base::Millis now, const Exchange &exchange, Step step, std::string_view reason, int status = 0,
        std::optional<RetryDecision> next = {}) const;
    [[nodiscard]] Exchange *find(std::uint64_t exchange);
    [[nodiscard]] Exchange *findByAttempt(std::uint64_t attempt);

    CoreOptions m_options;
    Effects &m_effects;
    // Null before the first configuration.
    std::shared_ptr<const RouteTable> m_table;
    bool m_isOutdated = false;
    Fleet m_fleet;
    // Bytes of all buffered bodies; at most maxBufferedBytes.
    std::size_t m_bufferedBytes = 0;
    RetryBudget m_retries;
    budget::Holder m_budgetHolder;
    quarantine::PromptGuard m_guard;
    UpstreamReach m_reach;
    lineage::StreamJournal m_journal;
    // The upstreams of the latest list, until tick() has passed them to the guard.
    std::vector<standing::Run> m_listed;
    base::Millis m_lastBudgetReplyAt;
    std::unordered_map<std::uint64_t, std::unique_ptr<Exchange>> m_exchanges;
    std::unordered_map<std::uint64_t, std::uint64_t> m_byAttempt;
    std::unordered_map<std::uint64_t, std::uint64_t> m_byReservation;
    // Exchanges by the time of their next check in tick().
    std::set<std::pair<base::Millis, std::uint64_t>> m_checks;
    std::uint64_t m_lastAttempt = 0;
    bool m_draining = false;
    // When a shutdown terminates requests; base::NEVER before it begins.
    base::Millis m_drainUntil = base::NEVER;
    bool m_urgent = false;
    // Empty queues are removed.
    std::map<QueueKey, admission::FairQueue> m_queues;
    std::map<std::pair<std::string, std::string>, HoldingDemand> m_demand;
};

} // namespace bamboomoor::relay
