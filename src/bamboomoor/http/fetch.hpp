/**
 * Calls whose answer is wanted whole: collected in memory and handed over at its end.
 */
#pragma once

#include "bamboomoor/http/client.hpp"

#include <functional>
#include <string>

namespace bamboomoor::http
{

/** @brief A collected answer. */
struct Fetched {
    Ending ending = {};
    // 0 when no head came.
    int status = 0;
    Headers headers = {};
    std::string body = {};
};

/**
 * @brief Sends a request and collects its answer.
 * @param client The client.
 * @param call The request; its maxAnswerBytes bounds the memory.
 * @param done Called once, on the client's thread.
 * @return The call's name for cancel().
 */
CallId fetchThen(Client &client, Call call, std::function<void(Fetched)> done);

/**
 * @brief Sends a request and waits for its answer; not to be called on the client's thread.
 * @param client The client.
 * @param call The request; its totalTimeout bounds the wait.
 * @return The answer, as far as it came.
 */
[[nodiscard]] Fetched fetch(Client &client, Call call);

} // namespace bamboomoor::http
