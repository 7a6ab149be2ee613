/**
 * Line and event assembly of server-sent events.
 */
#include "bamboomoor/http/sse.hpp"

#include <utility>

namespace bamboomoor::http
{

SseParser::SseParser(std::size_t maxEventBytes) noexcept
    : m_maxEventBytes(maxEventBytes)
{
}

std::vector<std::string> SseParser::feed(std::string_view bytes)
{
    std::vector<std::string> events;
    for (const char it : bytes) {
        if (m_failed) {
            break;
        }
        const bool pairedFeed = m_afterReturn && it == '\n';
        m_afterReturn = it == '\r';
        if (pairedFeed) {
            continue;
        }
        if (it == '\n' || it == '\r') {
            readLine(events);
        } else if (m_line.size() < m_maxEventBytes) {
            m_line += it;
        } else {
            m_failed = true;
        }
    }
    return events;
}

void SseParser::readLine(std::vector<std::string> &events)
{
    const std::string line = std::exchange(m_line, {});
    if (!line.empty()) {
        readField(line);
        return;
    }
    if (m_hasData) {
        events.push_back(std::exchange(m_data, {}));
        m_hasData = false;
    }
}

void SseParser::readField(std::string_view line)
{
    const std::size_t colon = line.find(':');
    if (line.substr(0, colon) != "data") {
        return;
    }
    std::string_view value = colon == std::string_view::npos ? std::string_view() : line.substr(colon + 1);
    if (value.starts_with(' ')) {
        value.remove_prefix(1);
    }
    if (m_data.size() + value.size() + 1 > m_maxEventBytes) {
        m_failed = true;
        return;
    }
    if (m_hasData) {
        m_data += '\n';
    }
    m_data += value;
    m_hasData = true;
}

} // namespace bamboomoor::http
