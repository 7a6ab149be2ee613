/**
 * The leader's side of the origins of streams: it collects the entries' reports and answers which software version
 * began a stream. With one version in service lately no report is needed. An origin that is not certain is unknown, and
 * the stream is then not resumed.
 */
#pragma once

#include "bamboomoor/lineage/origin.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace bamboomoor::lineage
{

/** @brief The settings of OriginAuthority. */
struct OriginAuthorityOptions {
    // Further streams are not recorded, and are not resumed at other entries.
    std::size_t maxStreams = 524'288;
    // A question about an unknown stream is held for this time, as the report on it may be on its way.
    base::Millis hold{400};
    std::size_t maxHeld = 16'384;
};

/** @brief A question about the origin of a stream. */
struct Question {
    // Identifies the question.
    std::uint64_t number = 0;
    std::string service;
    // Empty if the caller does not name the stream.
    std::string stream;
    // The versions of the service that are or were in service lately, read after the question had arrived.
    std::set<std::string> versions;
};

/** @brief The answer to a question. */
struct Answer {
    std::uint64_t number = 0;
    // Unset if the origin is not known for certain.
    std::optional<std::string> software;
};

/** @brief Answers questions about the origins of streams. Not thread-safe. */
class OriginAuthority
{
public:
    /** @brief Creates an authority that knows no streams. @param options The settings. */
    explicit OriginAuthority(OriginAuthorityOptions options = {}) noexcept
        : m_options(options)
    {
    }

    /**
     * @brief Takes a stream from an entry's report. Of contradicting origins none is believed.
     * @param now The current time.
     * @param record The stream and its origin.
     */
    void add(base::Millis now, const StreamRecord &record);

    /**
     * @brief Takes a question.
     * @param now The current time.
     * @param question The question.
     * @return The answer, or nothing if takeAnswers() returns it later.
     */
    [[nodiscard]] std::optional<Answer> ask(base::Millis now, Question question);

    /** @brief Takes the answers to held questions that are due. @param now The current time. @return The answers. */
    [[nodiscard]] std::vector<Answer> takeAnswers(base::Millis now);

    /** @brief Returns when takeAnswers() is due next. @return The time, or base::NEVER. */
    [[nodiscard]] base::Millis nextDeadline() const noexcept;

    /** @brief Returns the number of recorded streams. */
    [[nodiscard]] std::size_t size() const noexcept
    {
        return m_streams.size();
    }

private:
    struct Stream {
        Origin origin;
        base::Millis until;
        // Entries reported different origins.
        bool contradictory = false;
    };

    // Unset if the stream is not recorded.
    [[nodiscard]] std::optional<Answer> answerTo(base::Millis now, const Question &question) const;

    OriginAuthorityOptions m_options;
    // At most maxStreams.
    std::unordered_map<std::string, Stream> m_streams;
    // The elements of m_streams by their ends.
    std::set<std::pair<base::Millis, std::string>> m_ends;
    // Held questions by the time at which they are given up, at most maxHeld.
    std::multimap<base::Millis, Question> m_held;
    // Streams that have been reported and are asked for by held questions.
    std::set<std::string> m_reported;
};

} // namespace bamboomoor::lineage
