/**
 * Redirects glog messages to the event log, so that no thread blocks on log output.
 */
#pragma once

#include "bamboomoor/base/eventlog.hpp"

#include <glog/logging.h>

namespace bamboomoor::gateway
{

/** @brief Receives glog messages during its lifetime. */
class LogSink final : public google::LogSink
{
public:
    /** @brief Registers the sink. @param log Receives the messages; must outlive the sink. */
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
