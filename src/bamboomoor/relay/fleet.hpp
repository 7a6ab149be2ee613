/**
 * Load balancing: the state of the upstreams of all services as one entry sees it, and the selection of an upstream.
 *
 * It is designed for prompts of very different length on engines that process one prompt after the other and delay
 * their running streams meanwhile. The cost of an engine comprises the prompt tokens queued there by this entry and, as
 * reported, by other entries; the tokens of the new prompt that its prefix cache does not cover; the recent excess of
 * its time to first event; the recent pauses of its streams; and its recent failures. An overloaded engine gets prompts
 * no faster than its pacer allows, and no engine gets further prompts while this entry has queued as many tokens there
 * as the engine processes in one step.
 */
#pragma once

#include "bamboomoor/base/clock.hpp"
#include "bamboomoor/base/nametable.hpp"
#include "bamboomoor/relay/engineprofile.hpp"
#include "bamboomoor/relay/pacer.hpp"
#include "bamboomoor/relay/request.hpp"
#include "bamboomoor/standing/coldperiods.hpp"
#include "bamboomoor/standing/upstreamtracker.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace bamboomoor::relay
{

/** @brief An upstream, as described by its latest announcement. */
struct Worker {
    std::string id;
    // "IP:PORT".
    std::string address;
    std::string dataCentre;
    std::string service;
    // The loaded models, and adapters as MODEL/ADAPTER.
    std::set<std::string> holdings;
    // The incarnation of its process and the sequence number of the announcement.
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    // The most requests that it runs at once; 0 if unknown.
    std::int64_t slots = 0;
    // The version of its software; empty if it is not reported.
    std::string software = {};
    // The control group has recorded that the version is in service.
    bool softwareRecorded = true;
    // Until then the announcement tells which process runs under the id; later another one may have taken its place.
    base::Millis currentUntil = base::NEVER;
    // Set while it is cold.
    std::optional<standing::ColdPeriod> cold = std::nullopt;

    friend bool operator==(const Worker &lhs, const Worker &rhs)
    {
        const auto contents = [](const Worker &it) {
            return std::tie(it.id, it.address, it.dataCentre, it.service, it.holdings, it.incarnation, it.sequence,
                it.slots, it.software, it.softwareRecorded);
        };
        return contents(lhs) == contents(rhs);
    }
};

/**
 * @brief Builds the name of the holding that an upstream needs to serve a request.
 * @param model The model.
 * @param adapter The adapter; empty for the base model.
 * @return MODEL or MODEL/ADAPTER.
 */
[[nodiscard]] std::string holdingOf(const std::string &model, const std::string &adapter);

/** @brief The settings of a fleet. */
struct FleetOptions {
    // The data centre of this entry, preferred among upstreams of similar cost.
    std::string dataCentre;
    std::uint64_t seed = 1;
    ProfileOptions profile;
    // The rate of the reference engine in prompt tokens per millisecond. Costs and pacers count in its tokens.
    std::int64_t tokensPerMilli = 19;
    // The cost of a request in progress.
    std::int64_t tokensPerRequest = 60;
    // The cost of an upstream in another data centre.
    std::int64_t tokensPerDistance = 30;
    // The cost of an upstream all of whose recent requests failed.
    std::int64_t tokensPerFailure = 40'000;
    // The half-life of observed failures, waits and pauses.
    base::Millis halfLife{1'500};
    // The initial and the greatest back-off after an upstream refused a connection; it doubles with each refusal.
    base::Millis initialBackoff{300};
    base::Millis maxBackoff{4'000};
    // An upstream that does not answer connection attempts counts as paused for this time, and as gone afterwards; a
    // sound one pauses for a second or so. Requests wait for a paused upstream.
    base::Millis maxPause{2'000};
    // The initial and the greatest window of concurrent requests to an upstream of a plain service; a failed or
    // rejected request halves the window, an error response does not.
    double initialWindow = 4;
    double maxWindow = 64;
    // The time within which an adapter is loaded by an upstream that has loaded its base model.
    base::Millis adapterLoadTime{150};
    // The most tokens that this entry queues at one engine; about what an engine processes in one step.
    std::int64_t maxQueuedTokens = 4'096;
    // The number of prompt prefixes remembered for each upstream.
    std::size_t rememberedPrompts = 256;
    // How long queued requests ask for room at the same brittle upstreams.
    base::Millis roomTurn{500};
    // Engine steps between two events of a stream.
    std::int64_t stepsPerEvent = 2;
    PacerOptions pacer;
    standing::UpstreamTrackerOptions standing;
};

/** @brief The requirements of a request for the selection of an upstream. */
struct Requirements {
    std::string service;
    // Empty for a plain service.
    std::string holding;
    std::vector<PromptPart> parts;
    std::int64_t promptTokens = 0;
    // Upstreams that this request has already been sent to.
    std::set<std::string> excluded;
    // The only software version that may serve the request; any if unset.
    std::optional<std::string> software = std::nullopt;
    // The stream began at an upstream whose version is not certain, so that it cannot go on anywhere.
    bool softwareUncertain = false;
    // Requires a recorded software version, as other entries may have to resume the stream.
    bool recordedSoftware = false;
};

/** @brief The selected upstream. */
struct Choice {
    std::string id;
    std::uint64_t incarnation = 0;
    std::string address;
    // The predicted wait before the prompt is processed.
    base::Millis expectedWait;
    // Prompt tokens that its prefix cache is not expected to cover.
    std::int64_t newTokens = 0;
    // Its pooled connections may be stale.
    bool freshConnection = false;
    // The version of its software.
    std::string software = {};
    // Its announcement is current.
    bool isCurrent = true;
};

/** @brief A model or adapter that an upstream is loading, or loaded so recently that its announcements may not list it.
 */
struct PlacedHolding {
    std::string upstream;
    // MODEL or MODEL/ADAPTER.
    std::string holding;
    // The time until it is loaded; 0 if it is.
    base::Millis readyIn;
};

/** @brief Why no upstream can be selected. Busy upstreams regain capacity as they process prompts, or are paused;
 * Closed ones have signalled that they accept no requests for some time, and Loading means that a load is in progress.
 */
enum class UnavailableReason { NoUpstream, NotHeld, AllTried, Closed, Busy, Loading };

/** @brief The names of UnavailableReason in logs. */
inline constexpr auto UNAVAILABLE_REASON_NAMES =
    base::makeNames<UnavailableReason>("no_upstream", "not_held", "all_tried", "closed", "busy", "coming");

/** @brief How an attempt at an upstream ended; NotReached means that it refused the connection, Unanswered that it did
 * not answer the connection attempt in time, Lost that the connection closed before any response byte, Stray that a
 * pooled connection delivered the response to another request, or bytes of none. */
enum class AttemptResult { Answered, Failed, ErrorResponse, Refused, NotReached, Unanswered, Lost, Stray, Cancelled };

/** @brief The load balancer of an entry. Not thread-safe. */
class Fleet
{
public:
    /** @brief Creates an empty fleet. @param options The settings. */
    explicit Fleet(FleetOptions options);

    /**
     * @brief Replaces the list of available upstreams; the observed state of those that remain is kept.
     * @param workers The complete list.
     */
    void update(std::vector<Worker> workers);

    /**
     * @brief Selects an upstream.
     * @param now The current time.
     * @param requirements The requirements.
     * @return One of the upstreams of about the lowest cost, or nothing if none is available.
     */
    [[nodiscard]] std::optional<Choice> choose(base::Millis now, const Requirements &requirements);

    /**
     * @brief Tells whether any upstream can take a prompt now.
     * @param now The current time.
     * @param requirements The requirements.
     * @return True if a suitable one has capacity and needs no permit or has one.
     */
    [[nodiscard]] bool hasRoom(base::Millis now, const Requirements &requirements) const;

    /**
     * @brief Estimates how long a request has to be queued.
     * @param now The current time.
     * @param requirements The requirements.
     * @param ahead Prompt tokens queued before it.
     * @param requestsAhead The number of requests queued before it.
     * @return The predicted time in the queue.
     */
    [[nodiscard]] base::Millis predictedWait(
        base::Millis now, const Requirements &requirements, std::int64_t ahead, std::int64_t requestsAhead) const;

    /**
     * @brief Sets the load that other entries have queued at the upstreams.
     * @param now The current time.
     * @param waiting Prompt tokens by upstream.
     */
    void setRemoteLoad(base::Millis now, const std::map<std::string, std::int64_t> &waiting);

    /** @brief Replaces the list of pending and recent placements. @param now The current time. @param placed The
     * complete list. */
    void setPlacements(base::Millis now, const std::vector<PlacedHolding> &placed);

    /**
     * @brief Returns when the required holding will be loaded by an upstream that this request has not been sent to.
     * @param now The current time.
     * @param requirements The requirements.
     * @return The time until then, or base::NEVER.
     */
    [[nodiscard]] base::Millis loadedIn(base::Millis now, const Requirements &requirements) const;

    /**
     * @brief Returns when the next replica of the required model will be loaded.
     * @param now The current time.
     * @param requirements The requirements.
     * @return The time until then, or 0 if none is being loaded.
     */
    [[nodiscard]] base::Millis nextReplicaIn(base::Millis now, const Requirements &requirements) const;

    /**
     * @brief Returns when the first suitable upstream accepts requests again.
     * @param now The current time.
     * @param requirements The requirements; upstreams that this request has already been sent to are excluded.
     * @return The time until then; 0 if one of them is not closed or none has loaded the holding.
     */
    [[nodiscard]] base::Millis opensIn(base::Millis now, const Requirements &requirements) const;

    /** @brief Lists the upstreams that currently accept no connection. @param now The current time. @return Their ids.
     */
    [[nodiscard]] std::vector<std::string> unreachable(base::Millis now) const;

    /**
     * @brief Returns the load that this entry has queued at the upstreams.
     * @return Prompt tokens by upstream; upstreams without queued tokens are omitted.
     */
    [[nodiscard]] std::map<std::string, std::int64_t> queuedTokens() const;

    /**
     * @brief Returns why no upstream can be selected for a request.
     * @param now The current time.
     * @param requirements The requirements.
     * @return The reason.
     */
    [[nodiscard]] UnavailableReason unavailableReason(base::Millis now, const Requirements &requirements) const;

    /**
     * @brief Records that a request was sent.
     * @param now The current time.
     * @param choice The selected upstream.
     * @param requirements The requirements.
     * @return True if it consumed a permit.
     */
    bool onSent(base::Millis now, const Choice &choice, const Requirements &requirements);

    /**
     * @brief Records the first event of a stream, or the completion of another response.
     * @param now The current time.
     * @param choice The upstream.
     * @param sentAt When the request was sent.
     */
    void onFirstEvent(base::Millis now, const Choice &choice, base::Millis sentAt);

    /**
     * @brief Applies the signals that a response carries about its upstream.
     * @param now The current time.
     * @param choice The upstream.
     * @param signal The signals.
     * @param sentAt When the request was sent.
     * @param ran False if the upstream rejected the request.
     * @return The resulting state changes.
     */
    std::vector<standing::Change> onSignal(
        base::Millis now, const Choice &choice, const standing::UpstreamSignal &signal, base::Millis sentAt, bool ran);

    /** @brief Applies the leader's report on an upstream. @param now The current time. @param report The report. */
    void onLeaderReport(base::Millis now, const standing::LeaderReport &report);

    /**
     * @brief Registers the demand of a queue for permits of rate-limited upstreams.
     * @param now The current time.
     * @param requirements What the queued requests require.
     * @param count The number of queued requests.
     */
    void addPermitDemand(base::Millis now, const Requirements &requirements, std::int64_t count);

    /** @brief Tells whether permits should be requested from the leader now. @param now The current time. */
    [[nodiscard]] bool permitRequestDue(base::Millis now) const;

    /** @brief Takes the reports on upstreams that are due to the leader. @param now The current time. @return One
     * report for each upstream with signalled state. */
    [[nodiscard]] std::vector<standing::Report> takeReports(base::Millis now);

    /**
     * @brief Records a pause between two events of a stream, or the wait for its first event.
     * @param now The current time.
     * @param choice The upstream.
     * @param pause The observed duration.
     * @param objective The greatest acceptable duration.
     */
    void onPause(base::Millis now, const Choice &choice, base::Millis pause, base::Millis objective);

    /** @brief Records that a request has stalled. @param now The current time. @param choice The upstream. */
    void onStall(base::Millis now, const Choice &choice);

    /**
     * @brief Records the end of a request.
     * @param now The current time.
     * @param choice The upstream.
     * @param hadStarted Whether onFirstEvent() was called for it.
     * @param result How it ended.
     */
    void onEnded(base::Millis now, const Choice &choice, bool hadStarted, AttemptResult result);

    /** @brief Sets aside the failures of all upstreams, as the direct path to them and not they failed. */
    void setFailuresAside();

    /** @brief Restores the back-off of upstreams whose failures were set aside, once the direct path is used again. */
    void restoreFailures();

    /**
     * @brief Records that an upstream does not have a holding that it announced; it is excluded from requests for it
     * until its next announcement.
     * @param id The upstream.
     * @param holding The missing holding; empty if another process serves at its address.
     */
    void onMissingHolding(const std::string &id, const std::string &holding);

private:
    struct State {
        std::int64_t running = 0;
        // Prompt tokens of requests that have no first event yet.
        std::int64_t queuedTokens = 0;
        // The queued prompt tokens of other entries, as of remoteAt.
        std::int64_t remoteTokens = 0;
        base::Millis remoteAt;
        // The decaying share of failed requests, from 0 to 1, as of measuredAt.
        double failures = 0;
        // The decaying mean pause between the events of its streams, in milliseconds, as of pausedAt.
        double pause = 0;
        base::Millis pausedAt;
        Pacer pacer;
        // The limit of concurrent requests of this entry, for a plain service.
        double window = 0;
        // The decaying mean time to first event beyond the processing time of the prompt, in milliseconds, as of
        // measuredAt.
        double excessWait = 0;
        base::Millis measuredAt;
        base::Millis backoffUntil;
        base::Millis backoff;
        // When the first of the connection attempts failed that it has not answered; unset after any response.
        std::optional<base::Millis> unansweredSince;
        // The back-off of direct attempts while requests are forwarded.
        base::Millis directBackoffUntil;
        base::Millis directBackoff;
        // A connection was lost; pooled connections are not used until the next response.
        bool lostConnection = false;
        // Hashes of the prompt prefixes sent there with the time of their last use, and the reverse for LRU eviction.
        std::unordered_map<std::uint64_t, std::uint64_t> prompts;
        std::map<std::uint64_t, std::uint64_t> promptsByUse;
        std::uint64_t uses = 0;
    };
    struct TrackedWorker {
        Worker worker;
        State state;
        // Holdings that it announced but does not have.
        std::set<std::string> missing;
        // Holdings that the leader placed here, with the time when they are loaded; a later announcement lists them.
        std::map<std::string, base::Millis> placed;
    };

    [[nodiscard]] bool isBusy(base::Millis now, const TrackedWorker &known, const std::string &holding) const;
    [[nodiscard]] static standing::Run runOf(const TrackedWorker &known);
    [[nodiscard]] bool isLimited(base::Millis now, const TrackedWorker &known) const;
    [[nodiscard]] bool isClosed(base::Millis now, const TrackedWorker &known) const;
    void backOff(base::Millis now, State &state, AttemptResult result, bool stalePooled) const;
    [[nodiscard]] bool isPaused(base::Millis now, const TrackedWorker &known) const noexcept;
    [[nodiscard]] bool isEligible(base::Millis now, const TrackedWorker &known, const Requirements &requirements,
        bool despiteBackoff = false) const;
    [[nodiscard]] static bool hasSoftware(
        base::Millis now, const TrackedWorker &known, const Requirements &requirements);
    [[nodiscard]] bool canServe(base::Millis now, const TrackedWorker &known, const Requirements &requirements) const;
    [[nodiscard]] bool hasLoaded(base::Millis now, const TrackedWorker &known, const std::string &holding) const;
    [[nodiscard]] double costOf(
        base::Millis now, const TrackedWorker &known, const Requirements &requirements, std::int64_t newTokens) const;
    [[nodiscard]] std::int64_t cachedTokens(const TrackedWorker &known, const Requirements &requirements) const;
    [[nodiscard]] double decay(base::Millis now, base::Millis since) const;
    void remember(State &state, const Requirements &requirements) const;
    [[nodiscard]] double referenceTokens(const std::string &service, std::int64_t tokens) const;
    TrackedWorker *find(const std::string &id);
    // Null if the process has restarted since it was chosen: its state is that of another one.
    TrackedWorker *find(const Choice &choice);

    FleetOptions m_options;
    std::mt19937_64 m_random;
    // Kept separately, as it outlives the removal of an upstream from the list.
    standing::UpstreamTracker m_standing;
    std::map<std::string, TrackedWorker> m_workers;
    // Upstreams by service; the pointers refer to elements of m_workers.
    std::map<std::string, std::vector<TrackedWorker *>> m_services;
    // By service.
    std::map<std::string, EngineProfile> m_profiles;
};

} // namespace bamboomoor::relay
