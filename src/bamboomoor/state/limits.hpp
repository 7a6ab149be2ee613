/**
 * Size limits of the replicated state.
 */
#pragma once

#include "bamboomoor/quarantine/partlimits.hpp"

#include <cstddef>
#include <cstdint>

namespace bamboomoor::state
{

/** @brief Bounds the size of a snapshot. All replicas of a control group must use the same limits. */
struct Limits {
    // The maximum number of versions in the configuration history.
    std::size_t history = 1'000;
    // The number of newest versions whose document text is retained.
    std::size_t historyTexts = 100;
    // The maximum total size of all texts in the history, in bytes; the current document is kept in addition.
    std::size_t historyTextBytes = 8'388'608;
    // The maximum number of change ids whose outcomes are retained, and their total size with the outcomes, in bytes.
    std::size_t changes = 10'000;
    std::size_t changeBytes = 8'388'608;
    // The maximum number of withdrawn keys that are retained.
    std::size_t withdrawnKeys = 100'000;
    // The maximum number of claims, open and closed, and their total size without responses, in bytes.
    std::size_t claims = 100'000;
    std::size_t claimBytes = 16'777'216;
    // The maximum size of a stored response with headers and body, in bytes.
    std::size_t responseBytes = 65'536;
    // The maximum total size of all stored responses, in bytes.
    std::size_t totalResponseBytes = 16'777'216;
    // The maximum number of quarantined subjects; those that end first are dropped.
    std::size_t quarantines = 256;
    // The maximum length of a subject, in bytes; longer ones are ignored.
    std::size_t quarantineSubjectBytes = quarantine::MAX_PART_LENGTH;
    // The maximum number of services with recorded software versions, of versions of each, and the length of a name in
    // bytes.
    std::size_t softwareServices = 1'024;
    std::size_t softwareVersions = 64;
    std::size_t softwareNameBytes = 256;
    // The maximum number of data centres that were ever evacuated, and the length of a name in bytes.
    std::size_t evacuations = 256;
    std::size_t evacuationNameBytes = 256;
    // The maximum number of withdrawn upstreams, and the length of a name in bytes.
    std::size_t withdrawals = 4'096;
    std::size_t withdrawalNameBytes = 256;
    // How much older than the newest one a withdrawal may be, in milliseconds; far longer than announcements are
    // delayed.
    std::int64_t withdrawalRetentionMillis = 600'000;
};

} // namespace bamboomoor::state
