/**
 * The upstreams of all services as one entry sees them, and the choice among them.
 *
 * The load that it answers: prompts of very different length on engines that read one prompt after the other, and
 * stretch the pauses of running streams while they read. Each engine is weighed by the prompt tokens that wait there,
 * this entry's own and those that other entries reported, less what the engine still keeps of the new prompt, by the
 * wait that first events showed lately, by the pauses of the streams there, and by recent failures. An engine gets
 * prompts no faster than its pacer says, and none while it has as much of this entry's to read as one of its steps
 * takes.
 */
#pragma once

#include "bamboomoor/base/clock.hpp"
#include "bamboomoor/base/nametable.hpp"
#include "bamboomoor/relay/engineprofile.hpp"
#include "bamboomoor/relay/pacer.hpp"
#include "bamboomoor/relay/request.hpp"
#include "bamboomoor/standing/standing.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace bamboomoor::relay
{

/** @brief An upstream as it announced itself. */
struct Worker {
    std::string id;
    // "IP:PORT".
    std::string address;
    std::string dataCentre;
    std::string service;
    // Models, and adapters as MODEL/ADAPTER.
    std::set<std::string> holds;
    // Tell one announcement from another.
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;

    friend bool operator==(const Worker &, const Worker &) = default;
};

/**
 * @brief Names what an upstream must hold for a request.
 * @param model The model.
 * @param adapter The adapter, or empty.
 * @return MODEL or MODEL/ADAPTER.
 */
[[nodiscard]] std::string holdingOf(const std::string &model, const std::string &adapter);

/** @brief The settings of a fleet. */
struct FleetOptions {
    // The data centre of this entry, preferred where waits are alike.
    std::string dataCentre;
    std::uint64_t seed = 1;
    ProfileOptions profile;
    // Costs, and what pacers count, are in prompt tokens of an engine that reads so many in a millisecond.
    std::int64_t tokensPerMilli = 19;
    // What a request in progress costs its engine.
    std::int64_t tokensPerRun = 60;
    // What another data centre costs.
    std::int64_t tokensPerDistance = 30;
    // What an upstream of failures alone costs.
    std::int64_t tokensPerFailure = 40'000;
    // Failures and waits count half after this time.
    base::Millis halfLife{1'500};
    // An upstream that refused a connection is avoided for this time at first, and at most for the second one.
    base::Millis firstAvoidance{300};
    base::Millis longestAvoidance{4'000};
    // Requests of this entry in progress at one plain service: at first, and at most. A reset halves the number.
    double firstWindow = 4;
    double mostWindow = 64;
    // An adapter comes to an upstream that holds its model within this time.
    base::Millis adapterTime{150};
    // What may wait of this entry at one engine; an engine reads about as much in one step.
    std::int64_t waitingTokens = 4'096;
    // Prompts remembered for each upstream.
    std::size_t rememberedPrompts = 256;
    // Tokens that an engine yields between two events of a stream.
    std::int64_t stepsPerEvent = 2;
    PacerOptions pacer;
    standing::StandingOptions standing;
};

/** @brief What is looked for. */
struct Wanted {
    std::string service;
    // Empty for a plain service.
    std::string holding;
    std::vector<PromptPart> parts;
    std::int64_t promptTokens = 0;
    // Upstreams that this request was at already.
    std::set<std::string> except;
};

/** @brief The upstream that was chosen. */
struct Choice {
    std::string id;
    std::uint64_t incarnation = 0;
    std::string address;
    // The wait to expect there before the prompt is read, in milliseconds.
    base::Millis expectedWait;
    // Prompt tokens that it does not keep.
    std::int64_t newTokens = 0;
    // Its pooled connections may be dead.
    bool freshConnection = false;
};

/** @brief What comes to an upstream, or came to it so lately that its announcements may not show it. */
struct Placed {
    std::string upstream;
    // MODEL or MODEL/ADAPTER.
    std::string holding;
    // 0 when it is there.
    base::Millis readyIn;
};

/** @brief Why no upstream was chosen; Busy ones get room as they read on, Closed ones have said that they take nothing
 * for a time, and what is Coming is being loaded. */
enum class Lack { NoUpstream, NotHeld, AllTried, Closed, Busy, Coming };

/** @brief The names of Lack. */
inline constexpr auto LACK_NAMES =
    base::makeNames<Lack>("no_upstream", "not_held", "all_tried", "closed", "busy", "coming");

/** @brief How an attempt at an upstream ended; Lost is a connection that ended before any byte of an answer. */
enum class Result { Answered, Failed, ErrorAnswer, Refused, NotReached, Lost, Cancelled };

/** @brief The upstreams and what is known of their state. */
class Fleet
{
public:
    /** @brief Makes an empty fleet. @param options The settings. */
    explicit Fleet(FleetOptions options);

    /**
     * @brief Takes all upstreams that may get work; what is known of the state of those that stay is kept.
     * @param workers The upstreams.
     */
    void update(std::vector<Worker> workers);

    /**
     * @brief Chooses an upstream.
     * @param now The present time.
     * @param wanted What is looked for.
     * @return The one with the shortest wait to expect, or nothing.
     */
    [[nodiscard]] std::optional<Choice> choose(base::Millis now, const Wanted &wanted);

    /**
     * @brief Tells whether an upstream has room for a prompt.
     * @param now The present time.
     * @param service The service.
     * @param holding What it must hold.
     * @return True when one that holds it has.
     */
    [[nodiscard]] bool hasRoom(base::Millis now, const std::string &service, const std::string &holding) const;

    /**
     * @brief Estimates how long a request waits for room when others wait already.
     * @param now The present time.
     * @param wanted What is looked for.
     * @param ahead Prompt tokens that wait before it.
     * @param requestsAhead The requests that they belong to.
     * @return Milliseconds.
     */
    [[nodiscard]] base::Millis waitFor(
        base::Millis now, const Wanted &wanted, std::int64_t ahead, std::int64_t requestsAhead) const;

    /**
     * @brief Takes what other entries have waiting at the upstreams.
     * @param now The present time.
     * @param waiting Prompt tokens by upstream.
     */
    void setForeignLoad(base::Millis now, const std::map<std::string, std::int64_t> &waiting);

    /** @brief Takes what comes to upstreams or came lately. @param now The present time. @param placed All of it. */
    void setPlaced(base::Millis now, const std::vector<Placed> &placed);

    /**
     * @brief Tells when something comes to an upstream that this request was not at.
     * @param now The present time.
     * @param wanted What is looked for.
     * @return The time until then, or base::NEVER.
     */
    [[nodiscard]] base::Millis comingIn(base::Millis now, const Wanted &wanted) const;

    /**
     * @brief Tells when another copy of what is held already comes.
     * @param now The present time.
     * @param wanted What is looked for.
     * @return The time until then, or 0 when none is known of.
     */
    [[nodiscard]] base::Millis nextCopyIn(base::Millis now, const Wanted &wanted) const;

    /**
     * @brief Tells when the first upstream that holds what is wanted takes requests again.
     * @param now The present time.
     * @param wanted What is looked for; upstreams that this request was at are left out.
     * @return The time until then, 0 when one of them has not closed itself or none holds it.
     */
    [[nodiscard]] base::Millis opensIn(base::Millis now, const Wanted &wanted) const;

    /** @brief Lists the upstreams that accept no connection. @param now The present time. @return Their ids. */
    [[nodiscard]] std::vector<std::string> unreachable(base::Millis now) const;

    /**
     * @brief Lists what this entry has waiting at the upstreams.
     * @return Prompt tokens by upstream, without those that have none.
     */
    [[nodiscard]] std::map<std::string, std::int64_t> waiting() const;

    /**
     * @brief Tells why choose() found nothing.
     * @param now The present time.
     * @param wanted What was looked for.
     * @return The reason.
     */
    [[nodiscard]] Lack lackOf(base::Millis now, const Wanted &wanted) const;

    /**
     * @brief Notes that a request was sent.
     * @param now The present time.
     * @param choice Where to.
     * @param wanted What was looked for.
     * @return True when it used a permit.
     */
    bool began(base::Millis now, const Choice &choice, const Wanted &wanted);

    /**
     * @brief Notes the first event or byte of an answer.
     * @param now The present time.
     * @param choice Where from.
     * @param sentAt When the request was sent.
     */
    void started(base::Millis now, const Choice &choice, base::Millis sentAt);

    /**
     * @brief Takes what an answer says of the upstream.
     * @param now The present time.
     * @param choice Where from.
     * @param word What it says.
     * @param sentAt When the request was sent.
     * @param ran False for a refusal.
     * @return What changed.
     */
    std::vector<standing::Change> heard(
        base::Millis now, const Choice &choice, const standing::Word &word, base::Millis sentAt, bool ran);

    /** @brief Takes what the leader tells of an upstream's word. @param now The present time. @param told The word. */
    void told(base::Millis now, const standing::Told &told);

    /**
     * @brief Wishes for permits of the limited upstreams that a queue waits for.
     * @param now The present time.
     * @param service The service.
     * @param holding What they must hold.
     * @param count Requests that wait.
     */
    void wish(base::Millis now, const std::string &service, const std::string &holding, std::int64_t count);

    /** @brief Tells whether the leader should hear of wishes now. @param now The present time. @return True then. */
    [[nodiscard]] bool wantsToAsk(base::Millis now) const;

    /** @brief Takes what the leader should hear of upstreams' words. @param now The present time. @return All words. */
    [[nodiscard]] std::vector<standing::Report> takeReports(base::Millis now);

    /**
     * @brief Notes the pause between two events of a stream.
     * @param now The present time.
     * @param choice Where from.
     * @param pause How long it was.
     * @param objective How long it may be.
     */
    void paused(base::Millis now, const Choice &choice, base::Millis pause, base::Millis objective);

    /** @brief Notes that a request is silent for longer than it should. @param now The present time. @param choice
     * Where. */
    void silent(base::Millis now, const Choice &choice);

    /**
     * @brief Notes the end of a request.
     * @param now The present time.
     * @param choice Where it was.
     * @param started Whether started() was called for it.
     * @param result How it ended.
     */
    void ended(base::Millis now, const Choice &choice, bool started, Result result);

    /**
     * @brief Notes that an upstream lacks what it announced; until its next announcement it is not asked for it.
     * @param id The upstream.
     * @param holding What it lacks; empty when another process serves at its address.
     */
    void lacks(const std::string &id, const std::string &holding);

private:
    struct State {
        std::int64_t running = 0;
        // Prompt tokens of requests without a first event.
        std::int64_t waitingTokens = 0;
        // Those of other entries, as of foreignAt.
        std::int64_t foreignTokens = 0;
        base::Millis foreignAt;
        // Share of failures lately, from 0 to 1, as of measuredAt.
        double failures = 0;
        // The pause between events of its streams lately, in milliseconds, as of pausedAt.
        double pause = 0;
        base::Millis pausedAt;
        Pacer pacer;
        // Requests in progress that a plain service gets from this entry.
        double window = 0;
        // The wait for first events beyond what this entry's own requests explain, in milliseconds.
        double excessWait = 0;
        base::Millis measuredAt;
        base::Millis avoidedUntil;
        base::Millis avoidance;
        // A connection was lost; until an answer comes its pooled connections are not used.
        bool lostConnection = false;
        // Prefixes of prompts sent there, by the time of their use.
        std::unordered_map<std::uint64_t, std::uint64_t> prompts;
        std::map<std::uint64_t, std::uint64_t> promptsByUse;
        std::uint64_t uses = 0;
    };
    struct Known {
        Worker worker;
        State state;
        // Announced and yet not there.
        std::set<std::string> missing;
        // Placed by the leader, and when that is in force; an announcement shows it soon after.
        std::map<std::string, base::Millis> placed;
    };

    [[nodiscard]] bool isBusy(base::Millis now, const Known &known, const std::string &holding) const;
    [[nodiscard]] static standing::Run runOf(const Known &known);
    [[nodiscard]] bool isLimited(base::Millis now, const Known &known) const;
    [[nodiscard]] bool isClosed(base::Millis now, const Known &known) const;
    [[nodiscard]] bool offers(base::Millis now, const Known &known, const Wanted &wanted) const;
    [[nodiscard]] bool canServe(base::Millis now, const Known &known, const Wanted &wanted) const;
    [[nodiscard]] bool holds(base::Millis now, const Known &known, const std::string &holding) const;
    [[nodiscard]] double costOf(
        base::Millis now, const Known &known, const Wanted &wanted, std::int64_t newTokens) const;
    [[nodiscard]] std::int64_t keptTokens(const Known &known, const Wanted &wanted) const;
    [[nodiscard]] double fading(base::Millis now, base::Millis since) const;
    void remember(State &state, const Wanted &wanted) const;
    [[nodiscard]] double standardTokens(const std::string &service, std::int64_t tokens) const;
    Known *find(const std::string &id);

    FleetOptions m_options;
    std::mt19937_64 m_random;
    // Outlives the listing of an upstream.
    standing::Standing m_standing;
    std::map<std::string, Known> m_workers;
    // Upstreams by service; the pointers lead into m_workers.
    std::map<std::string, std::vector<Known *>> m_services;
    // By service.
    std::map<std::string, EngineProfile> m_profiles;
};

} // namespace bamboomoor::relay
