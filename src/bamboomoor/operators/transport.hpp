/**
 * How the command line reaches an entry.
 */
#pragma once

#include "bamboomoor/base/outcome.hpp"

#include <string>

namespace bamboomoor::operators
{

/** @brief The method of a call. */
enum class Method { Get, Post };

/** @brief An answer that arrived whole. */
struct HttpReply {
    int status = 0;
    std::string body;
};

/** @brief How far a failed call came. */
enum class Reach {
    // Nothing was sent, so nothing has happened.
    NotSent,
    // The call may have been received.
    MaybeSent
};

/** @brief Why a call has no answer. */
struct TransportError {
    Reach reach = Reach::MaybeSent;
    // One line.
    std::string message;
};

/** @brief Carries calls to one entry. */
class Transport
{
public:
    Transport() = default;
    Transport(const Transport &) = delete;
    Transport &operator=(const Transport &) = delete;
    Transport(Transport &&) = delete;
    Transport &operator=(Transport &&) = delete;
    virtual ~Transport() = default;

    /**
     * @brief Makes one call over a new connection, and never sends it twice.
     * @param method The method.
     * @param path The path and query, from its first slash.
     * @param body JSON, empty for Get.
     * @return The answer, or why there is none.
     */
    [[nodiscard]] virtual base::Result<HttpReply, TransportError> call(
        Method method, const std::string &path, const std::string &body) = 0;
};

} // namespace bamboomoor::operators
