/**
 * One request and its answer within the server, between the library's thread and the thread that answers.
 */
#pragma once

#include "bamboomoor/base/clock.hpp"
#include "bamboomoor/http/internal/watch.hpp"
#include "bamboomoor/http/server.hpp"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <microhttpd.h>

#include <atomic>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <vector>

namespace bamboomoor::http::internal
{

/** @brief What every exchange of a server uses; outlives the server while responders are held. */
struct ExchangeScope {
    ServerOptions options;
    std::shared_ptr<Tally> tally;
    // Set when the server accepts no further connection: every answer then closes its connection.
    std::atomic<bool> quiescing = false;
    // Set before the library stops: from then on no connection is suspended.
    std::atomic<bool> stopping = false;
    // Bytes that wait in the buffers of all streams, and the number of these.
    std::atomic<std::size_t> streamBytes = 0;
    std::atomic<std::size_t> streams = 0;
};

/** @brief Why a request is answered by the server itself. */
enum class Refusal { None, HeaderTooLarge, BodyTooLarge, Busy, Malformed };

/** @brief One request and its answer. */
class Exchange : public std::enable_shared_from_this<Exchange>
{
public:
    /**
     * @brief Makes the exchange of a request whose first line has come.
     * @param scope The server's part.
     * @param connection The library's connection.
     * @param target The request target as sent.
     */
    Exchange(std::shared_ptr<ExchangeScope> scope, MHD_Connection *connection, std::string_view target);
    ~Exchange();
    Exchange(const Exchange &) = delete;
    Exchange &operator=(const Exchange &) = delete;

    /**
     * @brief Counts the body from now on; called once, on the library's thread.
     * @param evict Closes the connection, as RequestMemory asks for.
     */
    void holdMemory(std::function<void()> evict);

    /**
     * @brief Takes the head; called once, on the library's thread.
     * @param method The request's method.
     * @return Whether the server must answer by itself.
     */
    [[nodiscard]] Refusal readHead(std::string_view method);

    /**
     * @brief Takes bytes of the body, on the library's thread.
     * @param bytes The bytes.
     * @return False when the body is so far over its bound that the connection must be closed.
     */
    [[nodiscard]] bool readBody(std::string_view bytes);

    /**
     * @brief Hands the complete request to the handler, or refuses it; on the library's thread.
     * @param handler The handler.
     * @return What the library is to do.
     */
    [[nodiscard]] MHD_Result dispatch(Handler &handler);

    /**
     * @brief Queues the answer when there is one, and suspends the connection otherwise; on the library's thread.
     * @return What the library is to do.
     */
    [[nodiscard]] MHD_Result settle();

    /**
     * @brief Answers by the server itself and closes the connection afterwards.
     * @param refusal Why; not None.
     * @return What the library is to do.
     */
    [[nodiscard]] MHD_Result refuse(Refusal refusal);

    /**
     * @brief Notes that the library has finished with the request.
     * @param complete Whether the whole answer was written.
     */
    void finish(bool complete);

    /** @brief Notes that the caller has disconnected; passed over when the answer is complete. */
    void noteGone();

    /** @brief Closes the connection, also when the answer is given but not yet written. */
    void cut();

    void respond(Response response);
    void begin(int status, Headers headers);
    [[nodiscard]] bool write(std::string_view chunk);
    void end();
    void abort();
    void onGone(std::function<void()> callback);
    [[nodiscard]] bool gone() const;
    /** @brief Notes that nobody holds the responder any more. */
    void abandon();

    /**
     * @brief Counts the body so far; on the library's thread.
     * @return Bytes.
     */
    [[nodiscard]] std::size_t bodyBytes() const noexcept
    {
        return m_bodyBytes;
    }

    /**
     * @brief Tells whether the head was read; on the library's thread.
     * @return True after readHead().
     */
    [[nodiscard]] bool headRead() const noexcept
    {
        return m_headRead;
    }

    /**
     * @brief Tells whether the request was handed to the handler or refused; on the library's thread.
     * @return True after dispatch() or refuse().
     */
    [[nodiscard]] bool dispatched() const noexcept
    {
        return m_dispatched;
    }

private:
    enum class State { Open, Whole, Streaming, Ended, Cut };

    [[nodiscard]] bool appendBody(std::string_view bytes);
    void dropBody();
    [[nodiscard]] ssize_t readStream(char *buf, std::size_t max);
    [[nodiscard]] static MHD_Response *makeWhole(std::string text);
    [[nodiscard]] MHD_Response *makeStream();
    [[nodiscard]] static MHD_Result queue(
        MHD_Connection *connection, MHD_Response *made, const Response &response, bool close);
    void wake() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    [[nodiscard]] bool isStalled() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void dropBuffer() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void countStream(std::size_t bytes) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    [[nodiscard]] bool isOverShare(std::size_t waiting) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    static void runCallbacks(const std::vector<std::function<void()>> &callbacks);

    const std::shared_ptr<ExchangeScope> m_scope;
    const base::SteadyClock m_clock;
    // Touched on the library's thread alone.
    Request m_request;
    std::size_t m_bodyBytes = 0;
    // Set by holdMemory(); counts the head, with what its connection costs, and the capacity of the body.
    std::optional<MemoryHold> m_hold;
    // The part of m_hold that is not for the body.
    std::size_t m_headMemory = 0;
    // The announced length of the body; 0 if it has none.
    std::size_t m_announcedBytes = 0;
    // Set when a part of the body was dropped for want of room.
    bool m_isOverHeld = false;
    bool m_headRead = false;
    bool m_dispatched = false;

    mutable absl::Mutex m_mutex;
    // Null once the library has finished with the request.
    MHD_Connection *m_connection ABSL_GUARDED_BY(m_mutex);
    State m_state ABSL_GUARDED_BY(m_mutex) = State::Open;
    // Whether the library holds the connection still until wake().
    bool m_suspended ABSL_GUARDED_BY(m_mutex) = false;
    bool m_queued ABSL_GUARDED_BY(m_mutex) = false;
    bool m_gone ABSL_GUARDED_BY(m_mutex) = false;
    // Part of ExchangeScope::streams.
    bool m_isStream ABSL_GUARDED_BY(m_mutex) = false;
    bool m_closeAfter ABSL_GUARDED_BY(m_mutex) = false;
    Response m_response ABSL_GUARDED_BY(m_mutex);
    // Stream bytes from m_taken on wait to be read.
    std::string m_buffer ABSL_GUARDED_BY(m_mutex);
    std::size_t m_taken ABSL_GUARDED_BY(m_mutex) = 0;
    // Part of ExchangeScope::streamBytes.
    std::size_t m_countedStreamBytes ABSL_GUARDED_BY(m_mutex) = 0;
    // When the buffer went over its bound; 0 while it is under it.
    base::Millis m_fullSince ABSL_GUARDED_BY(m_mutex);
    std::vector<std::function<void()>> m_onGone ABSL_GUARDED_BY(m_mutex);
};

/**
 * @brief Makes the responder of an exchange.
 * @param exchange The exchange.
 * @return The responder for the handler.
 */
[[nodiscard]] std::shared_ptr<Responder> makeResponder(std::shared_ptr<Exchange> exchange);

} // namespace bamboomoor::http::internal
