/**
 * Splitting of event streams. Lines end with LF or CRLF.
 */
#include "bamboomoor/relay/eventsplitter.hpp"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <optional>
#include <system_error>

namespace bamboomoor::relay
{

namespace
{

constexpr std::string_view ID_FIELD = "id:";
constexpr std::string_view NAME_LETTERS = "abcdefghijklmnopqrstuvwxyz0123456789-_";
constexpr char COMMENT = ':';

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

// Neither the head of a response nor a plain error text is made of such lines.
bool isField(std::string_view line) noexcept
{
    return line.substr(0, line.find(':')).find_first_not_of(NAME_LETTERS) == std::string_view::npos;
}

std::optional<std::uint64_t> numberOf(std::string_view id) noexcept
{
    std::uint64_t number = 0;
    const auto [end, ec] = std::from_chars(id.data(), id.data() + id.size(), number);
    return ec == std::errc() && end == id.data() + id.size() ? std::optional(number) : std::nullopt;
}

} // namespace

std::string_view EventSplitter::feed(std::string_view bytes)
{
    if (m_fault != EventFault::None) {
        return {};
    }
    m_rest += bytes;
    const std::size_t end = endOfEvents(m_rest);
    m_whole.assign(m_rest, 0, end);
    m_rest.erase(0, end);
    m_fault = readEvents(m_whole);
    if (m_fault == EventFault::None && m_rest.size() > MAX_EVENT_BYTES) {
        m_fault = EventFault::TooLong;
    }
    return m_fault == EventFault::None ? std::string_view(m_whole) : std::string_view();
}

bool EventSplitter::continues(std::string_view id) const noexcept
{
    const auto number = numberOf(id);
    const auto last = numberOf(m_lastId);
    return !id.empty() && (!number || !last || *number > *last);
}

EventFault EventSplitter::readEvents(std::string_view events)
{
    bool inEvent = false;
    // The event has a line that is no comment.
    bool hasField = false;
    bool hasId = false;
    while (!events.empty()) {
        const std::size_t end = std::min(events.find('\n'), events.size());
        const std::string_view line = withoutReturn(events.substr(0, end));
        events.remove_prefix(std::min(end + 1, events.size()));
        if (line.empty()) {
            if (m_continues && hasField && !hasId) {
                return EventFault::OutOfOrder;
            }
            m_events += inEvent ? 1 : 0;
            inEvent = false;
            hasField = false;
            hasId = false;
            continue;
        }
        if (!isField(line)) {
            return EventFault::Malformed;
        }
        inEvent = true;
        hasField = hasField || !line.starts_with(COMMENT);
        if (line.starts_with(ID_FIELD)) {
            std::string_view id = line.substr(ID_FIELD.size());
            id.remove_prefix(id.starts_with(' ') ? 1 : 0);
            if (m_continues && !continues(id)) {
                return EventFault::OutOfOrder;
            }
            hasId = true;
            m_lastId = id;
        }
    }
    return EventFault::None;
}

} // namespace bamboomoor::relay
