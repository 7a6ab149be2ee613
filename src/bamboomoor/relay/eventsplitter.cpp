/**
 * Splitting of event streams. Lines end with LF or CRLF.
 */
#include "bamboomoor/relay/eventsplitter.hpp"

#include <algorithm>
#include <utility>

namespace bamboomoor::relay
{

namespace
{

constexpr std::string_view ID_FIELD = "id:";

// Returns the offset behind the last complete event, or 0.
std::size_t endOfEvents(std::string_view text) noexcept
{
    const std::size_t plain = text.rfind("\n\n");
    const std::size_t returns = text.rfind("\n\r\n");
    const std::size_t afterPlain = plain == std::string_view::npos ? 0 : plain + 2;
    const std::size_t afterReturns = returns == std::string_view::npos ? 0 : returns + 3;
    return std::max(afterPlain, afterReturns);
}

std::string_view withoutReturn(std::string_view line) noexcept
{
    return line.ends_with('\r') ? line.substr(0, line.size() - 1) : line;
}

} // namespace

std::string_view EventSplitter::feed(std::string_view bytes)
{
    m_rest += bytes;
    const std::size_t end = endOfEvents(m_rest);
    m_whole.assign(m_rest, 0, end);
    m_rest.erase(0, end);
    readIds(m_whole);
    return m_whole;
}

void EventSplitter::readIds(std::string_view events)
{
    bool inEvent = false;
    while (!events.empty()) {
        const std::size_t end = std::min(events.find('\n'), events.size());
        const std::string_view line = withoutReturn(events.substr(0, end));
        events.remove_prefix(std::min(end + 1, events.size()));
        if (line.empty()) {
            m_events += inEvent ? 1 : 0;
            inEvent = false;
            continue;
        }
        inEvent = true;
        if (line.starts_with(ID_FIELD)) {
            std::string_view id = line.substr(ID_FIELD.size());
            id.remove_prefix(id.starts_with(' ') ? 1 : 0);
            m_lastId = id;
        }
    }
}

} // namespace bamboomoor::relay
