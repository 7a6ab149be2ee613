/**
 * The leader's side of distributed rate limiting: it merges the entries' reports on upstreams and grants permits for
 * those upstreams that signal a limit for all entries together.
 *
 * Each upstream has a token bucket that fills at the limit and holds little more than one permit; it is empty when the
 * limit becomes known. A permit is used or expires within a fixed time after it was requested, so that the requests
 * that arrive within any period are bounded by the permits of a period longer by that time. Nothing is replicated: a
 * new leader starts with empty buckets, and the permits of its predecessor expire by themselves.
 */
#pragma once

#include "bamboomoor/base/clock.hpp"
#include "bamboomoor/standing/coldperiods.hpp"
#include "bamboomoor/standing/upstreamsignal.hpp"
#include "bamboomoor/standing/upstreamtracker.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bamboomoor::standing
{

/** @brief The settings of the permit grants. */
struct PermitOptions {
    // A limit expires if no response has signalled it for this time, and an upstream if no entry has reported it.
    base::Millis reportLife{30'000};
    // The bucket size beyond one permit, as a time at the limit's rate.
    base::Millis depth{500};
    // An entry that has not requested permits for this time gets no share of the rate.
    base::Millis requesterLife{2'000};
    // The upper bound of the time that an entry has to wait before its next request.
    base::Millis maxWait{2'000};
    // The lower bound of the rate, in thousandths of permits per second; only a response can show that a limit has
    // ended.
    std::int64_t minRate = 200;
};

/** @brief The permits granted to an entry. */
struct Grant {
    std::int64_t permits = 0;
    // The time until the next permit is expected.
    base::Millis nextPermitIn;
};

/** @brief Grants permits for the rate-limited upstreams of a deployment. Not thread-safe. */
class PermitAuthority
{
public:
    /** @brief Creates an authority without known upstreams. @param options The settings. */
    explicit PermitAuthority(PermitOptions options = {}) noexcept
        : m_options(options)
    {
    }

    /** @brief Merges the report of an entry. @param now The current time. @param report The report, with its times
     * converted to the leader's clock. */
    void onReport(base::Millis now, const Report &report);

    /** @brief Limits an upstream that is cold, whether or not it signals a limit. @param now The current time. @param
     * run The upstream. @param cold Its state. */
    void setCold(base::Millis now, const Run &run, const ColdPeriod &cold);

    /**
     * @brief Grants permits.
     * @param now The current time.
     * @param entry The requesting entry.
     * @param upstream The upstream id.
     * @param requested The number of requested permits.
     * @return The grant; empty for an upstream without a limit.
     */
    [[nodiscard]] Grant grant(
        base::Millis now, const std::string &entry, const std::string &upstream, std::int64_t requested);

    /** @brief Lists the merged state and discards expired state. @param now The current time. @return One report for
     * each upstream. */
    [[nodiscard]] std::vector<Report> reports(base::Millis now);

private:
    struct Bucket {
        std::uint64_t incarnation = 0;
        std::optional<std::int64_t> limit;
        base::Millis limitReceivedAt;
        ColdPeriod cold;
        // In millionths of permits, as of filledAt; bounded by the depth.
        std::int64_t level = 0;
        base::Millis filledAt;
        // When each entry last requested permits.
        std::map<std::string, base::Millis> requesters;
        bool leaving = false;
        // When an entry last reported the upstream.
        base::Millis reportedAt;
    };

    void mergeLimit(base::Millis now, Bucket &bucket, const Report &report);
    void fill(base::Millis now, Bucket &bucket) const;
    // The bucket of a run; null for an earlier one than the known.
    [[nodiscard]] Bucket *bucketOf(base::Millis now, const Run &run);
    // The lower of the signalled limit and that of a cold upstream.
    [[nodiscard]] static std::optional<std::int64_t> limitOf(base::Millis now, const Bucket &bucket);
    [[nodiscard]] std::int64_t rateOf(base::Millis now, const Bucket &bucket) const;

    PermitOptions m_options;
    // By upstream id.
    std::map<std::string, Bucket> m_buckets;
};

} // namespace bamboomoor::standing
