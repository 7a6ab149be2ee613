/**
 * The limits of cold upstreams as the configuration states them.
 */
#pragma once

#include "bamboomoor/config/document.hpp"
#include "bamboomoor/standing/coldperiods.hpp"

namespace bamboomoor::gateway
{

/** @brief Reads the limits of cold upstreams. @param document The configuration. @return The limits of those services
 * that have one. */
[[nodiscard]] inline standing::ColdLimits coldLimitsOf(const config::Document &document)
{
    standing::ColdLimits limits;
    for (const config::Service &it : document.services) {
        if (it.coldRateMilli > 0) {
            limits[it.name] = {it.coldRateMilli, it.coldSpan};
        }
    }
    return limits;
}

} // namespace bamboomoor::gateway
