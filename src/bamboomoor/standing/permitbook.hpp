/**
 * The leader's book of what upstreams said of themselves to any entry, and its permits for those that name a limit of
 * all entries together.
 *
 * Each upstream has a bucket that fills at the limit and holds little more than one permit; it is empty when the limit
 * becomes known. A permit is used, or lost, within a fixed time after it was asked for, so that any span of arrivals at
 * the upstream holds the permits of a span that is longer by that time. Nothing is replicated: a following leader
 * starts with empty buckets, and the permits of the one before end by themselves.
 */
#pragma once

#include "bamboomoor/base/clock.hpp"
#include "bamboomoor/standing/standing.hpp"
#include "bamboomoor/standing/word.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bamboomoor::standing
{

/** @brief The settings of a book. */
struct PermitOptions {
    // A limit that no answer has named for this time is forgotten, and an upstream that no entry has reported.
    base::Millis wordLife{30'000};
    // What a bucket holds beyond one permit, as a time of its rate.
    base::Millis depth{500};
    // An entry that has not asked for this time does not share in the rate.
    base::Millis askLife{2'000};
    // The longest time that an entry is told to wait before it asks again.
    base::Millis longestWait{2'000};
    // Permits a second, in thousandths, of an upstream that names less; one answer has to tell when the limit ends.
    std::int64_t leastRate = 200;
};

/** @brief What an entry gets. */
struct Grant {
    std::int64_t permits = 0;
    // When to ask again.
    base::Millis nextIn;
};

/** @brief The limited upstreams of a deployment. */
class PermitBook
{
public:
    /** @brief Makes an empty book. @param options The settings. */
    explicit PermitBook(PermitOptions options = {}) noexcept
        : m_options(options)
    {
    }

    /** @brief Takes an entry's word. @param now The current time. @param report The word, by the leader's clock. */
    void heard(base::Millis now, const Report &report);

    /**
     * @brief Grants permits.
     * @param now The current time.
     * @param entry Who asks.
     * @param upstream The id of the upstream.
     * @param wished How many it would use.
     * @return What it gets; nothing for an upstream that names no limit.
     */
    [[nodiscard]] Grant grant(
        base::Millis now, const std::string &entry, const std::string &upstream, std::int64_t wished);

    /** @brief Lists the newest words. @param now The current time. @return One of each upstream. */
    [[nodiscard]] std::vector<Report> list(base::Millis now);

private:
    struct Bucket {
        std::uint64_t incarnation = 0;
        std::optional<std::int64_t> limit;
        base::Millis limitHeardAt;
        // In millionths of permits, as of filledAt; at most what the depth allows.
        std::int64_t level = 0;
        base::Millis filledAt;
        // When each entry asked last.
        std::map<std::string, base::Millis> askers;
        bool leaving = false;
        // When an entry spoke of it last.
        base::Millis reportedAt;
    };

    void heardLimit(base::Millis now, Bucket &bucket, const Report &report);
    void fill(base::Millis now, Bucket &bucket) const;
    [[nodiscard]] std::int64_t rateOf(const Bucket &bucket) const;

    PermitOptions m_options;
    // By the id of the upstream.
    std::map<std::string, Bucket> m_buckets;
};

} // namespace bamboomoor::standing
