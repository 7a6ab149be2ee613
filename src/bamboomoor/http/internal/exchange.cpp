/**
 * The answering side of an exchange: whole answers, streams, and callers that disconnect.
 */
#include "bamboomoor/http/internal/exchange.hpp"

#include "bamboomoor/http/internal/tally.hpp"

#include <algorithm>
#include <array>
#include <cassert>
#include <cstring>
#include <utility>

namespace bamboomoor::http::internal
{

namespace
{

// A buffer of this many times its bound cuts the stream at once.
constexpr std::size_t HARD_STREAM_FACTOR = 4;
// The largest buffer that a stream without unread bytes keeps.
constexpr std::size_t MAX_IDLE_BUFFER_BYTES = 16'384;

using ExchangePointer = std::shared_ptr<Exchange>;

bool isSetByServer(std::string_view name) noexcept
{
    static constexpr std::array<std::string_view, 4> NAMES{
        "connection", "content-length", "transfer-encoding", "keep-alive"};
    return std::any_of(NAMES.begin(), NAMES.end(), [name](std::string_view it) {
        return equalsIgnoringCase(it, name);
    });
}

class ExchangeResponder final : public Responder
{
public:
    explicit ExchangeResponder(ExchangePointer exchange)
        : m_exchange(std::move(exchange))
    {
    }

    ~ExchangeResponder() override
    {
        m_exchange->abandon();
    }

    ExchangeResponder(const ExchangeResponder &) = delete;
    ExchangeResponder &operator=(const ExchangeResponder &) = delete;
    ExchangeResponder(ExchangeResponder &&) = delete;
    ExchangeResponder &operator=(ExchangeResponder &&) = delete;

    void respond(Response response) override
    {
        m_exchange->respond(std::move(response));
    }

    void begin(int status, Headers headers) override
    {
        m_exchange->begin(status, std::move(headers));
    }

    bool write(std::string_view chunk) override
    {
        return m_exchange->write(chunk);
    }

    void end() override
    {
        m_exchange->end();
    }

    void abort() override
    {
        m_exchange->abort();
    }

    void onGone(std::function<void()> callback) override
    {
        m_exchange->onGone(std::move(callback));
    }

