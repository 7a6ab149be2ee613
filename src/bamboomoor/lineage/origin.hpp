/**
 * The origin of a stream: the service and the software version of the upstream that began it. What two versions write
 * does not fit together, so a stream is resumed at its own version only.
 */
#pragma once

#include "bamboomoor/base/clock.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace bamboomoor::lineage
{

/** @brief The software versions of the upstreams of each service. */
using SoftwareVersions = std::map<std::string, std::set<std::string>>;

/** @brief Where a stream began. */
struct Origin {
    std::string service;
    // The upstream's software version; empty if it does not report one.
    std::string software;

    friend bool operator==(const Origin &, const Origin &) = default;
};

/** @brief The origin of one stream. */
struct StreamRecord {
    // The caller's id of the try that began the stream.
    std::string stream;
    Origin origin;
    // No caller resumes the stream later.
    base::Millis until;

    friend bool operator==(const StreamRecord &, const StreamRecord &) = default;
};

/** @brief A report of an entry to the leader. */
struct Report {
    // Increases with each report; the leader's reply to it acknowledges all streams in it.
    std::uint64_t sequence = 0;
    std::vector<StreamRecord> streams;
};

} // namespace bamboomoor::lineage
