/**
 * What one entry knows of upstreams by their own word, and whether a request may be sent to one of them now.
 *
 * The load that it answers: an upstream in need that takes fewer requests a second than entries would send. No entry
 * sees what the others send, so a limit of all entries together is kept by permits of the leader, one for each request
 * that is sent. An entry without a permit does not send there, whether or not it reaches the leader. An upstream that
 * closes itself to this entry gets nothing from it until then, and one that leaves gets nothing any more.
 *
 * Words are joined by the time at which they were heard, here or by another entry, so that order and repetition do not
 * matter. A word belongs to one run of the upstream's process; a later run starts clean.
 */
#pragma once

#include "bamboomoor/base/clock.hpp"
#include "bamboomoor/base/nametable.hpp"
#include "bamboomoor/standing/word.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bamboomoor::standing
{

/** @brief The settings of a standing. */
struct StandingOptions {
    // A limit that no answer has named for this time is forgotten.
    base::Millis limitLife{30'000};
    // A permit counts for this time from the moment at which it was asked for.
    base::Millis permitLife{1'000};
    // A wish for permits that is not repeated ends after this time.
    base::Millis wishLife{300};
    // Between two asks for permits of one upstream at least, and the longest wait for an answer.
    base::Millis askSpacing{100};
    base::Millis askTimeout{1'000};
    // Permits of one upstream that are asked for at once at most.
    std::int64_t mostWished = 8;
    // An upstream that closes itself for longer is asked again after this time.
    base::Millis longestClosure{600'000};
};

/** @brief Whether an upstream may get a request now. */
enum class Access { Open, NoPermit, Closed, Leaving };

/** @brief What an answer has changed. */
enum class Change { LimitNamed, LimitEnded, Leaving, Closed, Unreadable };

/** @brief The names of the changes in logs. */
inline constexpr auto CHANGE_NAMES =
    base::makeNames<Change>("limit_named", "limit_ended", "leaving", "closed", "unreadable");

/** @brief What an entry tells the leader of an upstream. */
struct Report {
    Run run;
    // In thousandths of requests a second; nothing when the upstream names no limit any more.
    std::optional<std::int64_t> limit;
    base::Millis limitHeardAt;
    // Permits that are asked for.
    std::int64_t wished = 0;
    bool leaving = false;
};

/** @brief What the leader tells an entry of an upstream. */
struct Told {
    Run run;
    std::optional<std::int64_t> limit;
    base::Millis limitHeardAt;
    // Granted to this entry; they count for permitLife from the moment at which they were asked for.
    std::int64_t permits = 0;
    base::Millis askedAt;
    // When the next permit for this entry is expected; 0 when it has not asked.
    base::Millis nextIn;
    bool leaving = false;
};

/** @brief The upstreams by their own word. */
class Standing
{
public:
    /** @brief Makes a standing of upstreams that have said nothing. @param options The settings. */
    explicit Standing(StandingOptions options = {}) noexcept
        : m_options(options)
    {
    }

    /**
     * @brief Takes the word of an answer.
     * @param now The current time.
     * @param run Who answered; an earlier run than one that is known changes nothing.
     * @param word What it said.
     * @param sentAt When the request was sent; an answer that names no limit ends one only if it is surely later.
     * @param ran False for a refusal, which ends nothing.
     * @return What changed.
     */
    std::vector<Change> heard(base::Millis now, const Run &run, const Word &word, base::Millis sentAt, bool ran);

    /** @brief Takes what the leader tells. @param now The current time. @param told What it told. */
    void told(base::Millis now, const Told &told);

    /**
     * @brief Notes the upstreams that are listed; one that is not listed for long is forgotten.
     * @param runs All of them.
     */
    void setListed(const std::vector<Run> &runs);

    /** @brief Tells whether an upstream may get a request. @param now The current time. @param run Which. @return The
     * verdict. */
    [[nodiscard]] Access access(base::Millis now, const Run &run) const;

    /**
     * @brief Estimates when a request may be sent there.
     * @param now The current time.
     * @param run Which.
     * @param ahead Requests that wait for a permit before it.
     * @return The wait, 0 when it needs no permit or has one; base::NEVER when the upstream leaves.
     */
    [[nodiscard]] base::Millis opensIn(base::Millis now, const Run &run, std::int64_t ahead) const;

    /**
     * @brief Uses a permit, where one is needed.
     * @param now The current time.
     * @param run Where a request is sent.
     * @return True when a permit was used.
     */
    bool sent(base::Millis now, const Run &run);

    /**
     * @brief Wishes for permits.
     * @param now The current time.
     * @param run Where requests would be sent.
     * @param count How many.
     */
    void wish(base::Millis now, const Run &run, std::int64_t count);

    /** @brief Tells whether the leader should hear of wishes now. @param now The current time. @return True then. */
    [[nodiscard]] bool wantsToAsk(base::Millis now) const;

    /** @brief Takes what the leader should hear; wishes are told once. @param now The current time. @return All words.
     */
    [[nodiscard]] std::vector<Report> takeReports(base::Millis now);

private:
    struct Record {
        std::uint64_t incarnation = 0;
        std::optional<std::int64_t> limit;
        // When the newest word on the limit was heard, here or elsewhere.
        base::Millis limitHeardAt;
        bool leaving = false;
        base::Millis closedUntil;
        // When each permit ends, ascending.
        std::deque<base::Millis> permits;
        std::int64_t wished = 0;
        base::Millis wishedAt;
        // No ask before.
        base::Millis askAt;
        // When the leader expects to have the next permit for this entry, and one more after each such time.
        base::Millis nextAt;
        base::Millis interval;
        // Lists in a row that left the upstream out.
        int unlisted = 0;
    };

    [[nodiscard]] std::optional<Change> heardLimit(
        base::Millis now, Record &record, const Word &word, base::Millis sentAt, bool ran);
    [[nodiscard]] const Record *find(const Run &run) const;
    [[nodiscard]] Record *recordOf(const Run &run);
    [[nodiscard]] bool isLimited(base::Millis now, const Record &record) const noexcept;
    [[nodiscard]] static std::int64_t permitsOf(base::Millis now, const Record &record) noexcept;
    [[nodiscard]] bool wantsToAsk(base::Millis now, const Record &record) const noexcept;

    StandingOptions m_options;
    // By the id of the upstream; its latest run that said something.
    std::map<std::string, Record> m_records;
};

} // namespace bamboomoor::standing
