/**
 * The watch's thread: an epoll set over all connections for hang-ups, and a sweep for overdue ones.
 */
#include "bamboomoor/http/internal/watch.hpp"

#include "bamboomoor/http/internal/exchange.hpp"
#include "bamboomoor/http/internal/tally.hpp"
#include "bamboomoor/http/server.hpp"

#include <glog/logging.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cassert>

namespace bamboomoor::http::internal
{

namespace
{

// The time between two sweeps, in milliseconds.
constexpr int SWEEP_INTERVAL = 200;
// The time in which a new connection is expected to send its first request.
constexpr base::Millis FRESH_TIME{500};
// A planned stop does not wait for a request of which nothing has come for this time.
constexpr base::Millis STALL_TIME{2'000};
// While connections are short, one that waits for its caller for this time may be closed.
constexpr base::Millis WAIT_TIME{1'000};
constexpr int EVICTION_LOG_INTERVAL = 10;

} // namespace

Watch::Watch(WatchLimits limits, std::shared_ptr<Tally> tally)
    : m_limits(limits)
    , m_tally(std::move(tally))
    , m_epoll(epoll_create1(EPOLL_CLOEXEC))
    , m_wakeup(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK))
{
    assert(m_epoll >= 0 && m_wakeup >= 0);
    epoll_event event{};
    event.events = EPOLLIN;
    event.data.u64 = 0;
    epoll_ctl(m_epoll, EPOLL_CTL_ADD, m_wakeup, &event);
    m_thread = std::thread([this] {
        run();
    });
}

Watch::~Watch()
{
    m_stopping = true;
    const std::uint64_t one = 1;
    [[maybe_unused]] const ssize_t written = ::write(m_wakeup, &one, sizeof(one));
    m_thread.join();
    close(m_wakeup);
    close(m_epoll);
}

ConnectionId Watch::add(int socket)
{
    const absl::MutexLock lock(&m_mutex);
    const std::uint64_t id = ++m_lastId;
    Watched &watched = m_connections[id];
    watched.socket = socket;
    watched.since = m_clock.now();
    epoll_event event{};
    event.events = EPOLLRDHUP | EPOLLET;
    event.data.u64 = id;
    epoll_ctl(m_epoll, EPOLL_CTL_ADD, socket, &event);
    ++m_tally->connections;
    ++m_tally->openConnections;
    return {id};
}

void Watch::remove(ConnectionId id)
{
    const absl::MutexLock lock(&m_mutex);
    const auto it = m_connections.find(id.value);
    if (it == m_connections.end()) {
        return;
    }
    epoll_ctl(m_epoll, EPOLL_CTL_DEL, it->second.socket, nullptr);
    m_tally->withoutRequest += it->second.hadRequest ? 0 : 1;
    m_connections.erase(it);
    --m_tally->openConnections;
}

void Watch::beginRequest(ConnectionId id, const std::shared_ptr<Exchange> &exchange)
{
    const absl::MutexLock lock(&m_mutex);
    const auto it = m_connections.find(id.value);
    if (it != m_connections.end()) {
        it->second.phase = Phase::Head;
        it->second.since = m_clock.now();
        it->second.progressedAt = it->second.since;
        it->second.bodyBytes = 0;
        it->second.exchange = exchange;
    }
}

void Watch::move(ConnectionId id, Phase phase, std::size_t bodyBytes)
{
    std::shared_ptr<Exchange> abandoned;
    {
        const absl::MutexLock lock(&m_mutex);
        const auto it = m_connections.find(id.value);
        if (it == m_connections.end()) {
            return;
        }
        Watched &watched = it->second;
        const base::Millis now = m_clock.now();
        watched.since = watched.phase == phase ? watched.since : now;
        watched.progressedAt = now;
        watched.phase = phase;
        watched.bodyBytes = bodyBytes;
        watched.hadRequest = true;
        if (phase == Phase::Handling && watched.peerClosed) {
            abandoned = watched.exchange.lock();
        }
    }
    if (abandoned != nullptr) {
        abandoned->noteGone();
    }
}

bool Watch::isQuiet() const
{
    const base::Millis now = m_clock.now();
    const absl::MutexLock lock(&m_mutex);
    return std::none_of(m_connections.begin(), m_connections.end(), [now](const auto &it) {
        return mayHoldRequest(it.second, now);
    });
}

bool Watch::isShutDown(ConnectionId id) const
{
    const absl::MutexLock lock(&m_mutex);
    const auto it = m_connections.find(id.value);
    return it == m_connections.end() || it->second.shutDown;
}

bool Watch::mayHoldRequest(const Watched &watched, base::Millis now) noexcept
{
    if (watched.phase != Phase::Idle) {
        return true;
    }
    if (watched.peerClosed || watched.shutDown) {
        return false;
    }
    int unread = 0;
    ioctl(watched.socket, FIONREAD, &unread);
    return unread > 0 || (!watched.hadRequest && now - watched.since < FRESH_TIME);
}

void Watch::cutAll()
{
    std::vector<std::shared_ptr<Exchange>> open;
    {
        const absl::MutexLock lock(&m_mutex);
        for (const auto &[id, watched] : m_connections) {
            if (auto exchange = watched.exchange.lock()) {
                open.push_back(std::move(exchange));
            }
        }
    }
    for (const auto &it : open) {
        it->cut();
    }
}

void Watch::run()
{
    std::array<epoll_event, 256> events{};
    base::Millis lastSweep = m_clock.now();
    while (!m_stopping) {
        const int count = epoll_wait(m_epoll, events.data(), static_cast<int>(events.size()), SWEEP_INTERVAL);
        for (int n = 0; n < count; ++n) {
            const std::uint64_t id = events[static_cast<std::size_t>(n)].data.u64;
            if (id != 0) {
                noteClosed(id);
            }
        }
        if (m_clock.now() - lastSweep >= base::Millis{SWEEP_INTERVAL}) {
            sweep();
            lastSweep = m_clock.now();
        }
    }
}

void Watch::noteClosed(std::uint64_t id)
{
    std::shared_ptr<Exchange> abandoned;
    {
        const absl::MutexLock lock(&m_mutex);
        const auto it = m_connections.find(id);
        if (it == m_connections.end()) {
            return;
        }
        it->second.peerClosed = true;
        if (it->second.phase == Phase::Handling) {
            abandoned = it->second.exchange.lock();
        }
    }
    if (abandoned != nullptr) {
        abandoned->noteGone();
    }
}

void Watch::sweep()
{
    const base::Millis now = m_clock.now();
    const absl::MutexLock lock(&m_mutex);
    for (auto &[id, watched] : m_connections) {
        if (watched.shutDown) {
            continue;
        }
        const bool overdue = isOverdue(watched, now);
        if (overdue || isAbandoned(watched, now)
            || (m_closingIdle && (!mayHoldRequest(watched, now) || isStalled(watched, now)))) {
            m_tally->slowSender += overdue ? 1 : 0;
            shutDown(watched);
        }
    }
    evictHeads(now);
    evictWaiting(now);
}

void Watch::shutDown(Watched &watched)
{
    watched.shutDown = true;
    // The library sees the end of the connection and closes it by itself.
    shutdown(watched.socket, SHUT_RDWR);
}

void Watch::shutDown(ConnectionId id)
{
    const absl::MutexLock lock(&m_mutex);
    const auto it = m_connections.find(id.value);
    if (it != m_connections.end() && !it->second.shutDown) {
        shutDown(it->second);
    }
}

void Watch::evictHeads(base::Millis now)
{
    if (m_limits.maxUnfinishedHeads == 0) {
        return;
    }
    std::vector<Watched *> unfinished;
    for (auto &[id, watched] : m_connections) {
        if (hasUnfinishedHead(watched, now)) {
            unfinished.push_back(&watched);
        }
    }
    if (unfinished.size() <= m_limits.maxUnfinishedHeads) {
        return;
    }
    std::sort(unfinished.begin(), unfinished.end(), [](const Watched *lhs, const Watched *rhs) {
        return lhs->since < rhs->since;
    });
    unfinished.resize(unfinished.size() - m_limits.maxUnfinishedHeads);
    for (Watched *it : unfinished) {
        ++m_tally->evictedHeads;
        shutDown(*it);
    }
}

void Watch::evictWaiting(base::Millis now)
{
    evictWaiting(now, false, m_limits.maxConnections - m_limits.maxConnections / 4);
    evictWaiting(now, true, m_limits.maxConnections - m_limits.maxConnections / 16);
}

void Watch::evictWaiting(base::Millis now, bool isIdle, std::size_t limit)
{
    std::size_t open = 0;
    std::vector<Watched *> waiting;
    for (auto &[id, watched] : m_connections) {
        const bool isReading = watched.phase == Phase::Head || watched.phase == Phase::Body;
        const base::Millis lastEvent = isIdle ? watched.since : watched.progressedAt;
        open += watched.shutDown ? 0 : 1;
        if (!watched.shutDown && now - lastEvent >= WAIT_TIME && (isIdle ? watched.phase == Phase::Idle : isReading)) {
            waiting.push_back(&watched);
        }
    }
    if (open <= limit) {
        return;
    }
    std::sort(waiting.begin(), waiting.end(), [isIdle](const Watched *lhs, const Watched *rhs) {
        return isIdle ? lhs->since < rhs->since : lhs->progressedAt < rhs->progressedAt;
    });
    waiting.resize(std::min(waiting.size(), open - limit));
    for (Watched *it : waiting) {
        ++m_tally->evictedConnections;
        shutDown(*it);
    }
    LOG_EVERY_T(WARNING, EVICTION_LOG_INTERVAL)
        << "event=connections_short open=" << open << " max=" << m_limits.maxConnections << " closed=" << waiting.size()
        << " idle=" << (isIdle ? 1 : 0);
}

bool Watch::hasUnfinishedHead(const Watched &watched, base::Millis now) noexcept
{
    const bool sendsFirst = watched.phase == Phase::Idle && !watched.hadRequest && now - watched.since >= FRESH_TIME;
    return !watched.shutDown && (watched.phase == Phase::Head || sendsFirst);
}

bool Watch::isStalled(const Watched &watched, base::Millis now) noexcept
{
    return (watched.phase == Phase::Head && now - watched.since >= STALL_TIME)
        || (watched.phase == Phase::Body && now - watched.progressedAt >= STALL_TIME);
}

bool Watch::isAbandoned(const Watched &watched, base::Millis now) noexcept
{
    if (!watched.peerClosed || watched.phase == Phase::Handling
        || now - std::max(watched.since, watched.progressedAt) < FRESH_TIME) {
        return false;
    }
    // The library may not have read the end of a request yet.
    int unread = 0;
    ioctl(watched.socket, FIONREAD, &unread);
    return unread == 0;
}

bool Watch::isOverdue(const Watched &watched, base::Millis now) const noexcept
{
    const base::Millis spent = now - watched.since;
    switch (watched.phase) {
    case Phase::Idle:
        // The library closes a quiet connection after the idle time; this one trickles its first line.
        return spent > m_limits.idle + m_limits.slowSender;
    case Phase::Head:
        return spent > m_limits.slowSender;
    case Phase::Body:
        return spent > m_limits.slowSender + base::Millis{static_cast<std::int64_t>(watched.bodyBytes) / MIN_BODY_RATE};
    case Phase::Handling:
        return false;
    }
    return false;
}

} // namespace bamboomoor::http::internal
