/**
 * The streams that an entry has begun or resumed, with their origins. While several software versions of a service are
 * in service, it reports them to the leader, so that other entries can resume them after this one is lost. Reports are
 * repeated until the leader of the current term has acknowledged them, so a new leader learns all that is known here.
 */
#pragma once

#include "bamboomoor/lineage/origin.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>

namespace bamboomoor::lineage
{

/** @brief The settings of StreamJournal. */
struct StreamJournalOptions {
    // Further streams are not recorded, and are not resumed at other entries.
    std::size_t maxStreams = 65'536;
    // A stream with a longer id is not recorded either.
    std::size_t maxIdBytes = 256;
    // A stream is reported no sooner than this after it was recorded: upstreams turn requests away at once, and one
    // that has been reported may only be sent to the same version again.
    base::Millis minAge{80};
    // A report is due when a stream has been recorded for this long; one that is lost sooner may not be resumed.
    base::Millis reportDelay{120};
};

/** @brief Records the origins of an entry's streams. Not thread-safe. */
class StreamJournal
{
public:
    /** @brief Creates an empty journal. @param options The settings. */
    explicit StreamJournal(StreamJournalOptions options = {}) noexcept
        : m_options(options)
    {
    }

    /**
     * @brief Replaces the recorded software versions.
     * @param now The current time.
     * @param versions The versions; streams of services with more than one are reported.
     */
    void setVersions(base::Millis now, SoftwareVersions versions);

    /**
     * @brief Records where a stream begins, before its first event is passed on; of an unreported one, the origin may
     * change until then.
     * @param now The current time.
     * @param record The stream and its origin.
     * @return False if the stream could not be recorded.
     */
    bool record(base::Millis now, StreamRecord record);

    /**
     * @brief Finds the origin of a stream.
     * @param now The current time.
     * @param stream The id of the stream.
     * @return The origin, or nothing if it is not known here.
     */
    [[nodiscard]] std::optional<Origin> find(base::Millis now, const std::string &stream) const;

    /** @brief Returns the origin that the leader may know already, so that it must not change. @param stream The id of
     * the stream. @return The origin, or nothing if the stream has not been reported. */
    [[nodiscard]] std::optional<Origin> reported(const std::string &stream) const;

    /** @brief Tells whether a report is due. @param now The current time. */
    [[nodiscard]] bool isDue(base::Millis now) const noexcept
    {
        return now >= m_dueAt;
    }

    /** @brief Returns when the next report is due. @return The time, or base::NEVER. */
    [[nodiscard]] base::Millis dueAt() const noexcept
    {
        return m_dueAt;
    }

    /** @brief Makes a report of all streams that are old enough and not acknowledged. @param now The current time.
     * @return The report.
     */
    [[nodiscard]] Report makeReport(base::Millis now);

    /** @brief Handles the leader's reply to a report. @param term The leader's term. @param sequence The sequence
     * number of the report. */
    void onReply(std::uint64_t term, std::uint64_t sequence);

    /** @brief Returns the number of recorded streams. */
    [[nodiscard]] std::size_t size() const noexcept
    {
        return m_streams.size();
    }

private:
    struct Stream {
        Origin origin;
        base::Millis until;
        base::Millis recordedAt;
        // It is part of all reports from this one on, if it is not 0.
        std::uint64_t firstReport = 0;
        // The leader of m_term knows it.
        bool acknowledged = false;
    };

    [[nodiscard]] bool isMixed(const std::string &service) const;
    void expire(base::Millis now);

    StreamJournalOptions m_options;
    SoftwareVersions m_versions;
    // At most maxStreams.
    std::unordered_map<std::string, Stream> m_streams;
    // The elements of m_streams by their ends.
    std::set<std::pair<base::Millis, std::string>> m_ends;
    // When the next report is due; base::NEVER while all streams have been reported.
    base::Millis m_dueAt = base::NEVER;
    std::uint64_t m_lastReport = 0;
    std::uint64_t m_term = 0;
};

} // namespace bamboomoor::lineage
