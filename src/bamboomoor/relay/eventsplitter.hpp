/**
 * Splits a stream of server-sent events at event boundaries without changing a byte, and extracts the event ids.
 */
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace bamboomoor::relay
{

/** @brief Buffers bytes until complete events can be forwarded. */
class EventSplitter
{
public:
    // The greatest size of one event.
    static constexpr std::size_t MAX_EVENT_BYTES = 1'048'576;

    /**
     * @brief Appends bytes of the stream.
     * @param bytes The next bytes of the stream.
     * @return All events that they complete; valid until the next call.
     */
    [[nodiscard]] std::string_view feed(std::string_view bytes);

    /**
     * @brief Returns the id of the last complete event.
     * @return The id; empty before the first event that has one.
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

    /**
     * @brief Tells whether an event exceeds MAX_EVENT_BYTES.
     * @return True if so; the stream must then be aborted.
     */
    [[nodiscard]] bool failed() const noexcept
    {
        return m_rest.size() > MAX_EVENT_BYTES;
    }

private:
    void readIds(std::string_view events);

    // The events returned by the last call of feed().
    std::string m_whole;
    // The bytes of an incomplete event.
    std::string m_rest;
    std::string m_lastId;
    std::size_t m_events = 0;
};

} // namespace bamboomoor::relay
