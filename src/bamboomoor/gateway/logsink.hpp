/**
 * Sends the lines of the logging library to the event log, so that no thread waits for its output.
 */
#pragma once

#include "bamboomoor/base/eventlog.hpp"

#include <glog/logging.h>

namespace bamboomoor::gateway
{

/** @brief Takes the library's lines while it lives. */
class LogSink final : public google::LogSink
{
public:
    /** @brief Begins to take lines. @param log Takes them; outlives the sink. */
    explicit LogSink(base::EventLog &log);
    ~LogSink() override;
    LogSink(const LogSink &) = delete;
    LogSink &operator=(const LogSink &) = delete;

    void send(google::LogSeverity severity, const char *fullName, const char *baseName, int line,
        const google::LogMessageTime &time, const char *message, std::size_t size) override;

private:
    base::EventLog &m_log;
};

} // namespace bamboomoor::gateway
