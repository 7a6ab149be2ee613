/**
 * Token buckets of rate-limited upstreams.
 */
#include "bamboomoor/standing/permitauthority.hpp"

#include <algorithm>
#include <utility>

namespace bamboomoor::standing
{

namespace
{

// One permit in bucket units. A rate of n thousandths per second fills a bucket by n millionths per millisecond.
constexpr std::int64_t PERMIT = 1'000'000;

} // namespace

std::optional<std::int64_t> PermitAuthority::limitOf(base::Millis now, const Bucket &bucket)
{
    if (now >= bucket.cold.until) {
        return bucket.limit;
    }
    return std::min(bucket.limit.value_or(bucket.cold.permitRate), bucket.cold.permitRate);
}

std::int64_t PermitAuthority::rateOf(base::Millis now, const Bucket &bucket) const
{
    return std::max(limitOf(now, bucket).value_or(0), m_options.minRate);
}

void PermitAuthority::fill(base::Millis now, Bucket &bucket) const
{
    const std::int64_t most = PERMIT + rateOf(now, bucket) * m_options.depth.count;
    const std::int64_t span = std::clamp<std::int64_t>((now - bucket.filledAt).count, 0, m_options.reportLife.count);
    bucket.level = std::min(most, bucket.level + rateOf(now, bucket) * span);
    bucket.filledAt = now;
}

void PermitAuthority::onReport(base::Millis now, const Report &report)
{
    Bucket *bucket = bucketOf(now, report.run);
    if (bucket != nullptr) {
        bucket->leaving = bucket->leaving || report.leaving;
        mergeLimit(now, *bucket, report);
    }
}

PermitAuthority::Bucket *PermitAuthority::bucketOf(base::Millis now, const Run &run)
{
    const auto [place, isNew] = m_buckets.try_emplace(run.id);
    Bucket &bucket = place->second;
    if (run.incarnation < bucket.incarnation) {
        return nullptr;
    }
    if (isNew || run.incarnation > bucket.incarnation) {
        bucket = {};
        bucket.incarnation = run.incarnation;
        bucket.filledAt = now;
    }
    bucket.reportedAt = now;
    return &bucket;
}

void PermitAuthority::setCold(base::Millis now, const Run &run, const ColdPeriod &cold)
{
    Bucket *bucket = bucketOf(now, run);
    if (bucket == nullptr) {
        return;
    }
    fill(now, *bucket);
    if (now >= bucket->cold.until) {
        bucket->level = 0;
    }
    bucket->cold = cold;
}

void PermitAuthority::mergeLimit(base::Millis now, Bucket &bucket, const Report &report)
{
    const bool isOld = now - report.limitReceivedAt > m_options.reportLife;
    if (isOld || report.limitReceivedAt <= bucket.limitReceivedAt) {
        return;
    }
    fill(now, bucket);
    if (!bucket.limit) {
        bucket.level = 0;
    }
    bucket.limit = report.limit;
    bucket.limitReceivedAt = report.limitReceivedAt;
}

Grant PermitAuthority::grant(
    base::Millis now, const std::string &entry, const std::string &upstream, std::int64_t requested)
{
    const auto place = m_buckets.find(upstream);
    if (place == m_buckets.end() || !limitOf(now, place->second) || requested <= 0) {
        return {};
    }
    Bucket &bucket = place->second;
    fill(now, bucket);
    bucket.requesters[entry] = now;
    std::erase_if(bucket.requesters, [&](const auto &it) {
        return now - it.second > m_options.requesterLife;
    });
    const auto sharers = static_cast<std::int64_t>(bucket.requesters.size());
    const std::int64_t available = bucket.level / PERMIT;
    const std::int64_t share = (available + sharers - 1) / sharers;
    Grant grant;
    grant.permits = std::min(requested, share);
    bucket.level -= grant.permits * PERMIT;
    const std::int64_t missing = std::max<std::int64_t>(0, PERMIT * sharers - bucket.level);
    grant.nextPermitIn = {std::clamp<std::int64_t>(missing / rateOf(now, bucket), 1, m_options.maxWait.count)};
    return grant;
}

std::vector<Report> PermitAuthority::reports(base::Millis now)
{
    std::erase_if(m_buckets, [&](const auto &it) {
        return now - it.second.reportedAt > m_options.reportLife;
    });
    std::vector<Report> reports;
    for (auto &[id, bucket] : m_buckets) {
        if (now - bucket.limitReceivedAt > m_options.reportLife) {
            bucket.limit.reset();
        }
        reports.push_back({{id, bucket.incarnation}, bucket.limit, bucket.limitReceivedAt, 0, bucket.leaving});
    }
    return reports;
}

} // namespace bamboomoor::standing
