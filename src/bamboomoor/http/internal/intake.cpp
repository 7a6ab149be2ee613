/**
 * The receiving side of an exchange: head, body, and what the server refuses by itself.
 */
#include "bamboomoor/http/internal/exchange.hpp"
#include "bamboomoor/http/internal/tally.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>

#include <algorithm>
#include <array>
#include <cassert>
#include <charconv>
#include <utility>

namespace bamboomoor::http::internal
{

namespace
{

// A body of this many times its bound is not read to its end.
constexpr std::size_t DISCARD_FACTOR = 2;
// What a connection with a request takes besides head and body.
constexpr std::size_t CONNECTION_BYTES = 8'192;
// The head is held by the library and by the request.
constexpr std::size_t HEAD_COPIES = 2;
// Asked of callers whose body found no room, in seconds.
constexpr const char *BUSY_RETRY_SECONDS = "1";

std::string addressOf(MHD_Connection *connection)
{
    const MHD_ConnectionInfo *info = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
    if (info == nullptr || info->client_addr == nullptr) {
        return {};
    }
    std::array<char, INET6_ADDRSTRLEN> buf{};
    if (info->client_addr->sa_family == AF_INET6) {
        const auto *in6 = reinterpret_cast<const sockaddr_in6 *>(info->client_addr);
        inet_ntop(AF_INET6, &in6->sin6_addr, buf.data(), buf.size());
        return "[" + std::string(buf.data()) + "]:" + std::to_string(ntohs(in6->sin6_port));
    }
    const auto *in4 = reinterpret_cast<const sockaddr_in *>(info->client_addr);
    inet_ntop(AF_INET, &in4->sin_addr, buf.data(), buf.size());
    return std::string(buf.data()) + ":" + std::to_string(ntohs(in4->sin_port));
}

// The absolute form of a target carries a scheme and a host, which are not part of the path.
std::string_view withoutAuthority(std::string_view target) noexcept
{
    const std::size_t scheme = target.find("://");
    if (target.starts_with('/') || scheme == std::string_view::npos) {
        return target;
    }
    const std::size_t path = target.find('/', scheme + 3);
    return path == std::string_view::npos ? std::string_view("/") : target.substr(path);
}

bool isPlain(std::string_view text, bool spaces) noexcept
{
    return std::all_of(text.begin(), text.end(), [spaces](char it) {
        const auto code = static_cast<unsigned char>(it);
        return (code > 0x20 && code != 0x7f) || (spaces && (it == ' ' || it == '\t'));
    });
}

MHD_Result collect(
    void *cls, MHD_ValueKind, const char *key, std::size_t keySize, const char *value, std::size_t valueSize)
{
    static_cast<Headers *>(cls)->push_back({std::string(key, keySize), std::string(value, valueSize)});
    return MHD_YES;
}

std::size_t countOf(const Headers &headers, std::string_view name) noexcept
{
    return static_cast<std::size_t>(std::count_if(headers.begin(), headers.end(), [name](const Header &it) {
        return equalsIgnoringCase(it.name, name);
    }));
}

// Two ways to say where the body ends let two readers disagree about the next request.
bool hasClearFraming(const Headers &headers) noexcept
{
    const std::size_t lengths = countOf(headers, "Content-Length");
    const std::size_t codings = countOf(headers, "Transfer-Encoding");
    return lengths + codings <= 1
        && (codings == 0 || equalsIgnoringCase(headerValue(headers, "Transfer-Encoding"), "chunked"));
}

bool isWellFormed(const Request &request) noexcept
{
    return !request.path.empty() && isPlain(request.path, false) && isPlain(request.query, false)
        && isPlain(request.method, false) && hasClearFraming(request.headers)
        && std::all_of(request.headers.begin(), request.headers.end(), [](const Header &it) {
               return !it.name.empty() && isPlain(it.name, false) && isPlain(it.value, true);
           });
}

std::uint64_t announcedLength(const Headers &headers) noexcept
{
    const std::string_view text = headerValue(headers, "Content-Length");
    std::uint64_t length = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), length);
    return ec == std::errc::result_out_of_range ? UINT64_MAX : length;
}

std::string refusalBody(std::string_view code, std::string_view message)
{
    std::string body = R"({"error":{"type":"invalid_request_error","code":")";
    body += code;
    body += R"(","message":")";
    body += message;
    body += R"(","not_run":true}})";
    return body;
}

} // namespace

Exchange::Exchange(std::shared_ptr<ExchangeScope> scope, MHD_Connection *connection, std::string_view target)
    : m_scope(std::move(scope))
    , m_connection(connection)
{
    const std::string_view path = withoutAuthority(target);
    const std::size_t mark = path.find('?');
    m_request.path = path.substr(0, mark);
    m_request.query = mark == std::string_view::npos ? std::string_view() : path.substr(mark + 1);
}

Exchange::~Exchange()
{
    const absl::MutexLock lock(&m_mutex);
    countStream(0);
    m_scope->streams -= m_isStream ? 1 : 0;
}

