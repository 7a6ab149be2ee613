/**
 * One call within the client: the library's handle, the answer so far, and the judgement of how it ended.
 */
#pragma once

#include "bamboomoor/base/clock.hpp"
#include "bamboomoor/http/client.hpp"

#include <curl/curl.h>

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace bamboomoor::http::internal
{

/** @brief One call; used on the client's thread alone. */
class Transfer
{
public:
    /**
     * @brief Prepares a call.
     * @param handle A reset handle of the library, used until the end.
     * @param call The request.
     * @param listener Receives the answer.
     * @param now The present time, in milliseconds.
     */
    Transfer(CURL *handle, Call call, std::shared_ptr<Listener> listener, base::Millis now);
    ~Transfer();
    Transfer(const Transfer &) = delete;
    Transfer &operator=(const Transfer &) = delete;
    Transfer(Transfer &&) = delete;
    Transfer &operator=(Transfer &&) = delete;

    /**
     * @brief Tells when the call must have moved on.
     * @return The point of time, in milliseconds.
     */
    [[nodiscard]] base::Millis deadline() const noexcept;

    /**
     * @brief Tells until when the call need not be looked at: no later deadline() lies before that time.
     * @param now The present time, in milliseconds.
     * @return The point of time, in milliseconds.
     */
    [[nodiscard]] base::Millis nextCheck(base::Millis now) const noexcept;

    /**
     * @brief Tells whether the call has used its whole time.
     * @param now The present time, in milliseconds.
     * @return True from the total timeout on.
     */
    [[nodiscard]] bool isOverTotal(base::Millis now) const noexcept
    {
        return now >= m_started + m_call.totalTimeout;
    }

    /**
     * @brief Tells the listener the end by the library's verdict.
     * @param code The verdict.
     */
    void finish(CURLcode code);

    /**
     * @brief Tells the listener an end decided by the client.
     * @param kind How the call ended.
     */
    void finish(EndKind kind);

    /**
     * @brief Notes that the answer moved.
     * @param now The present time, in milliseconds.
     */
    void touch(base::Millis now) noexcept
    {
        m_lastProgress = now;
    }

    /**
     * @brief Names the library's handle.
     * @return The handle.
     */
    [[nodiscard]] CURL *handle() const noexcept
    {
        return m_handle;
    }

private:
    static int onRequest(void *self, char *remoteIp, char *localIp, int remotePort, int localPort) noexcept;
    static curl_socket_t onOpenSocket(void *self, curlsocktype purpose, curl_sockaddr *address) noexcept;
    static std::size_t onHeaderLine(char *bytes, std::size_t size, std::size_t count, void *self);
    static std::size_t onBody(char *bytes, std::size_t size, std::size_t count, void *self);

    void setRequest();
    void setHeaders();
    void setLimits();
    void readHeaderLine(std::string_view line);
    void continueHeader(std::string_view text);
    void finishHead();
    [[nodiscard]] EndKind judge(CURLcode code) const;
    [[nodiscard]] bool anyByteSent() const;
    [[nodiscard]] bool hasNoBody() const noexcept;

    CURL *const m_handle;
    const Call m_call;
    const std::shared_ptr<Listener> m_listener;
    const base::SteadyClock m_clock;
    curl_slist *m_lines = nullptr;
    const base::Millis m_started;
    base::Millis m_lastProgress;
    int m_status = 0;
    Headers m_headers;
    bool m_headDone = false;
    bool m_delimited = false;
    // The library was allowed to send the request; it is not allowed a second time.
    bool m_requested = false;
    bool m_answered = false;
    bool m_tooLarge = false;
    bool m_malformed = false;
    // The listener did not take the answer for this call's.
    bool m_rejected = false;
    std::size_t m_headBytes = 0;
    std::uint64_t m_bodyBytes = 0;
};

} // namespace bamboomoor::http::internal
