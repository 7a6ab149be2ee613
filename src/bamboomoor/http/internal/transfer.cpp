/**
 * Settings of the library for one call, and the reading of its answer.
 */
#include "bamboomoor/http/internal/transfer.hpp"

#include "bamboomoor/http/internal/keepalive.hpp"

#include <glog/logging.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cassert>
#include <charconv>
#include <utility>

namespace bamboomoor::http::internal
{

namespace
{

// The most bytes of an answer's head.
constexpr std::size_t MAX_HEAD_BYTES = 65'536;

/** @brief Reads the status of the first line of an answer: three digits from 100 to 599. @return The status, or 0. */
int readStatus(std::string_view line) noexcept
{
    constexpr std::size_t DIGITS = 3;
    const std::size_t space = std::min(line.find(' '), line.size());
    const std::string_view rest = line.substr(std::min(space + 1, line.size()));
    const std::string_view code = rest.substr(0, rest.find(' '));
    int status = 0;
    const auto [end, ec] = std::from_chars(code.data(), code.data() + code.size(), status);
    const bool isNumber = ec == std::errc() && end == code.data() + code.size() && code.size() == DIGITS;
    return isNumber && status >= 100 && status <= 599 ? status : 0;
}

} // namespace

Transfer::Transfer(CURL *handle, Call call, std::shared_ptr<Listener> listener, base::Millis now)
    : m_handle(handle)
    , m_call(std::move(call))
    , m_listener(std::move(listener))
    , m_started(now)
    , m_lastProgress(now)
{
    assert(m_handle != nullptr && m_listener != nullptr);
    setRequest();
    setHeaders();
    setLimits();
}

Transfer::~Transfer()
{
    curl_slist_free_all(m_lines);
}

void Transfer::setRequest()
{
    curl_easy_setopt(m_handle, CURLOPT_URL, m_call.url.c_str());
    curl_easy_setopt(m_handle, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(m_handle, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
    curl_easy_setopt(m_handle, CURLOPT_PATH_AS_IS, 1L);
    curl_easy_setopt(m_handle, CURLOPT_PROXY, "");
    curl_easy_setopt(m_handle, CURLOPT_NOPROXY, "*");
    curl_easy_setopt(m_handle, CURLOPT_FOLLOWLOCATION, 0L);
    const bool bodiless =
        m_call.body.empty() && m_call.method != "POST" && m_call.method != "PUT" && m_call.method != "PATCH";
    if (m_call.method == "HEAD") {
        curl_easy_setopt(m_handle, CURLOPT_NOBODY, 1L);
    } else if (bodiless) {
        curl_easy_setopt(m_handle, CURLOPT_HTTPGET, 1L);
    } else {
        curl_easy_setopt(m_handle, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(m_call.body.size()));
        curl_easy_setopt(m_handle, CURLOPT_POSTFIELDS, m_call.body.data());
    }
    curl_easy_setopt(m_handle, CURLOPT_CUSTOMREQUEST, m_call.method.c_str());
}

void Transfer::setHeaders()
{
    const auto add = [this](const std::string &line) {
        m_lines = curl_slist_append(m_lines, line.c_str());
    };
    for (const Header &it : m_call.headers) {
        add(it.value.empty() ? it.name + ";" : it.name + ": " + it.value);
    }
    // Lines that the library would add by itself.
    for (const char *name : {"Expect", "Accept", "Content-Type"}) {
        if (findHeader(m_call.headers, name) == nullptr) {
            add(std::string(name) + ":");
        }
    }
    curl_easy_setopt(m_handle, CURLOPT_HTTPHEADER, m_lines);
}

void Transfer::setLimits()
{
    curl_easy_setopt(m_handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(m_handle, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(m_call.connectTimeout.count));
    curl_easy_setopt(m_handle, CURLOPT_TIMEOUT_MS, static_cast<long>(m_call.totalTimeout.count));
    // The library repeats a request by itself when a pooled connection dies; the two callbacks below stop that.
    curl_easy_setopt(m_handle, CURLOPT_PREREQFUNCTION, &Transfer::onRequest);
    curl_easy_setopt(m_handle, CURLOPT_PREREQDATA, this);
    curl_easy_setopt(m_handle, CURLOPT_OPENSOCKETFUNCTION, &Transfer::onOpenSocket);
    curl_easy_setopt(m_handle, CURLOPT_OPENSOCKETDATA, this);
    curl_easy_setopt(m_handle, CURLOPT_FRESH_CONNECT, m_call.freshConnection ? 1L : 0L);
    curl_easy_setopt(m_handle, CURLOPT_HEADERFUNCTION, &Transfer::onHeaderLine);
    curl_easy_setopt(m_handle, CURLOPT_HEADERDATA, this);
    curl_easy_setopt(m_handle, CURLOPT_WRITEFUNCTION, &Transfer::onBody);
    curl_easy_setopt(m_handle, CURLOPT_WRITEDATA, this);
    curl_easy_setopt(m_handle, CURLOPT_PRIVATE, this);
}

base::Millis Transfer::deadline() const noexcept
{
    const base::Millis next =
        m_answered ? m_lastProgress + m_call.progressTimeout : m_started + m_call.firstByteTimeout;
    return std::min(next, m_started + m_call.totalTimeout);
}

// A first byte may bring the deadline forward, but not to before the progress timeout from now.
base::Millis Transfer::nextCheck(base::Millis now) const noexcept
{
    return m_answered ? deadline() : std::min(deadline(), now + m_call.progressTimeout);
}

int Transfer::onRequest(
    void *self, char * /*remoteIp*/, char * /*localIp*/, int /*remotePort*/, int /*localPort*/) noexcept
{
    auto &transfer = *static_cast<Transfer *>(self);
    if (transfer.m_requested) {
        return CURL_PREREQFUNC_ABORT;
    }
    transfer.m_requested = true;
    return CURL_PREREQFUNC_OK;
}

curl_socket_t Transfer::onOpenSocket(void *self, curlsocktype /*purpose*/, curl_sockaddr *address) noexcept
{
    if (static_cast<const Transfer *>(self)->m_requested) {
        return CURL_SOCKET_BAD;
    }
    const int opened = socket(address->family, address->socktype | SOCK_CLOEXEC, address->protocol);
    if (opened >= 0 && !setKeepAlive(opened, UPSTREAM_KEEP_ALIVE)) {
        LOG_FIRST_N(WARNING, 1) << "event=keep_alive_refused end=upstream";
    }
    return opened;
}

std::size_t Transfer::onHeaderLine(char *bytes, std::size_t size, std::size_t count, void *self)
{
    auto &transfer = *static_cast<Transfer *>(self);
    transfer.touch(transfer.m_clock.now());
    transfer.readHeaderLine({bytes, size * count});
    return transfer.m_malformed || transfer.m_tooLarge || transfer.m_rejected ? 0 : size * count;
}

void Transfer::readHeaderLine(std::string_view line)
{
    m_answered = true;
    m_headBytes += line.size();
    if (m_headBytes > MAX_HEAD_BYTES) {
        m_tooLarge = true;
        return;
    }
    // Trailers after the body concern nobody.
    if (m_headDone) {
        return;
    }
    // Only a line without any white space ends the head; one that begins with it continues the line before.
    const bool isEnd = line.starts_with('\r') || line.starts_with('\n');
    const bool continues = line.starts_with(' ') || line.starts_with('\t');
    line = trimmed(line);
    if (continues) {
        continueHeader(line);
    } else if (line.starts_with("HTTP/")) {
        m_headers.clear();
        m_status = readStatus(line);
        m_malformed = m_status == 0;
    } else if (isEnd) {
        finishHead();
    } else if (const std::size_t colon = line.find(':'); colon != std::string_view::npos) {
        m_headers.push_back({std::string(line.substr(0, colon)), std::string(trimmed(line.substr(colon + 1)))});
    }
}

void Transfer::continueHeader(std::string_view text)
{
    if (m_headers.empty()) {
        m_malformed = true;
    } else if (!text.empty()) {
        m_headers.back().value += ' ';
        m_headers.back().value += text;
    }
}

void Transfer::finishHead()
{
    if (m_status < 200) {
        // An interim answer; the real one follows. A switch of protocols was never asked for.
        m_malformed = m_malformed || m_status == 101;
        return;
    }
    m_headDone = true;
    m_delimited = hasNoBody() || findHeader(m_headers, "Content-Length") != nullptr
        || findHeader(m_headers, "Transfer-Encoding") != nullptr;
    m_rejected = !m_listener->onHead(m_status, std::move(m_headers));
}

bool Transfer::hasNoBody() const noexcept
{
    return m_status == 204 || m_status == 304 || m_call.method == "HEAD";
}

std::size_t Transfer::onBody(char *bytes, std::size_t size, std::size_t count, void *self)
{
    auto &transfer = *static_cast<Transfer *>(self);
    const std::string_view chunk(bytes, size * count);
    transfer.touch(transfer.m_clock.now());
    if (transfer.m_bodyBytes + chunk.size() > transfer.m_call.maxAnswerBytes) {
        transfer.m_tooLarge = true;
        return 0;
    }
    transfer.m_bodyBytes += chunk.size();
    transfer.m_tooLarge = !transfer.m_listener->onData(chunk);
    return transfer.m_tooLarge ? 0 : chunk.size();
}

bool Transfer::anyByteSent() const
{
    long requestBytes = 0;
    curl_off_t uploaded = 0;
    curl_easy_getinfo(m_handle, CURLINFO_REQUEST_SIZE, &requestBytes);
    curl_easy_getinfo(m_handle, CURLINFO_SIZE_UPLOAD_T, &uploaded);
    return requestBytes > 0 || uploaded > 0 || m_answered;
}

EndKind Transfer::judge(CURLcode code) const
{
    if (m_rejected) {
        return EndKind::Cancelled;
    }
    if (m_tooLarge) {
        return EndKind::TooLarge;
    }
    if (m_malformed) {
        return EndKind::Malformed;
    }
    curl_off_t connectTime = 0;
    curl_easy_getinfo(m_handle, CURLINFO_CONNECT_TIME_T, &connectTime);
    switch (code) {
    case CURLE_OK:
        return m_headDone ? EndKind::Complete : EndKind::Malformed;
    case CURLE_URL_MALFORMAT:
    case CURLE_UNSUPPORTED_PROTOCOL:
    case CURLE_BAD_FUNCTION_ARGUMENT:
    case CURLE_OUT_OF_MEMORY:
        // The same code stands for an answer that is not HTTP.
        return anyByteSent() ? EndKind::Malformed : EndKind::Unusable;
    case CURLE_COULDNT_RESOLVE_HOST:
    case CURLE_COULDNT_CONNECT:
        // After the request was to be sent, the library wanted a second connection, which it does not get.
        return m_requested ? EndKind::ResetBeforeAnswer : EndKind::ConnectFailed;
    case CURLE_OPERATION_TIMEDOUT:
        return connectTime == 0 && !anyByteSent() ? EndKind::ConnectTimeout : EndKind::TimedOut;
    case CURLE_PARTIAL_FILE:
        return EndKind::Truncated;
    case CURLE_GOT_NOTHING:
    case CURLE_ABORTED_BY_CALLBACK:
        return EndKind::ResetBeforeAnswer;
    case CURLE_SEND_ERROR:
    case CURLE_RECV_ERROR:
        return m_answered ? EndKind::ResetDuring : EndKind::ResetBeforeAnswer;
    default:
        return EndKind::Malformed;
    }
}

void Transfer::finish(CURLcode code)
{
    Ending ending{judge(code), anyByteSent(), m_delimited, m_bodyBytes, {}};
    if (code != CURLE_OK) {
        ending.detail = curl_easy_strerror(code);
    }
    m_listener->onEnd(std::move(ending));
}

void Transfer::finish(EndKind kind)
{
    m_listener->onEnd({kind, anyByteSent(), m_delimited, m_bodyBytes, {}});
}

} // namespace bamboomoor::http::internal
