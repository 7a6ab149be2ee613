/**
 * Keeps the replicated state equal to the leader's quarantines, so that a restart of all voters and entries does not
 * forget them. Nothing waits for that: a quarantine applies before it is recorded.
 */
#pragma once

#include "bamboomoor/base/clock.hpp"
#include "bamboomoor/quarantine/crashanalysis.hpp"
#include "bamboomoor/state/command.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bamboomoor::control
{

/** @brief The settings of QuarantineRecorder. */
struct QuarantineRecorderOptions {
    // Limits the time left that is read from the state, as the calendar may have been set back.
    base::Millis maxTime = quarantine::CrashAnalysisOptions{}.maxQuarantineTime;
    // Ends that differ by no more are recorded already.
    base::Millis tolerance = quarantine::CrashAnalysisOptions{}.clockTolerance;
    // The least interval between two commands; quarantines that change meanwhile share one.
    base::Millis interval{500};
    // A command without a verdict is proposed again after this time.
    base::Millis verdictTimeout{2'000};
};

/** @brief A set of quarantines that is to be recorded. */
struct QuarantineRecord {
    // Identifies the proposal.
    std::uint64_t number = 0;
    std::vector<quarantine::Quarantine> quarantines;
};

/** @brief Decides when a leader proposes to record its quarantines. Not thread-safe. */
class QuarantineRecorder
{
public:
    /** @brief Starts with an empty state. @param options The settings. */
    explicit QuarantineRecorder(QuarantineRecorderOptions options = {}) noexcept
        : m_options(options)
    {
    }

    /**
     * @brief Takes over what an earlier leader recorded.
     * @param now The current time.
     * @param wallNow The calendar time.
     * @param ends The ends in milliseconds since the Unix epoch, by subject.
     * @return The quarantines that are not over.
     */
    std::vector<quarantine::Quarantine> begin(
        base::Millis now, base::Millis wallNow, const std::map<std::string, std::int64_t> &ends);

    /**
     * @brief Returns what is to be proposed now.
     * @param now The current time.
     * @param quarantines The leader's quarantines, by subject; those that are over are left out.
     * @return The record, or nothing if it is recorded already, or a proposal is pending or was made just now.
     */
    [[nodiscard]] std::optional<QuarantineRecord> next(
        base::Millis now, const std::vector<quarantine::Quarantine> &quarantines);

    /**
     * @brief Takes the verdict on a proposal.
     * @param number Identifies the proposal; all but the latest are ignored.
     * @param committed False if it was rejected, or may or may not be committed.
     * @return True if the leader's latest record is part of the state now.
     */
    bool onVerdict(std::uint64_t number, bool committed);

private:
    [[nodiscard]] bool isRecorded(base::Millis now, const std::vector<quarantine::Quarantine> &quarantines) const;

    QuarantineRecorderOptions m_options;
    // What the state holds; unknown from a proposal until it is committed.
    std::optional<std::vector<quarantine::Quarantine>> m_recorded{std::in_place};
    std::vector<quarantine::Quarantine> m_proposed;
    std::optional<base::Millis> m_proposedAt;
    bool m_pending = false;
    std::uint64_t m_lastNumber = 0;
};

/**
 * @brief Makes the command that records quarantines.
 * @param now The current time.
 * @param wallNow The calendar time.
 * @param quarantines The quarantines.
 * @return The command.
 */
[[nodiscard]] state::RecordQuarantines recordCommand(
    base::Millis now, base::Millis wallNow, const std::vector<quarantine::Quarantine> &quarantines);

} // namespace bamboomoor::control
