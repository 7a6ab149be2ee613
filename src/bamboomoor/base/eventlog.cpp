/**
 * The writer of log lines.
 */
#include "bamboomoor/base/eventlog.hpp"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <climits>
#include <utility>

namespace bamboomoor::base
{

namespace
{

constexpr std::int64_t MILLIS_PER_SECOND = 1'000;

bool isPlain(char c)
{
    constexpr std::string_view MARKS = "._-:/@,+";
    return std::isalnum(static_cast<unsigned char>(c)) != 0 || MARKS.find(c) != std::string_view::npos;
}

void appendQuoted(std::string &text, std::string_view value)
{
    text += '"';
    for (const char c : value) {
        if (c == '"' || c == '\\') {
            text += '\\';
        }
        text += static_cast<unsigned char>(c) < ' ' ? ' ' : c;
    }
    text += '"';
}

} // namespace

LogLine::LogLine(std::string_view event)
    : m_event(event)
    , m_text("event=" + m_event)
{
}

LogLine &LogLine::add(std::string_view key, std::string_view value)
{
    if (value.empty()) {
        return *this;
    }
    m_text += ' ';
    m_text += key;
    m_text += '=';
    if (std::all_of(value.begin(), value.end(), isPlain)) {
        m_text += value;
    } else {
        appendQuoted(m_text, value);
    }
    return *this;
}

LogLine &LogLine::add(std::string_view key, std::int64_t value)
{
    m_text += ' ';
    m_text += key;
    m_text += '=';
    m_text += std::to_string(value);
    return *this;
}

LogLine &LogLine::add(std::string_view key, Millis span)
{
    return add(key, span.count);
}

LogLine &LogLine::addFields(std::string_view fields)
{
    const std::size_t begin = std::min(fields.find_first_not_of(' '), fields.size());
    if (begin < fields.size()) {
        m_text += ' ';
        m_text += fields.substr(begin);
        std::replace(m_text.begin(), m_text.end(), '\n', ' ');
    }
    return *this;
}

EventLog::EventLog(EventLogOptions options)
    : m_options(options)
    , m_thread([this] {
        run();
    })
{
}

EventLog::~EventLog()
{
    {
        const absl::MutexLock lock(&m_mutex);
        m_stopping = true;
    }
    m_thread.join();
}

void EventLog::write(const LogLine &line)
{
    const std::int64_t wall = wallClock().count;
    const absl::MutexLock lock(&m_mutex);
    Rate &rate = m_rates[line.event()];
    if (rate.second != wall / MILLIS_PER_SECOND) {
        rate.second = wall / MILLIS_PER_SECOND;
        rate.lines = 0;
        if (const auto leftOut = std::exchange(rate.leftOut, 0); leftOut > 0) {
            m_buffer += "t=" + std::to_string(wall) + " event=lines_left_out kind=" + line.event()
                + " lines=" + std::to_string(leftOut) + '\n';
        }
    }
    if (++rate.lines > m_options.linesPerSecond) {
        ++rate.leftOut;
        ++m_counters.overRate;
        return;
    }
    if (m_buffer.size() >= m_options.bufferBytes) {
        ++rate.leftOut;
        ++m_counters.overBuffer;
        return;
    }
    ++m_counters.written;
    m_buffer += "t=" + std::to_string(wall) + ' ' + line.text() + '\n';
}

EventLogCounters EventLog::counters() const
{
    const absl::MutexLock lock(&m_mutex);
    return m_counters;
}

bool EventLog::hasWork() const
{
    return m_stopping || !m_buffer.empty();
}

void EventLog::run()
{
    bool stopping = false;
    while (!stopping) {
        std::string bytes;
        {
            const absl::MutexLock lock(&m_mutex);
            m_mutex.Await(absl::Condition(this, &EventLog::hasWork));
            // Lines of the same moment share one write.
            m_mutex.AwaitWithTimeout(absl::Condition(&m_stopping), absl::Milliseconds(m_options.interval.count));
            stopping = m_stopping;
            bytes.swap(m_buffer);
        }
        writeOut(bytes);
    }
}

void EventLog::writeOut(std::string_view bytes)
{
    while (!bytes.empty()) {
        // A pipe may block for as long as its reader does not read; only this thread waits for it.
        pollfd ready{m_options.descriptor, POLLOUT, 0};
        const int count = poll(&ready, 1, static_cast<int>(m_options.writeTimeout.count));
        const ssize_t written =
            count > 0 ? ::write(m_options.descriptor, bytes.data(), std::min<std::size_t>(bytes.size(), PIPE_BUF)) : -1;
        if (written <= 0) {
            const absl::MutexLock lock(&m_mutex);
            m_counters.notTaken += static_cast<std::uint64_t>(std::count(bytes.begin(), bytes.end(), '\n'));
            return;
        }
        bytes.remove_prefix(static_cast<std::size_t>(written));
    }
}

} // namespace bamboomoor::base