void Exchange::holdMemory(std::function<void()> evict)
{
    m_hold.emplace(*m_scope->options.memory, std::move(evict));
}

Refusal Exchange::readHead(std::string_view method)
{
    const absl::MutexLock lock(&m_mutex);
    m_headRead = true;
    m_request.method = method;
    m_request.remoteAddress = addressOf(m_connection);
    MHD_get_connection_values_n(m_connection, MHD_HEADER_KIND, &collect, &m_request.headers);
    if (!isWellFormed(m_request)) {
        return Refusal::Malformed;
    }
    std::size_t size = m_request.path.size() + m_request.query.size();
    for (const Header &it : m_request.headers) {
        size += it.name.size() + it.value.size();
    }
    if (size > m_scope->options.maxHeaderBytes) {
        return Refusal::HeaderTooLarge;
    }
    const std::uint64_t length = announcedLength(m_request.headers);
    if (length > m_scope->options.maxBodyBytes) {
        return Refusal::BodyTooLarge;
    }
    m_announcedBytes = length;
    const std::size_t headMemory = CONNECTION_BYTES + size * HEAD_COPIES;
    if (!m_hold->grow(m_clock.now(), headMemory)) {
        return Refusal::Busy;
    }
    m_headMemory = headMemory;
    return m_scope->options.memory->fits(length) ? Refusal::None : Refusal::Busy;
}

bool Exchange::readBody(std::string_view bytes)
{
    m_bodyBytes += bytes.size();
    const bool isTooLarge = m_bodyBytes > m_scope->options.maxBodyBytes;
    m_isOverHeld = m_isOverHeld || (!isTooLarge && !appendBody(bytes));
    if (!isTooLarge && !m_isOverHeld) {
        return true;
    }
    dropBody();
    if (m_bodyBytes / DISCARD_FACTOR <= m_scope->options.maxBodyBytes) {
        return true;
    }
    ++m_scope->tally->bodyTooLarge;
    return false;
}

bool Exchange::appendBody(std::string_view bytes)
{
    const base::Millis now = m_clock.now();
    m_hold->progressed(now);
    std::string &body = m_request.body;
    const std::size_t needed = body.size() + bytes.size();
    if (needed > body.capacity()) {
        const std::size_t doubled = std::min(body.capacity() * 2, m_scope->options.maxBodyBytes);
        const std::size_t target = std::max(needed, m_announcedBytes > 0 ? m_announcedBytes : doubled);
        // While a body of unknown length is moved to a larger buffer, both exist.
        const std::size_t before = m_hold->bytes() - m_headMemory;
        if (!m_hold->grow(now, target)) {
            return false;
        }
        body.reserve(target);
        m_hold->shrink(before);
    }
    body += bytes;
    return true;
}

void Exchange::dropBody()
{
    // An assignment of an empty string would keep the buffer.
    std::string().swap(m_request.body);
    m_hold->shrink(m_hold->bytes() - m_headMemory);
}

MHD_Result Exchange::dispatch(Handler &handler)
{
    m_dispatched = true;
    if (m_scope->stopping) {
        return MHD_NO;
    }
    if (m_bodyBytes > m_scope->options.maxBodyBytes) {
        return refuse(Refusal::BodyTooLarge);
    }
    m_hold->complete();
    const std::size_t copies = (m_hold->bytes() - m_headMemory) * (m_scope->options.bodyCopies - 1);
    if (m_isOverHeld || !m_hold->grow(m_clock.now(), copies)) {
        dropBody();
        return refuse(Refusal::Busy);
    }
    ++m_scope->tally->requests;
    handler.handle(std::move(m_request), makeResponder(shared_from_this()));
    return settle();
}

MHD_Result Exchange::refuse(Refusal refusal)
{
    assert(refusal != Refusal::None);
    m_dispatched = true;
    Response response{400, {{"Content-Type", "application/json"}}, {}};
    if (refusal == Refusal::HeaderTooLarge) {
        ++m_scope->tally->headerTooLarge;
        response.status = 431;
        response.body = refusalBody("header_too_large", "the request's head is too large");
    } else if (refusal == Refusal::BodyTooLarge) {
        ++m_scope->tally->bodyTooLarge;
        response.status = 413;
        response.body = refusalBody("body_too_large", "the request's body is too large");
    } else if (refusal == Refusal::Busy) {
        ++m_scope->tally->overHeldBodies;
        m_scope->options.memory->noteRefused(m_clock.now());
        response.status = 503;
        response.headers.push_back({"Retry-After", BUSY_RETRY_SECONDS});
        response.body = refusalBody("server_busy", "too many request bodies are being handled; try again later");
    } else {
        ++m_scope->tally->malformed;
        response.body = refusalBody("malformed_request", "the request is malformed");
    }
    {
        const absl::MutexLock lock(&m_mutex);
        m_closeAfter = true;
    }
    respond(std::move(response));
    return settle();
}

} // namespace bamboomoor::http::internal
