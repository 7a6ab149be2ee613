/**
 * Splits a stream of server-sent events at event boundaries without changing a byte, extracts the event ids, and
 * detects what is not an event of the stream.
 */
#pragma once

#include "bamboomoor/base/nametable.hpp"

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>

namespace bamboomoor::relay
{

/** @brief Why a stream of events cannot be forwarded any further. */
enum class EventFault { None, TooLong, Malformed, OutOfOrder };

/** @brief The names of the faults in logs. */
inline constexpr auto EVENT_FAULT_NAMES =
    base::makeNames<EventFault>("", "event_too_long", "malformed_event", "event_out_of_order");

/** @brief Buffers bytes until complete events can be forwarded. */
class EventSplitter
{
public:
    // The greatest size of one event.
    static constexpr std::size_t MAX_EVENT_BYTES = 1'048'576;

    /**
     * @brief Creates a splitter.
     * @param after The id of the event after which the stream continues, so that every event must have an id, and a
     * greater one than the event before if both are numbers; empty for a stream that nothing precedes.
     */
    explicit EventSplitter(std::string after = {})
        : m_lastId(std::move(after))
        , m_continues(!m_lastId.empty())
    {
    }

    /**
     * @brief Appends bytes of the stream.
     * @param bytes The next bytes of the stream.
     * @return All events that they complete, none after a fault; valid until the next call.
     */
    [[nodiscard]] std::string_view feed(std::string_view bytes);

    /**
     * @brief Returns the id of the last complete event.
     * @return The id; before the first event that has one, the id after which the stream continues.
     */
    [[nodiscard]] const std::string &lastId() const noexcept
    {
        return m_lastId;
    }

    /** @brief Returns the number of complete events. */
    [[nodiscard]] std::size_t events() const noexcept
    {
        return m_events;
    }

    /**
     * @brief Tells whether the stream is at an event boundary.
     * @return False inside an event; a stream that ends there is truncated.
     */
    [[nodiscard]] bool atBoundary() const noexcept
    {
        return m_rest.empty();
    }

    /** @brief Returns the bytes of the incomplete event. */
    [[nodiscard]] std::size_t pending() const noexcept
    {
        return m_rest.size();
    }

    /**
     * @brief Returns the fault that was found.
     * @return The fault; unless it is None, the rest of the stream must not be forwarded.
     */
    [[nodiscard]] EventFault fault() const noexcept
    {
        return m_fault;
    }

private:
    [[nodiscard]] EventFault readEvents(std::string_view events);
    [[nodiscard]] bool continues(std::string_view id) const noexcept;

    // The events returned by the last call of feed().
    std::string m_whole;
    // The bytes of an incomplete event.
    std::string m_rest;
    std::string m_lastId;
    bool m_continues = false;
    std::size_t m_events = 0;
    EventFault m_fault = EventFault::None;
};

} // namespace bamboomoor::relay
