/**
 * The timer's thread.
 */
#include "fakes/timer.hpp"

#include <absl/time/time.h>

#include <utility>

namespace bamboomoor::fakes
{

Timer::Timer()
    : m_thread([this] {
        run();
    })
{
}

Timer::~Timer()
{
    stop();
}

void Timer::after(base::Millis delay, std::function<void()> function)
{
    const absl::MutexLock lock(&m_mutex);
    m_planned.emplace(m_clock.now() + delay, std::move(function));
    m_changed.Signal();
}

void Timer::stop()
{
    {
        const absl::MutexLock lock(&m_mutex);
        m_stopping = true;
        m_changed.Signal();
    }
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void Timer::run()
{
    m_mutex.Lock();
    while (!m_stopping) {
        const base::Millis now = m_clock.now();
        if (m_planned.empty()) {
            m_changed.Wait(&m_mutex);
        } else if (m_planned.begin()->first > now) {
            m_changed.WaitWithTimeout(&m_mutex, absl::Milliseconds((m_planned.begin()->first - now).count));
        } else {
            const std::function<void()> function = std::move(m_planned.begin()->second);
            m_planned.erase(m_planned.begin());
            m_mutex.Unlock();
            function();
            m_mutex.Lock();
        }
    }
    m_mutex.Unlock();
}

} // namespace bamboomoor::fakes
