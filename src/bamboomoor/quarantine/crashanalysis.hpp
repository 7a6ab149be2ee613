/**
 * Finds what crashes the upstreams which begin to answer it, from the attempts that were lost in crashes: a prompt
 * part, or a whole request that comes again and again.
 *
 * A crash loses every attempt at the upstream, so a lost attempt alone proves nothing. A subject, which is a part or a
 * request, is quarantined once it was in lost attempts at several upstreams and at several moments, and nothing with it
 * has survived since. A part also needs attempts of several requests; if one request accounts for all of them, it is
 * the better explanation. A survival removes the subject from all earlier evidence, so parts that sound requests use as
 * well are cleared by those. The crashes that a quarantined subject explains no longer count against other ones.
 *
 * Entries run an analysis of what they see themselves, the leader one of the reports of all entries.
 */
#pragma once

#include "bamboomoor/base/clock.hpp"
#include "bamboomoor/quarantine/lossstore.hpp"
#include "bamboomoor/standing/upstreamsignal.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace bamboomoor::quarantine
{

/** @brief An attempt that was lost before its upstream had answered more than one event. */
struct LostAttempt {
    standing::Run run;
    base::Millis at;
    // The last part of the prompt, which distinguishes requests and is the same in retries of one; without a prompt,
    // the request's identity.
    std::string request;
    // The parts before it, in prompt order; empty where a part has been cleared by a survival.
    std::vector<std::string> parts;
    // The subject that stands for the whole request; empty once it has been cleared.
    std::string identity{};
    // When the attempt was sent, if that is known.
    std::optional<base::Millis> sentAt{};

    friend bool operator==(const LostAttempt &, const LostAttempt &) = default;
};

/** @brief A request with a subject was answered beyond its first event, or completely. */
struct Survival {
    // A prompt part, or the identity of the request.
    std::string part;
    base::Millis at;
};

/** @brief A prompt part or request that is not sent to upstreams until a given time. */
struct Quarantine {
    std::string part;
    base::Millis until;
};

/** @brief A prompt part or request that has been quarantined, with the evidence. */
struct Finding {
    std::string part;
    base::Millis until;
    std::size_t crashes = 0;
};

/** @brief The settings of CrashAnalysis. */
struct CrashAnalysisOptions {
    // Crashes that a part must have been in; more than one.
    std::size_t minCrashes = 3;
    // The same for a whole request, of which every process that analyses has seen the attempts.
    std::size_t minRequestCrashes = 3;
    // Moments at which these must have been. A rack fails at one moment, and an innocent request that several of its
    // upstreams ran at that moment is rare enough that two suffice.
    std::size_t minRequestMoments = 2;
    // Requests that a part must have crashed upstreams with; retries of one may account for several crashes.
    std::size_t minRequests = 2;
    // Crashes within this time may have one common cause: they are one moment, and count once against a part. They all
    // count against a request that was at every upstream that was lost then, and one that it was sent to after the
    // crash before is a moment of its own.
    base::Millis mergeInterval{100};
    // Whether crashes of one moment count against such a request.
    bool countBursts = true;
    // The time after the last crash that is needed in which a survival clears the part; the first part of a prompt is
    // shared by the most sound requests and gets more.
    base::Millis settleTime{100};
    base::Millis firstPartSettleTime{1'000};
    // A lost attempt counts only if its upstream is found to have crashed within this time.
    base::Millis confirmTimeout{10'000};
    base::Millis evidenceLife{600'000};
    // Doubles each time the part crashes an upstream after its quarantine.
    base::Millis quarantineTime{600'000};
    base::Millis maxQuarantineTime{3'600'000};
    // Ends of one quarantine that differ by less are the same, reported over connections of different latency.
    base::Millis clockTolerance{5'000};
    // How long a lifted quarantine is announced and reports of it are ignored.
    base::Millis liftedLife{60'000};
    // Crashes that lose several hundred attempts each need some thousands.
    std::size_t maxAttempts = 8'192;
    std::size_t maxQuarantined = 256;
    // Requests that were in all crashes of a quarantined one.
    std::size_t maxRivals = 512;
    // Parts that are watched for survivals.
    std::size_t maxSuspects = 64;
    // Crashes that are attributed to a quarantined part and remembered, as reports of them may still arrive.
    std::size_t maxExplained = 256;
    // The least interval between two evaluations.
    base::Millis evaluationInterval{50};
    // The least interval between two compilations of the suspects, which every report of an entry is answered with.
    base::Millis suspectInterval{100};
};

/** @brief Collects lost attempts and decides on quarantines. Not thread-safe. */
class CrashAnalysis
{
public:
    /** @brief Creates an analysis without evidence. @param options The settings. */
    explicit CrashAnalysis(CrashAnalysisOptions options = {}) noexcept
        : m_options(options)
        , m_losses(options.maxAttempts)
    {
    }

    /**
     * @brief Adds a lost attempt; if there are too many, those are dropped that tell the least about what crashes
     * upstreams.
     * @param now The current time.
     * @param attempt The attempt.
     * @return False if it is known already, its crash is attributed to a quarantined subject, or it has no subject.
     */
    bool add(base::Millis now, const LostAttempt &attempt);

    /** @brief Records that an upstream accepts no connection. @param now The current time. @param upstream Its id.
     * @param until Only losses until then are known to be due to that. */
    void onUnreachable(base::Millis now, const std::string &upstream, base::Millis until = base::NEVER);

    /** @brief Records that an upstream answered, so that it had not crashed before. @param run The upstream. @param
     * sentAt When the answered attempt was sent. */
    void onAnswered(const standing::Run &run, base::Millis sentAt);

    /** @brief Tells whether an upstream is known to have crashed. @param run The upstream. */
    [[nodiscard]] bool hasCrashed(const standing::Run &run) const;

    /** @brief Tells whether onRun() may confirm a crash. */
    [[nodiscard]] bool hasUnconfirmed() const noexcept
    {
        return m_losses.hasUnconfirmed();
    }

    /** @brief Records the running incarnation of an upstream. @param now The current time. @param run The incarnation.
     */
    void onRun(base::Millis now, const standing::Run &run);

    /** @brief Removes a part from earlier evidence, and lifts its quarantine if it survived after the last crash that
     * counted against it. @param survival The survival. @return True if a quarantine was lifted. */
    bool onSurvival(const Survival &survival);

    /** @brief Adds a quarantine that another process decided on, or removes one that it lifted. @param now The current
     * time. @param quarantine The quarantine; lifted if it is over. @return True if the part was not quarantined for
     * about that long. */
    bool merge(base::Millis now, const Quarantine &quarantine);

    /** @brief Lists what entries are told. @param now The current time. @return The quarantined parts, and those whose
     * quarantine was lifted lately with one that is over. */
    [[nodiscard]] std::vector<Quarantine> announced(base::Millis now) const;

    /** @brief Quarantines parts that the evidence suffices for, and discards expired evidence. @param now The current
     * time. @return The new quarantines. */
    std::vector<Finding> evaluate(base::Millis now);

    /** @brief Tells how long a part is quarantined. @param now The current time. @param part The part. @return The time
     * left, or nothing if it is not. */
    [[nodiscard]] std::optional<base::Millis> quarantinedFor(base::Millis now, const std::string &part) const;

    /** @brief Tells whether no part is quarantined or on probation. */
    [[nodiscard]] bool isEmpty() const noexcept
    {
        return m_held.empty();
    }

    /** @brief Lists the quarantined parts. @param now The current time. @return The parts. */
    [[nodiscard]] std::vector<Quarantine> quarantines(base::Millis now) const;

    /** @brief Lists subjects in lost attempts of at least two upstreams, as of at most suspectInterval ago. @param now
     * The current time. @return The subjects in the most attempts, at most maxSuspects. */
    [[nodiscard]] const std::vector<std::string> &suspects(base::Millis now);

private:
    using Record = LossStore::Record;

    struct Held {
        base::Millis until;
        base::Millis duration;
        // The last crash that counted against the part; of a quarantine that another process decided on, its arrival.
        base::Millis lastCrash;
        // Requests that were in all crashes that led to the quarantine of this one. If one of them crashes another
        // upstream, it explains those crashes, and this one is released.
        std::set<std::string> rivals;
    };
    // The confirmed losses with one subject.
    struct Appearances {
        // The last position of the part in their prompts; a whole request counts as behind all parts.
        std::size_t position = 0;
        bool isRequest = false;
        std::vector<const Record *> attempts;
        std::size_t crashes = 0;
    };
    struct Candidate {
        std::string part;
        std::size_t position = 0;
        std::size_t crashes = 0;
        base::Millis lastCrash;
    };

    void expire(base::Millis now);
    [[nodiscard]] std::vector<std::string> findSuspects() const;
    void addExplained(const standing::Run &run);
    // Discards the evidence of a crash as well.
    void explain(const standing::Run &run);
    // Lists what may be quarantined, by its number.
    [[nodiscard]] std::unordered_map<std::uint32_t, Appearances> appearances() const;
    [[nodiscard]] std::set<std::string> rivalsOf(const std::string &request) const;
    // Lists the evidence that outlives the quarantine of a request: one crash against its parts, as the cause may be
    // a part that other requests have too, and all but one of the crashes that rivals need.
    [[nodiscard]] std::set<const Record *> doubtOf(
        const std::string &request, const std::set<std::string> &rivals) const;
    void releaseRivalsOf(base::Millis now, const std::string &request);
    Finding quarantine(base::Millis now, const Candidate &candidate);
    // Tells whether a request has the part, and one that is quarantined had it in another crash.
    [[nodiscard]] bool isCommonPart(base::Millis now, const Appearances &part, std::uint32_t request) const;
    // Finds the best explanation of the crashes; beside a given request, of the parts that it has in common with one
    // that is quarantined.
    [[nodiscard]] std::optional<Candidate> nextCandidate(base::Millis now, const std::string &request) const;
    // Tells whether a request was at every upstream that was lost between two crashes or shortly before or after.
    [[nodiscard]] bool isAlone(base::Millis from, base::Millis to, const Appearances &appearances) const;
    [[nodiscard]] Candidate countCrashes(
        base::Millis until, const std::string &part, const Appearances &appearances) const;
    [[nodiscard]] bool isOnProbation(base::Millis now, const std::string &part) const;
    void hold(const std::string &part, const Held &held);

    CrashAnalysisOptions m_options;
    base::Millis m_nextEvaluation;
    base::Millis m_nextSuspects;
    std::vector<std::string> m_suspects;
    // Later than this, no time that a decision depends on can pass any more; set whenever evidence is added.
    base::Millis m_evaluateUntil;
    // At most maxAttempts.
    LossStore m_losses;
    // Upstreams that crashed on a quarantined part, oldest first; at most maxExplained.
    std::deque<standing::Run> m_explained;
    // Quarantined parts, and those whose quarantine ended no longer ago than it lasted: these are on probation, where
    // one crash suffices. At most maxQuarantined.
    std::map<std::string, Held> m_held;
    // When the quarantine of a part was lifted by a survival; at most maxQuarantined.
    std::map<std::string, base::Millis> m_lifted;
};

} // namespace bamboomoor::quarantine
