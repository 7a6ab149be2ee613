/**
 * The client's thread: commands from other threads, the library's transfers, and their deadlines.
 */
#include "bamboomoor/http/client.hpp"

#include "bamboomoor/http/internal/transfer.hpp"

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>
#include <curl/curl.h>

#include <algorithm>
#include <csignal>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

namespace bamboomoor::http
{

using internal::Transfer;

namespace
{

// The longest wait of the thread, in milliseconds.
constexpr std::int64_t MAX_WAIT = 1'000;
// Idle handles of the library kept for reuse.
constexpr std::size_t MAX_IDLE_HANDLES = 256;

struct PendingCall {
    std::uint64_t id = 0;
    Call call;
    std::shared_ptr<Listener> listener;
    base::Millis queuedAt;
};

void initialiseLibrary()
{
    static std::once_flag once;
    std::call_once(once, [] {
        curl_global_init(CURL_GLOBAL_ALL);
        std::signal(SIGPIPE, SIG_IGN);
    });
}

} // namespace

class Client::Impl
{
public:
    explicit Impl(ClientOptions options);
    ~Impl();
    Impl(const Impl &) = delete;
    Impl &operator=(const Impl &) = delete;
    Impl(Impl &&) = delete;
    Impl &operator=(Impl &&) = delete;

    CallId start(Call call, const std::shared_ptr<Listener> &listener);
    void cancel(CallId id);
    void stop();

private:
    void run();
    [[nodiscard]] bool takeCommands();
    void startTransfer(PendingCall pending);
    void readFinished();
    void cutSilent();
    void watch(const Transfer &transfer, base::Millis now);
    [[nodiscard]] int waitTime() const;
    [[nodiscard]] CURL *takeHandle();
    [[nodiscard]] std::unique_ptr<Transfer> detach(std::uint64_t id);
    void recycle(std::unique_ptr<Transfer> transfer);
    void cancelAll();

    const ClientOptions m_options;
    const base::SteadyClock m_clock;
    CURLM *m_multi;
    // Touched on the client's thread alone.
    absl::flat_hash_map<std::uint64_t, std::unique_ptr<Transfer>> m_transfers;
    absl::flat_hash_map<CURL *, std::uint64_t> m_ids;
    std::vector<CURL *> m_idleHandles;
    // No transfer is overdue before this time, so that the transfers are looked through only then.
    base::Millis m_nextCheck = base::NEVER;

    absl::Mutex m_mutex;
    std::uint64_t m_lastId ABSL_GUARDED_BY(m_mutex) = 0;
    std::vector<PendingCall> m_pending ABSL_GUARDED_BY(m_mutex);
    std::vector<std::uint64_t> m_cancelled ABSL_GUARDED_BY(m_mutex);
    bool m_stopping ABSL_GUARDED_BY(m_mutex) = false;
    std::thread m_thread;
};

Client::Impl::Impl(ClientOptions options)
    : m_options(options)
{
    initialiseLibrary();
    m_multi = curl_multi_init();
    curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS, options.maxIdleConnections);
    curl_multi_setopt(m_multi, CURLMOPT_PIPELINING, static_cast<long>(CURLPIPE_NOTHING));
    m_thread = std::thread([this] {
        run();
    });
}

Client::Impl::~Impl()
{
    stop();
    for (CURL *it : m_idleHandles) {
        curl_easy_cleanup(it);
    }
    curl_multi_cleanup(m_multi);
}

CallId Client::Impl::start(Call call, const std::shared_ptr<Listener> &listener)
{
    CallId id;
    bool stopped = false;
    {
        const absl::MutexLock lock(&m_mutex);
        id.value = ++m_lastId;
        stopped = m_stopping;
        if (!stopped) {
            m_pending.push_back({id.value, std::move(call), listener, m_clock.now()});
        }
    }
    if (stopped) {
        listener->onEnd({EndKind::Cancelled, false, false, 0, "the client has stopped"});
    } else {
        curl_multi_wakeup(m_multi);
    }
    return id;
}

void Client::Impl::cancel(CallId id)
{
    {
        const absl::MutexLock lock(&m_mutex);
        m_cancelled.push_back(id.value);
    }
    curl_multi_wakeup(m_multi);
}

