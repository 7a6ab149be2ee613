/**
 * Decides when a leader proposes to record the software versions of upstreams. A version is recorded before entries
 * begin streams at it, and for some time after its last upstream is gone, so that the record always contains the
 * version of every stream that may still be resumed.
 */
#pragma once

#include "bamboomoor/lineage/origin.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace bamboomoor::lineage
{

/** @brief The settings of SoftwareRecorder. */
struct SoftwareRecorderOptions {
    // A version is forgotten this long after its last upstream was listed. Must exceed the life of any stream, and the
    // time for which an entry that is partitioned from the voters may begin streams at upstreams that they do not see.
    base::Millis retention{600'000};
    // A proposal without a verdict is repeated after this time.
    base::Millis verdictTimeout{2'000};
};

/** @brief Versions that are to be recorded. */
struct SoftwareProposal {
    // Identifies the proposal.
    std::uint64_t number = 0;
    SoftwareVersions versions;
};

/** @brief Compares the versions in service with the recorded ones. Not thread-safe. */
class SoftwareRecorder
{
public:
    /** @brief Starts with an empty record. @param options The settings. */
    explicit SoftwareRecorder(SoftwareRecorderOptions options = {}) noexcept
        : m_options(options)
    {
    }

    /** @brief Takes over what earlier leaders recorded. @param now The current time. @param recorded The versions. */
    void begin(base::Millis now, const SoftwareVersions &recorded);

    /**
     * @brief Returns what is to be proposed now.
     * @param now The current time.
     * @param listed The versions of all listed upstreams, leaving ones too.
     * @return The proposal, or nothing if the record is complete or a proposal is pending.
     */
    [[nodiscard]] std::optional<SoftwareProposal> next(base::Millis now, const SoftwareVersions &listed);

    /**
     * @brief Handles the verdict on a proposal.
     * @param number Identifies the proposal; all but the latest are ignored.
     * @param committed False if it was rejected, or may or may not be committed.
     */
    void onVerdict(std::uint64_t number, bool committed);

private:
    SoftwareRecorderOptions m_options;
    // When an upstream of a service and version was listed last.
    std::map<std::pair<std::string, std::string>, base::Millis> m_listedAt;
    // What the state holds; unknown from a proposal until it is committed.
    std::optional<SoftwareVersions> m_recorded{std::in_place};
    SoftwareVersions m_proposed;
    base::Millis m_proposedAt;
    bool m_pending = false;
    std::uint64_t m_lastNumber = 0;
};

} // namespace bamboomoor::lineage
