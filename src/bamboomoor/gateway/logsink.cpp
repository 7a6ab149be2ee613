/**
 * Implements the redirection of glog messages to the event log.
 */
#include "bamboomoor/gateway/logsink.hpp"

#include <string_view>

namespace bamboomoor::gateway
{

namespace
{

constexpr std::string_view EVENT_FIELD = "event=";

} // namespace

LogSink::LogSink(base::EventLog &log)
    : m_log(log)
{
    for (const auto severity : {google::GLOG_INFO, google::GLOG_WARNING, google::GLOG_ERROR}) {
        google::SetLogDestination(severity, "");
    }
    FLAGS_stderrthreshold = google::GLOG_FATAL;
    google::AddLogSink(this);
}

LogSink::~LogSink()
{
    google::RemoveLogSink(this);
}

void LogSink::send(google::LogSeverity severity, const char * /*fullName*/, const char *baseName, int line,
    const google::LogMessageTime & /*time*/, const char *message, std::size_t size)
{
    // This project's own messages start with their event and consist of fields already.
    std::string_view text(message, size);
    if (text.starts_with(EVENT_FIELD)) {
        text.remove_prefix(EVENT_FIELD.size());
        const std::size_t end = std::min(text.find(' '), text.size());
        m_log.write(base::LogLine(text.substr(0, end)).addFields(text.substr(end)));
        return;
    }
    m_log.write(base::LogLine("library")
                    .add("severity", google::GetLogSeverityName(severity))
                    .add("file", baseName)
                    .add("line", line)
                    .add("text", text));
}

} // namespace bamboomoor::gateway
