/**
 * The client towards upstreams and entries, on libcurl: one thread carries any number of calls.
 * An ending says whether the upstream may have received anything, on which decisions to retry rest.
 */
#pragma once

#include "bamboomoor/base/clock.hpp"
#include "bamboomoor/base/nametable.hpp"
#include "bamboomoor/http/message.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace bamboomoor::http
{

/** @brief The ways in which a call ends. */
enum class EndKind {
    Complete,
    Unusable,
    ConnectFailed,
    ConnectTimeout,
    ResetBeforeAnswer,
    ResetDuring,
    Truncated,
    Silent,
    TimedOut,
    Cancelled,
    Malformed,
    TooLarge,
    Stale,
};

/** @brief The names of the ways in which a call ends. */
inline constexpr auto END_KIND_NAMES =
    base::makeNames<EndKind>("complete", "unusable", "connect_failed", "connect_timeout", "reset_before_answer",
        "reset_during", "truncated", "silent", "timed_out", "cancelled", "malformed", "too_large", "stale");

/** @brief How a call ended. */
struct Ending {
    EndKind kind = EndKind::Complete;
    // False only when it is certain that no byte of the request left for the upstream.
    bool bytesSent = false;
    // False when only the closing of the connection marked the answer's end, so that a cut cannot be told.
    bool delimited = false;
    // The body bytes delivered to the listener.
    std::uint64_t bodyBytes = 0;
    // The library's words, for a log.
    std::string detail = {};
};

/** @brief Receives the answer to one call, on the client's thread; each method must return at once. */
class Listener
{
public:
    virtual ~Listener() = default;

    /**
     * @brief Receives the head of the answer, once.
     * @param status The HTTP status, 200 or more.
     * @param headers The header lines.
     * @return False if the answer is not this call's. The call then ends as Cancelled and its connection is closed, as
     * the upstream may still be working on the request.
     */
    virtual bool onHead(int status, Headers headers) = 0;

    /**
     * @brief Receives bytes of the answer's body.
     * @param bytes The bytes, valid during the call.
     * @return False if there is no memory for them. The call then ends as TooLarge and its connection is closed.
     */
    virtual bool onData(std::string_view bytes) = 0;

    /**
     * @brief Receives the end, exactly once and last.
     * @param ending How the call ended.
     */
    virtual void onEnd(Ending ending) = 0;
};

/** @brief One request to send. */
struct Call {
    std::string method = "GET";
    // http://ADDRESS/PATH, already encoded.
    std::string url = {};
    Headers headers = {};
    std::string body = {};
    // From start() to the moment when the client's thread takes the call; later it ends as Stale, unsent.
    base::Millis startTimeout = base::NEVER;
    base::Millis connectTimeout{1'000};
    // From the start to the first byte of the answer.
    base::Millis firstByteTimeout{10'000};
    // Between any two reads of the answer.
    base::Millis progressTimeout{10'000};
    base::Millis totalTimeout{600'000};
    // True: a new connection. False: one from the pool if there is one, which may turn out to be dead; the call then
    // ends as ResetBeforeAnswer. Either way the request is sent once at most.
    bool freshConnection = true;
    std::size_t maxAnswerBytes = 67'108'864;
};

/** @brief Names a call within its client; 0 names none. */
struct CallId {
    std::uint64_t value = 0;

    friend auto operator<=>(const CallId &, const CallId &) noexcept = default;
};

/** @brief The bounds of a client. */
struct ClientOptions {
    // Idle connections kept for reuse.
    long maxIdleConnections = 256;
    // An idle connection is not used again after this time; whole seconds.
    base::Millis maxIdleAge{10'000};
};

/** @brief Sends calls; all methods may be called from any thread. */
class Client
{
public:
    /**
     * @brief Starts the client's thread.
     * @param options The bounds.
     */
    explicit Client(ClientOptions options = {});
    ~Client();
    Client(const Client &) = delete;
    Client &operator=(const Client &) = delete;
    Client(Client &&) = delete;
    Client &operator=(Client &&) = delete;

    /**
     * @brief Sends a request.
     * @param call The request.
     * @param listener Receives the answer; its onEnd is always called, also on a stopped client.
     * @return The call's name for cancel().
     */
    CallId start(Call call, const std::shared_ptr<Listener> &listener);

    /**
     * @brief Breaks a call off; its listener receives onEnd, of kind Cancelled unless the call ended before.
     * @param id The call; one that has ended is passed over.
     */
    void cancel(CallId id);

    /** @brief Cancels all calls and ends the thread; not to be called from a listener. */
    void stop();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace bamboomoor::http
