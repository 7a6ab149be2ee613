/**
 * The part of the leader's replies that is the same for all entries: recent holdings and draining replicas. A few
 * hundred entries report several times a second each, so it is not compiled for each reply.
 */
#pragma once

#include "bamboomoor/base/clock.hpp"
#include "bamboomoor/placement/residency.hpp"

#include "peer.pb.h"

#include <optional>

namespace bamboomoor::gateway
{

/** @brief Compiles and keeps the common part. Not thread-safe. */
class PlanReply
{
public:
    /** @brief Creates the object without a compiled part. @param maxAge The part is compiled again after this time. */
    explicit PlanReply(base::Millis maxAge) noexcept
        : m_maxAge(maxAge)
    {
    }

    /** @brief Discards the compiled part, as the plan has changed. */
    void invalidate() noexcept
    {
        m_compiledAt.reset();
    }

    /**
     * @brief Adds the part to a reply.
     * @param now The current time.
     * @param plan The plan.
     * @param reply The reply.
     */
    void addTo(base::Millis now, const placement::Residency &plan, peer::wire::DemandReply &reply);

private:
    void compile(base::Millis now, const placement::Residency &plan);

    base::Millis m_maxAge;
    std::optional<base::Millis> m_compiledAt;
    // Has placements and draining only.
    peer::wire::DemandReply m_part;
};

} // namespace bamboomoor::gateway
