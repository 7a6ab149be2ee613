/**
 * Calls to an entry by libcurl, each over a connection of its own.
 */
#include "bamboomoor/operators/curltransport.hpp"

#include <curl/curl.h>

#include <memory>
#include <new>
#include <utility>

namespace bamboomoor::operators
{
namespace
{

// An answer above this is not read further.
constexpr std::size_t MAX_REPLY_BYTES = 268'435'456;
constexpr long MAX_CONNECT_MS = 3'000;

using Handle = std::unique_ptr<CURL, decltype(&curl_easy_cleanup)>;
using HeaderList = std::unique_ptr<curl_slist, decltype(&curl_slist_free_all)>;

std::size_t receive(char *data, std::size_t size, std::size_t count, void *user)
{
    auto &body = *static_cast<std::string *>(user);
    if (body.size() + size * count > MAX_REPLY_BYTES) {
        return 0;
    }
    body.append(data, size * count);
    return size * count;
}

HeaderList makeHeaders(const std::string &token)
{
    const std::string authorization = "Authorization: Bearer " + token;
    HeaderList headers(curl_slist_append(nullptr, authorization.c_str()), &curl_slist_free_all);
    for (const char *line : {"Content-Type: application/json", "Expect:"}) {
        curl_slist *longer = curl_slist_append(headers.get(), line);
        if (longer == nullptr) {
            throw std::bad_alloc();
        }
        static_cast<void>(headers.release());
        headers.reset(longer);
    }
    return headers;
}

// Only failures before the request line could leave are known not to have been sent.
Reach reachOf(CURL *handle, CURLcode code)
{
    if (code == CURLE_COULDNT_CONNECT || code == CURLE_COULDNT_RESOLVE_HOST || code == CURLE_URL_MALFORMAT) {
        return Reach::NotSent;
    }
    double connected = 0;
    curl_easy_getinfo(handle, CURLINFO_CONNECT_TIME, &connected);
    return code == CURLE_OPERATION_TIMEDOUT && connected <= 0 ? Reach::NotSent : Reach::MaybeSent;
}

void setUp(CURL *handle, Method method, const std::string &body, base::Millis timeout)
{
    curl_easy_setopt(handle, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(handle, CURLOPT_PROXY, "");
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(handle, CURLOPT_FORBID_REUSE, 1L);
    curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, static_cast<long>(timeout.count));
    curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS, MAX_CONNECT_MS);
    if (method == Method::Post) {
        curl_easy_setopt(handle, CURLOPT_POST, 1L);
        curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(body.size()));
        curl_easy_setopt(handle, CURLOPT_POSTFIELDS, body.c_str());
    }
}

} // namespace

CurlTransport::CurlTransport(std::string entry, std::string token, base::Millis timeout)
    : m_entry(std::move(entry))
    , m_token(std::move(token))
    , m_timeout(timeout)
{
    static const CURLcode ready = curl_global_init(CURL_GLOBAL_DEFAULT);
    static_cast<void>(ready);
}

base::Result<HttpReply, TransportError> CurlTransport::call(
    Method method, const std::string &path, const std::string &body)
{
    const Handle handle(curl_easy_init(), &curl_easy_cleanup);
    if (handle == nullptr) {
        return base::failure(TransportError{.reach = Reach::NotSent, .message = "libcurl could not be started"});
    }
    const std::string url = "http://" + m_entry + path;
    const HeaderList headers = makeHeaders(m_token);
    HttpReply reply;
    setUp(handle.get(), method, body, m_timeout);
    curl_easy_setopt(handle.get(), CURLOPT_URL, url.c_str());
    curl_easy_setopt(handle.get(), CURLOPT_HTTPHEADER, headers.get());
    curl_easy_setopt(handle.get(), CURLOPT_WRITEFUNCTION, &receive);
    curl_easy_setopt(handle.get(), CURLOPT_WRITEDATA, &reply.body);
    const CURLcode code = curl_easy_perform(handle.get());
    if (code != CURLE_OK) {
        return base::failure(
            TransportError{.reach = reachOf(handle.get(), code), .message = m_entry + ": " + curl_easy_strerror(code)});
    }
    long status = 0;
    curl_easy_getinfo(handle.get(), CURLINFO_RESPONSE_CODE, &status);
    reply.status = static_cast<int>(status);
    return reply;
}

} // namespace bamboomoor::operators
