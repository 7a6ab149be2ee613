/**
 * The server towards callers, operators and upstreams, on libmicrohttpd.
 * A handler receives each complete request and answers it, at once or later, from any thread.
 */
#pragma once

#include "bamboomoor/base/clock.hpp"
#include "bamboomoor/base/outcome.hpp"
#include "bamboomoor/http/message.hpp"
#include "bamboomoor/http/requestmemory.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace bamboomoor::http
{

/**
 * @brief The way back to one caller; every method may be called from any thread and returns at once.
 * A responder that is destroyed unanswered answers 500; one destroyed within a stream aborts it.
 */
class Responder
{
public:
    virtual ~Responder() = default;

    /**
     * @brief Gives the whole answer; passed over when an answer was given before.
     * @param response Status, headers and body.
     */
    virtual void respond(Response response) = 0;

    /**
     * @brief Begins a streamed answer; passed over when an answer was given before.
     * @param status The HTTP status.
     * @param headers The header lines.
     */
    virtual void begin(int status, Headers headers) = 0;

    /**
     * @brief Appends bytes to a streamed answer.
     * @param chunk The bytes.
     * @return False when the caller has gone, or has not read for too long; the stream is then over.
     */
    virtual bool write(std::string_view chunk) = 0;

    /** @brief Ends a streamed answer properly. */
    virtual void end() = 0;

    /** @brief Closes the connection without ending the answer, so that the caller sees it cut. */
    virtual void abort() = 0;

    /**
     * @brief Asks to be told, at most once, when the caller disconnects before its answer is complete.
     * @param callback Called on a thread of the server, or at once when the caller has gone already.
     */
    virtual void onGone(std::function<void()> callback) = 0;

    /**
     * @brief Tells whether the caller disconnected before its answer was complete.
     * @return True when it did.
     */
    [[nodiscard]] virtual bool gone() const = 0;
};

/** @brief Receives the requests of a server. */
class Handler
{
public:
    virtual ~Handler() = default;

    /**
     * @brief Takes one complete request; called on a thread of the server, must return at once.
     * @param request The request.
     * @param responder The way back to the caller.
     */
    virtual void handle(Request request, std::shared_ptr<Responder> responder) = 0;
};

/** @brief The bounds of a server. */
struct ServerOptions {
    std::size_t maxHeaderBytes = 16'384;
    std::size_t maxBodyBytes = 4'194'304;
    // The memory of the bodies of all requests that are not answered yet; what does not fit is refused with 503.
    // Several servers of a process may share it. If null, the server has its own of maxHeldBodyBytes, 0 for no bound.
    std::shared_ptr<RequestMemory> memory = nullptr;
    std::size_t maxHeldBodyBytes = 0;
    // How often a whole body exists at once, with the copies that the handler makes.
    std::size_t bodyCopies = 1;
    // A stream's bytes that wait for a caller that does not read.
    std::size_t maxStreamBytes = 1'048'576;
    // The same of all streams; those that hold more than an equal share of it are then cut. 0 for no bound.
    std::size_t maxAllStreamBytes = 0;
    // Connections whose request has not been read up to the end of its head; those that have waited for longest are
    // closed when there are more. 0 for no bound.
    std::size_t maxUnfinishedHeads = 0;
    unsigned maxConnections = 12'000;
    unsigned threads = 4;
    // A connection without a request, or whose caller does not read, is closed after this time.
    base::Millis idleTimeout{60'000};
    // Time for a request's head, and for its body beyond MIN_BODY_RATE.
    base::Millis slowSenderTimeout{10'000};
    // A stream whose buffer stays over maxStreamBytes for this time is cut.
    base::Millis slowReaderTimeout{5'000};
};

/** @brief The slowest rate at which a body may arrive, in bytes per millisecond. */
inline constexpr std::int64_t MIN_BODY_RATE = 16;

/** @brief What a server has seen since its start. */
struct ServerCounters {
    std::uint64_t connections = 0;
    std::uint64_t openConnections = 0;
    std::uint64_t requests = 0;
    // Requests handed to the handler whose answer is not complete.
    std::uint64_t openRequests = 0;
    std::uint64_t headerTooLarge = 0;
    std::uint64_t bodyTooLarge = 0;
    // Requests refused, and connections closed before the end of their body, for want of memory.
    std::uint64_t overHeldBodies = 0;
    std::uint64_t evictedBodies = 0;
    // Connections closed because of maxUnfinishedHeads.
    std::uint64_t evictedHeads = 0;
    std::uint64_t malformed = 0;
    std::uint64_t slowSender = 0;
    std::uint64_t slowReader = 0;
    // Callers that disconnected before their answer was complete.
    std::uint64_t callersGone = 0;
    // Connections that ended without one request whose head was read: idle, half-sent or malformed.
    std::uint64_t withoutRequest = 0;
    // Connections closed while nearly maxConnections were open, as they waited for their callers.
    std::uint64_t evictedConnections = 0;
    // Connections closed at once, because maxConnections were open.
    std::uint64_t overConnections = 0;
};

/** @brief Why a server did not start. */
struct ServerError {
    std::string message;
};

/** @brief One listening address with its connections; destroying it stops it at once. */
class Server
{
public:
    /**
     * @brief Makes a stopped server.
     * @param handler Receives the requests; outlives the server.
     * @param options The bounds.
     */
    explicit Server(Handler &handler, ServerOptions options = {});
    ~Server();
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;
    Server(Server &&) = delete;
    Server &operator=(Server &&) = delete;

    /**
     * @brief Listens; called once.
     * @param address IP:PORT, [IP]:PORT for IPv6; port 0 takes a free port.
     * @return The address in use, with its port; or why it cannot be used.
     */
    [[nodiscard]] base::Result<std::string, ServerError> start(const std::string &address);

    /**
     * @brief Accepts no further connection; requests on open ones are answered, then their connection closes, and a
     * connection without a request closes too.
     * Takes 200 ms, in which handshakes under way end.
     */
    void quiesce();

    /**
     * @brief Quiesces, waits until every request is answered, and closes all; an unanswered one is cut.
     * @param limit The longest wait, in milliseconds.
     * @return True when every request was answered.
     */
    bool stop(base::Millis limit);

    /**
     * @brief Reads the counters.
     * @return Their present values.
     */
    [[nodiscard]] ServerCounters counters() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace bamboomoor::http
