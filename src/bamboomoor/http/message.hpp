/**
 * The plain values of HTTP: headers, requests, whole answers.
 */
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace bamboomoor::http
{

/** @brief One header line. */
struct Header {
    std::string name = {};
    std::string value = {};

    friend bool operator==(const Header &, const Header &) = default;
};

using Headers = std::vector<Header>;

/**
 * @brief Compares two texts without regard to the case of ASCII letters.
 * @param lhs One text.
 * @param rhs Another text.
 * @return True when they are the same but for case.
 */
[[nodiscard]] bool equalsIgnoringCase(std::string_view lhs, std::string_view rhs) noexcept;

/**
 * @brief Removes the spaces and line ends around a text.
 * @param text A text.
 * @return The part without them.
 */
[[nodiscard]] std::string_view trimmed(std::string_view text) noexcept;

/**
 * @brief Turns the ASCII letters of a text to lower case.
 * @param text A text.
 * @return The text in lower case.
 */
[[nodiscard]] std::string lowered(std::string_view text);

/**
 * @brief Finds the first header of a name.
 * @param headers The header lines.
 * @param name The name, in any case.
 * @return The header, or null when there is none; valid as long as the list is left alone.
 */
[[nodiscard]] const Header *findHeader(const Headers &headers, std::string_view name) noexcept;

/**
 * @brief Reads the first header of a name.
 * @param headers The header lines.
 * @param name The name, in any case.
 * @return Its value, or an empty text when there is none; valid as long as the list is left alone.
 */
[[nodiscard]] std::string_view headerValue(const Headers &headers, std::string_view name) noexcept;

/** @brief A complete request as it came from a caller. */
struct Request {
    std::string method = {};
    // As sent, not decoded; without the query.
    std::string path = {};
    // As sent, not decoded; without the question mark.
    std::string query = {};
    Headers headers = {};
    std::string body = {};
    // IP:PORT of the other end of the connection.
    std::string remoteAddress = {};

    /**
     * @brief Reads a header of the request.
     * @param name The name, in any case.
     * @return The first value, or an empty text.
     */
    [[nodiscard]] std::string_view header(std::string_view name) const noexcept
    {
        return headerValue(headers, name);
    }
};

/** @brief A whole answer. */
struct Response {
    int status = 200;
    // Connection, Content-Length and Transfer-Encoding are set by the server; such lines here are passed over.
    Headers headers = {};
    std::string body = {};
};

} // namespace bamboomoor::http
