/**
 * Structured log lines, key=value on one line each, written to standard output by a thread of their own.
 * A line is handed over and never waited for: what does not fit the buffer, or exceeds the rate of its kind, is left
 * out and counted in a later line.
 */
#pragma once

#include "bamboomoor/base/clock.hpp"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <thread>

namespace bamboomoor::base
{

/** @brief One line under construction. */
class LogLine
{
public:
    /** @brief Begins a line. @param event Its kind. */
    explicit LogLine(std::string_view event);

    /**
     * @brief Appends a field; an empty text is left out.
     * @param key The key.
     * @param value The value, quoted where it holds anything but letters, digits and . _ - : / @ ,
     * @return This line.
     */
    LogLine &add(std::string_view key, std::string_view value);
    /** @copydoc add */
    LogLine &add(std::string_view key, std::int64_t value);
    /** @brief Appends a span. @param key The key, ending in _ms. @param span The span. @return This line. */
    LogLine &add(std::string_view key, Millis span);

    /** @brief Appends fields that are written already. @param fields "KEY=VALUE ..." on one line. @return This line. */
    LogLine &addFields(std::string_view fields);

    /** @brief Reads the kind. @return The event. */
    [[nodiscard]] const std::string &event() const noexcept
    {
        return m_event;
    }

    /** @brief Reads the line. @return Its text without a line feed. */
    [[nodiscard]] const std::string &text() const noexcept
    {
        return m_text;
    }

private:
    std::string m_event;
    std::string m_text;
};

/** @brief The bounds of a log. */
struct EventLogOptions {
    int descriptor = 1;
    // Bytes that wait for the writer; lines beyond are left out.
    std::size_t bufferBytes = 262'144;
    // Lines of one kind in one second; lines beyond are left out.
    std::size_t linesPerSecond = 200;
    // Between two writes.
    Millis interval{200};
    // The longest wait for a reader that does not read; what it does not take by then is left out.
    Millis writeTimeout{200};
};

/** @brief What became of the lines so far. */
struct EventLogCounters {
    std::uint64_t written = 0;
    std::uint64_t overRate = 0;
    std::uint64_t overBuffer = 0;
    std::uint64_t notTaken = 0;
};

/** @brief A log with its writer. */
class EventLog
{
public:
    /** @brief Starts the writer. @param options The bounds. */
    explicit EventLog(EventLogOptions options = {});
    /** @brief Writes what waits, and ends the writer. */
    ~EventLog();
    EventLog(const EventLog &) = delete;
    EventLog &operator=(const EventLog &) = delete;

    /**
     * @brief Hands a line over; returns at once.
     * @param line The line; its time is added.
     */
    void write(const LogLine &line);

    /** @brief Reads the counters. @return Their present values. */
    [[nodiscard]] EventLogCounters counters() const;

private:
    struct Rate {
        std::int64_t second = 0;
        std::size_t lines = 0;
        std::uint64_t leftOut = 0;
    };

    void run();
    [[nodiscard]] bool hasWork() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void writeOut(std::string_view bytes);

    const EventLogOptions m_options;
    mutable absl::Mutex m_mutex;
    // At most bufferBytes and one line.
    std::string m_buffer ABSL_GUARDED_BY(m_mutex);
    std::map<std::string, Rate, std::less<>> m_rates ABSL_GUARDED_BY(m_mutex);
    EventLogCounters m_counters ABSL_GUARDED_BY(m_mutex);
    bool m_stopping ABSL_GUARDED_BY(m_mutex) = false;
    std::thread m_thread;
};

} // namespace bamboomoor::base
