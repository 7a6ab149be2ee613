/**
 * One thread that runs functions at given times, for all stand-ins of a process.
 */
#pragma once

#include "bamboomoor/base/clock.hpp"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <functional>
#include <map>
#include <thread>

namespace bamboomoor::fakes
{

/** @brief Runs functions later, one after the other. */
class Timer
{
public:
    Timer();
    ~Timer();
    Timer(const Timer &) = delete;
    Timer &operator=(const Timer &) = delete;
    Timer(Timer &&) = delete;
    Timer &operator=(Timer &&) = delete;

    /**
     * @brief Plans a function.
     * @param delay The time until it runs, in milliseconds.
     * @param function Called on the timer's thread; passed over when the timer is stopped first.
     */
    void after(base::Millis delay, std::function<void()> function);

    /** @brief Ends the thread; nothing runs afterwards. */
    void stop();

private:
    void run();

    const base::SteadyClock m_clock;
    absl::Mutex m_mutex;
    std::multimap<base::Millis, std::function<void()>> m_planned ABSL_GUARDED_BY(m_mutex);
    bool m_stopping ABSL_GUARDED_BY(m_mutex) = false;
    absl::CondVar m_changed;
    std::thread m_thread;
};

} // namespace bamboomoor::fakes
