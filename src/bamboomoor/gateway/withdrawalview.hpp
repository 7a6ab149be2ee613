/**
 * Copies the recorded withdrawals of upstreams from the replicated state to the lists that this VM tells others of, and
 * keeps them for calls of upstreams that repeat themselves.
 */
#pragma once

#include "bamboomoor/base/clock.hpp"
#include "bamboomoor/control/voterthread.hpp"
#include "bamboomoor/entry/upstreambook.hpp"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <cstdint>
#include <string>

namespace bamboomoor::gateway
{

/** @brief Holds a copy of a voter's withdrawals; thread-safe. */
class WithdrawalView final : public control::VoterObserver
{
public:
    /**
     * @brief Creates an observer.
     * @param clock The source of time; must outlive the observer.
     * @param heard Upstreams that announced themselves to this VM; must outlive the observer.
     * @param book All upstreams known to this VM; must outlive the observer.
     */
    WithdrawalView(const base::Clock &clock, entry::UpstreamBook &heard, entry::UpstreamBook &book) noexcept
        : m_clock(clock)
        , m_heard(heard)
        , m_book(book)
    {
    }

    void onLeading(std::uint64_t /*term*/, const state::Machine & /*machine*/) override
    {
    }

    void onNotLeading() override
    {
    }

    void onConfiguration(const state::Machine & /*machine*/) override
    {
    }

    void onWithdrawals(const state::Machine &machine) override
    {
        const absl::MutexLock lock(&m_mutex);
        const std::uint64_t known = m_table.revision();
        m_table = machine.withdrawals();
        const base::Millis now = m_clock.now();
        for (const auto &[upstream, it] : m_table.withdrawals()) {
            if (it.index > known) {
                m_heard.withdraw(now, upstream, it.incarnation);
                m_book.withdraw(now, upstream, it.incarnation);
            }
        }
    }

    /** @copydoc state::WithdrawalTable::contains */
    [[nodiscard]] bool contains(const std::string &upstream, std::uint64_t incarnation) const
    {
        const absl::MutexLock lock(&m_mutex);
        return m_table.contains(upstream, incarnation);
    }

private:
    const base::Clock &m_clock;
    entry::UpstreamBook &m_heard;
    entry::UpstreamBook &m_book;
    mutable absl::Mutex m_mutex;
    state::WithdrawalTable m_table ABSL_GUARDED_BY(m_mutex);
};

} // namespace bamboomoor::gateway
