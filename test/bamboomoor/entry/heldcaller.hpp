/**
 * A caller for the tests of the entries' threads: it counts the ends of its request, and may hold the thread that
 * answers it, so that a test can fill that thread's ring.
 */
#pragma once

#include "bamboomoor/http/server.hpp"

#include <absl/synchronization/mutex.h>
#include <absl/synchronization/notification.h>
#include <absl/time/time.h>

#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace bamboomoor::entry::test
{

/** @brief Collects the answer to one request. */
class HeldCaller final : public http::Responder
{
public:
    /** @brief Makes a caller. @param holds True when whoever answers it waits for letGo(). */
    explicit HeldCaller(bool holds = false)
        : m_holds(holds)
    {
    }

    void respond(http::Response response) override
    {
        {
            const absl::MutexLock lock(&m_mutex);
            m_response = std::move(response);
            ++m_ends;
        }
        if (m_holds) {
            m_held.Notify();
            m_letGo.WaitForNotification();
        }
    }

    void begin(int status, http::Headers /*headers*/) override
    {
        const absl::MutexLock lock(&m_mutex);
        m_response.status = status;
    }

    bool write(std::string_view chunk) override
    {
        const absl::MutexLock lock(&m_mutex);
        m_response.body += chunk;
        return !m_gone;
    }

    void end() override
    {
        const absl::MutexLock lock(&m_mutex);
        ++m_ends;
    }

    void abort() override
    {
        const absl::MutexLock lock(&m_mutex);
        m_aborted = true;
        ++m_ends;
    }

    void onGone(std::function<void()> callback) override
    {
        const absl::MutexLock lock(&m_mutex);
        m_onGone = std::move(callback);
    }

    [[nodiscard]] bool gone() const override
    {
        const absl::MutexLock lock(&m_mutex);
        return m_gone;
    }

    /** @brief Disconnects. */
    void leave()
    {
        std::function<void()> tell;
        {
            const absl::MutexLock lock(&m_mutex);
            m_gone = true;
            tell = std::move(m_onGone);
        }
        if (tell) {
            tell();
        }
    }

    /** @brief Waits until the answering thread is held. */
    void awaitHeld()
    {
        m_held.WaitForNotification();
    }

    /** @brief Lets the answering thread go on. */
    void letGo()
    {
        m_letGo.Notify();
    }

    /** @brief Waits for the end. @param limit The longest wait. @return False when there is none by then. */
    [[nodiscard]] bool await(absl::Duration limit = absl::Seconds(10)) const
    {
        const absl::MutexLock lock(&m_mutex);
        const auto ended = [this] {
            m_mutex.AssertReaderHeld();
            return m_ends > 0;
        };
        return m_mutex.AwaitWithTimeout(absl::Condition(&ended), limit);
    }

    /** @brief Waits for the first byte of a stream. @return False when none came. */
    [[nodiscard]] bool awaitStream() const
    {
        const absl::MutexLock lock(&m_mutex);
        const auto begun = [this] {
            m_mutex.AssertReaderHeld();
            return !m_response.body.empty();
        };
        return m_mutex.AwaitWithTimeout(absl::Condition(&begun), absl::Seconds(10));
    }

    /** @brief Reads the status. @return 0 before an answer. */
    [[nodiscard]] int status() const
    {
        const absl::MutexLock lock(&m_mutex);
        return m_ends == 0 || m_aborted ? 0 : m_response.status;
    }

    /** @brief Reads the body. @return All that came. */
    [[nodiscard]] std::string body() const
    {
        const absl::MutexLock lock(&m_mutex);
        return m_response.body;
    }

    /** @brief Counts the ends. @return One when all is well. */
    [[nodiscard]] int ends() const
    {
        const absl::MutexLock lock(&m_mutex);
        return m_ends;
    }

private:
    const bool m_holds;
    absl::Notification m_held;
    absl::Notification m_letGo;
    mutable absl::Mutex m_mutex;
    http::Response m_response ABSL_GUARDED_BY(m_mutex){0, {}, {}};
    int m_ends ABSL_GUARDED_BY(m_mutex) = 0;
    bool m_aborted ABSL_GUARDED_BY(m_mutex) = false;
    bool m_gone ABSL_GUARDED_BY(m_mutex) = false;
    std::function<void()> m_onGone ABSL_GUARDED_BY(m_mutex);
};

} // namespace bamboomoor::entry::test
