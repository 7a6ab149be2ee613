/**
 * An incremental parser of server-sent events, as engines stream them: `data:` lines, closed by a blank line.
 */
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace bamboomoor::http
{

/** @brief The data text that ends a stream of tokens. */
inline constexpr std::string_view SSE_DONE = "[DONE]";

/** @brief Cuts a stream of bytes into events; any split of the bytes gives the same events. */
class SseParser
{
public:
    /**
     * @brief Makes an empty parser.
     * @param maxEventBytes The most bytes of one line or of one event's data.
     */
    explicit SseParser(std::size_t maxEventBytes = 1'048'576) noexcept;

    /**
     * @brief Reads bytes.
     * @param bytes The next bytes of the stream.
     * @return The data of the events completed by them, without the `data:` and joined by line feeds; none once
     * the parser has failed.
     */
    [[nodiscard]] std::vector<std::string> feed(std::string_view bytes);

    /**
     * @brief Tells whether the bound on an event was exceeded.
     * @return True when it was; the parser then reads no further.
     */
    [[nodiscard]] bool failed() const noexcept
    {
        return m_failed;
    }

    /**
     * @brief Tells whether the bytes so far end between two events.
     * @return False within an event, which a cut stream leaves unfinished.
     */
    [[nodiscard]] bool atBoundary() const noexcept
    {
        return m_line.empty() && !m_hasData;
    }

    /** @brief Returns the bytes of the incomplete event. */
    [[nodiscard]] std::size_t pending() const noexcept
    {
        return m_line.size() + m_data.size();
    }

private:
    void readLine(std::vector<std::string> &events);
    void readField(std::string_view line);

    std::size_t m_maxEventBytes;
    // The bytes of the line being read, without its end; at most m_maxEventBytes.
    std::string m_line;
    // The data lines of the event being read; at most m_maxEventBytes.
    std::string m_data;
    bool m_hasData = false;
    // A carriage return ended the last line, so that a line feed right after it belongs to it.
    bool m_afterReturn = false;
    bool m_failed = false;
};

} // namespace bamboomoor::http