    [[nodiscard]] bool gone() const override
    {
        return m_exchange->gone();
    }

private:
    const ExchangePointer m_exchange;
};

} // namespace

std::shared_ptr<Responder> makeResponder(std::shared_ptr<Exchange> exchange)
{
    return std::make_shared<ExchangeResponder>(std::move(exchange));
}

MHD_Result Exchange::settle()
{
    MHD_Connection *connection = nullptr;
    Response response;
    bool stream = false;
    bool close = false;
    {
        const absl::MutexLock lock(&m_mutex);
        if (m_gone || m_state == State::Cut || m_scope->stopping) {
            return MHD_NO;
        }
        if (m_queued) {
            return MHD_YES;
        }
        if (m_state == State::Open) {
            m_suspended = true;
            MHD_suspend_connection(m_connection);
            return MHD_YES;
        }
        m_queued = true;
        connection = m_connection;
        response = std::move(m_response);
        stream = m_state != State::Whole;
        close = m_closeAfter || m_scope->quiescing;
    }
    // Outside the mutex: the library holds a mutex of the response while it reads the stream.
    MHD_Response *made = stream ? makeStream() : makeWhole(std::move(response.body));
    return queue(connection, made, response, close);
}

MHD_Response *Exchange::makeWhole(std::string text)
{
    auto *body = new std::string(std::move(text));
    const auto release = [](void *cls) {
        delete static_cast<std::string *>(cls);
    };
    return MHD_create_response_from_buffer_with_free_callback_cls(body->size(), body->data(), release, body);
}

MHD_Response *Exchange::makeStream()
{
    constexpr std::size_t BLOCK_BYTES = 16'384;
    auto *self = new ExchangePointer(shared_from_this());
    const auto read = [](void *cls, std::uint64_t, char *buf, std::size_t max) {
        return (*static_cast<ExchangePointer *>(cls))->readStream(buf, max);
    };
    const auto release = [](void *cls) {
        delete static_cast<ExchangePointer *>(cls);
    };
    return MHD_create_response_from_callback(MHD_SIZE_UNKNOWN, BLOCK_BYTES, read, self, release);
}

MHD_Result Exchange::queue(MHD_Connection *connection, MHD_Response *made, const Response &response, bool close)
{
    if (made == nullptr) {
        return MHD_NO;
    }
    for (const Header &it : response.headers) {
        if (!isSetByServer(it.name)) {
            MHD_add_response_header(made, it.name.c_str(), it.value.c_str());
        }
    }
    if (close) {
        MHD_add_response_header(made, "Connection", "close");
    }
    const auto queued = MHD_queue_response(connection, static_cast<unsigned>(response.status), made);
    MHD_destroy_response(made);
    return queued;
}

ssize_t Exchange::readStream(char *buf, std::size_t max)
{
    const absl::MutexLock lock(&m_mutex);
    if (m_gone || m_state == State::Cut || m_scope->stopping) {
        return MHD_CONTENT_READER_END_WITH_ERROR;
    }
    const std::size_t count = std::min(max, m_buffer.size() - m_taken);
    if (count > 0) {
        std::memcpy(buf, m_buffer.data() + m_taken, count);
        m_taken += count;
        if (m_taken == m_buffer.size()) {
            dropBuffer();
        }
        countStream(m_buffer.capacity());
        return static_cast<ssize_t>(count);
    }
    if (m_state == State::Ended) {
        return MHD_CONTENT_READER_END_OF_STREAM;
    }
    m_suspended = true;
    MHD_suspend_connection(m_connection);
    return 0;
}

void Exchange::wake()
{
    if (std::exchange(m_suspended, false)) {
        MHD_resume_connection(m_connection);
    }
}

void Exchange::respond(Response response)
{
    const absl::MutexLock lock(&m_mutex);
    if (m_state == State::Open) {
        m_response = std::move(response);
        m_state = State::Whole;
        wake();
    }
}

void Exchange::begin(int status, Headers headers)
{
    const absl::MutexLock lock(&m_mutex);
    if (m_state == State::Open) {
        m_response = {status, std::move(headers), {}};
        m_state = State::Streaming;
        m_isStream = true;
        ++m_scope->streams;
        wake();
    }
}

bool Exchange::write(std::string_view chunk)
{
    const absl::MutexLock lock(&m_mutex);
    if (m_gone || m_state != State::Streaming) {
        return false;
    }
    if (m_taken > 0 && m_taken * 2 >= m_buffer.size()) {
        m_buffer.erase(0, m_taken);
        m_taken = 0;
    }
    m_buffer += chunk;
    countStream(m_buffer.capacity());
    if (isStalled() || isOverShare(m_buffer.size() - m_taken)) {
        ++m_scope->tally->slowReader;
        m_state = State::Cut;
    }
    wake();
    return m_state == State::Streaming;
}

void Exchange::dropBuffer()
{
    m_taken = 0;
    if (m_buffer.capacity() > MAX_IDLE_BUFFER_BYTES) {
        std::string().swap(m_buffer);
    } else {
        m_buffer.clear();
    }
}

void Exchange::countStream(std::size_t bytes)
{
    m_scope->streamBytes += bytes;
    m_scope->streamBytes -= std::exchange(m_countedStreamBytes, bytes);
}

bool Exchange::isOverShare(std::size_t waiting) const
{
    const std::size_t max = m_scope->options.maxAllStreamBytes;
    const std::size_t streams = std::max<std::size_t>(m_scope->streams, 1);
    return max > 0 && m_scope->streamBytes > max && waiting > max / streams;
}

bool Exchange::isStalled()
{
    const std::size_t waiting = m_buffer.size() - m_taken;
    if (waiting <= m_scope->options.maxStreamBytes) {
        m_fullSince = {};
        return false;
    }
    const base::Millis now = m_clock.now();
    if (m_fullSince == base::Millis{}) {
        m_fullSince = now;
    }
    return now - m_fullSince > m_scope->options.slowReaderTimeout
        || waiting > m_scope->options.maxStreamBytes * HARD_STREAM_FACTOR;
}

void Exchange::end()
{
    const absl::MutexLock lock(&m_mutex);
    if (m_state == State::Streaming) {
        m_state = State::Ended;
        wake();
    }
}

void Exchange::cut()
{
    const absl::MutexLock lock(&m_mutex);
    m_state = State::Cut;
    wake();
}

void Exchange::abort()
{
    const absl::MutexLock lock(&m_mutex);
    if (m_state == State::Open || m_state == State::Streaming) {
        m_state = State::Cut;
        wake();
    }
}

void Exchange::abandon()
{
    const absl::MutexLock lock(&m_mutex);
    if (m_state == State::Open) {
        m_response = {500, {}, {}};
        m_state = State::Whole;
        wake();
    } else if (m_state == State::Streaming) {
        m_state = State::Cut;
        wake();
    }
}

void Exchange::onGone(std::function<void()> callback)
{
    {
        const absl::MutexLock lock(&m_mutex);
        if (!m_gone) {
            // After the library has finished, nothing is left to be told.
            if (m_connection != nullptr) {
                m_onGone.push_back(std::move(callback));
            }
            return;
        }
    }
    callback();
}

bool Exchange::gone() const
{
    const absl::MutexLock lock(&m_mutex);
    return m_gone;
}

void Exchange::noteGone()
{
    std::vector<std::function<void()>> callbacks;
    {
        const absl::MutexLock lock(&m_mutex);
        // A caller may close as soon as it has read a finished answer; finish() tells whether it had all of it.
        if (m_gone || m_connection == nullptr || (m_state != State::Open && m_state != State::Streaming)) {
            return;
        }
        m_gone = true;
        ++m_scope->tally->callersGone;
        callbacks.swap(m_onGone);
        wake();
    }
    runCallbacks(callbacks);
}

void Exchange::finish(bool complete)
{
    // Emptied outside the mutex: a callback may hold the responder.
    std::vector<std::function<void()>> callbacks;
    bool wentAway = false;
    {
        const absl::MutexLock lock(&m_mutex);
        assert(!m_suspended);
        m_connection = nullptr;
        callbacks.swap(m_onGone);
        wentAway = !complete && m_dispatched && !m_gone;
        if (wentAway) {
            m_gone = true;
            m_scope->tally->callersGone += m_state == State::Cut ? 0 : 1;
        }
        std::string().swap(m_buffer);
        m_taken = 0;
    }
    if (wentAway) {
        runCallbacks(callbacks);
    }
}

void Exchange::runCallbacks(const std::vector<std::function<void()>> &callbacks)
{
    for (const auto &it : callbacks) {
        it();
    }
}

} // namespace bamboomoor::http::internal