void Client::Impl::stop()
{
    {
        const absl::MutexLock lock(&m_mutex);
        m_stopping = true;
    }
    curl_multi_wakeup(m_multi);
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void Client::Impl::run()
{
    while (takeCommands()) {
        int running = 0;
        curl_multi_perform(m_multi, &running);
        readFinished();
        cutSilent();
        curl_multi_poll(m_multi, nullptr, 0, waitTime(), nullptr);
    }
    cancelAll();
}

bool Client::Impl::takeCommands()
{
    std::vector<PendingCall> pending;
    std::vector<std::uint64_t> cancelled;
    bool stopping = false;
    {
        const absl::MutexLock lock(&m_mutex);
        pending.swap(m_pending);
        cancelled.swap(m_cancelled);
        stopping = m_stopping;
    }
    for (PendingCall &it : pending) {
        const bool unwanted = stopping || std::find(cancelled.begin(), cancelled.end(), it.id) != cancelled.end();
        if (unwanted) {
            it.listener->onEnd({EndKind::Cancelled, false, false, 0, {}});
        } else if (m_clock.now() - it.queuedAt > it.call.startTimeout) {
            it.listener->onEnd({EndKind::Stale, false, false, 0, "not started in time"});
        } else {
            startTransfer(std::move(it));
        }
    }
    for (const std::uint64_t id : cancelled) {
        if (auto transfer = detach(id)) {
            transfer->finish(EndKind::Cancelled);
            recycle(std::move(transfer));
        }
    }
    return !stopping;
}

void Client::Impl::startTransfer(PendingCall pending)
{
    CURL *handle = takeHandle();
    if (handle == nullptr) {
        pending.listener->onEnd({EndKind::Unusable, false, false, 0, "no handle"});
        return;
    }
    curl_easy_setopt(handle, CURLOPT_MAXAGE_CONN, static_cast<long>(m_options.maxIdleAge.count / 1'000));
    auto transfer =
        std::make_unique<Transfer>(handle, std::move(pending.call), std::move(pending.listener), m_clock.now());
    if (curl_multi_add_handle(m_multi, handle) != CURLM_OK) {
        transfer->finish(EndKind::Unusable);
        recycle(std::move(transfer));
        return;
    }
    watch(*transfer, m_clock.now());
    m_ids[handle] = pending.id;
    m_transfers[pending.id] = std::move(transfer);
}

void Client::Impl::readFinished()
{
    int left = 0;
    while (const CURLMsg *message = curl_multi_info_read(m_multi, &left)) {
        if (message->msg != CURLMSG_DONE) {
            continue;
        }
        const CURLcode code = message->data.result;
        const auto it = m_ids.find(message->easy_handle);
        if (it == m_ids.end()) {
            continue;
        }
        if (auto transfer = detach(it->second)) {
            transfer->finish(code);
            recycle(std::move(transfer));
        }
    }
}

void Client::Impl::watch(const Transfer &transfer, base::Millis now)
{
    m_nextCheck = std::min(m_nextCheck, transfer.nextCheck(now));
}

void Client::Impl::cutSilent()
{
    const base::Millis now = m_clock.now();
    if (now < m_nextCheck) {
        return;
    }
    m_nextCheck = base::NEVER;
    std::vector<std::uint64_t> silent;
    for (const auto &[id, transfer] : m_transfers) {
        if (transfer->deadline() <= now) {
            silent.push_back(id);
        } else {
            watch(*transfer, now);
        }
    }
    for (const std::uint64_t id : silent) {
        if (auto transfer = detach(id)) {
            transfer->finish(transfer->isOverTotal(now) ? EndKind::TimedOut : EndKind::Silent);
            recycle(std::move(transfer));
        }
    }
}

int Client::Impl::waitTime() const
{
    const base::Millis left = m_nextCheck - m_clock.now();
    return static_cast<int>(std::clamp<std::int64_t>(left.count, 1, MAX_WAIT));
}

CURL *Client::Impl::takeHandle()
{
    if (m_idleHandles.empty()) {
        return curl_easy_init();
    }
    CURL *handle = m_idleHandles.back();
    m_idleHandles.pop_back();
    return handle;
}

// Removing an unfinished transfer closes its connection, so that nothing of it reaches a later call.
std::unique_ptr<Transfer> Client::Impl::detach(std::uint64_t id)
{
    const auto it = m_transfers.find(id);
    if (it == m_transfers.end()) {
        return nullptr;
    }
    std::unique_ptr<Transfer> transfer = std::move(it->second);
    m_transfers.erase(it);
    m_ids.erase(transfer->handle());
    curl_multi_remove_handle(m_multi, transfer->handle());
    return transfer;
}

void Client::Impl::recycle(std::unique_ptr<Transfer> transfer)
{
    CURL *handle = transfer->handle();
    curl_easy_reset(handle);
    transfer.reset();
    if (m_idleHandles.size() < MAX_IDLE_HANDLES) {
        m_idleHandles.push_back(handle);
    } else {
        curl_easy_cleanup(handle);
    }
}

void Client::Impl::cancelAll()
{
    while (!m_transfers.empty()) {
        auto transfer = detach(m_transfers.begin()->first);
        transfer->finish(EndKind::Cancelled);
        recycle(std::move(transfer));
    }
}

Client::Client(ClientOptions options)
    : m_impl(std::make_unique<Impl>(options))
{
}

Client::~Client() = default;

CallId Client::start(Call call, const std::shared_ptr<Listener> &listener)
{
    return m_impl->start(std::move(call), listener);
}

void Client::cancel(CallId id)
{
    m_impl->cancel(id);
}

void Client::stop()
{
    m_impl->stop();
}

} // namespace bamboomoor::http
