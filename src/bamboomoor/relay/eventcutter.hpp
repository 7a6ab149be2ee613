/**
 * Cuts a stream of server-sent events into whole events without changing a byte, and reads their ids.
 */
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace bamboomoor::relay
{

/** @brief Collects bytes until whole events can go on. */
class EventCutter
{
public:
    // The most bytes of one event.
    static constexpr std::size_t MAX_EVENT_BYTES = 1'048'576;

    /**
     * @brief Takes bytes.
     * @param bytes The next bytes of the stream.
     * @return The bytes of all events completed by them; valid until the next call.
     */
    [[nodiscard]] std::string_view feed(std::string_view bytes);

    /**
     * @brief Tells the id of the last whole event.
     * @return The id, empty before the first event with one.
     */
    [[nodiscard]] const std::string &lastId() const noexcept
    {
        return m_lastId;
    }

    /**
     * @brief Counts the whole events.
     * @return Their number.
     */
    [[nodiscard]] std::size_t events() const noexcept
    {
        return m_events;
    }

    /**
     * @brief Tells whether the stream is between two events.
     * @return False inside an event, which a cut stream leaves unfinished.
     */
    [[nodiscard]] bool atBoundary() const noexcept
    {
        return m_rest.empty();
    }

    /**
     * @brief Tells whether an event was longer than the bound.
     * @return True when it was; the stream is then not to be relayed any further.
     */
    [[nodiscard]] bool failed() const noexcept
    {
        return m_rest.size() > MAX_EVENT_BYTES;
    }

private:
    void readIds(std::string_view events);

    // The events handed out by the last call.
    std::string m_whole;
    // The bytes of an unfinished event.
    std::string m_rest;
    std::string m_lastId;
    std::size_t m_events = 0;
};

} // namespace bamboomoor::relay
