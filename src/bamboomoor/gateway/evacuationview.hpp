/**
 * The evacuations as a control VM knows them, for calls of operators that change them.
 */
#pragma once

#include "bamboomoor/control/voterthread.hpp"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <cstdint>
#include <string>

namespace bamboomoor::gateway
{

/** @brief Holds a copy of a voter's evacuations; thread-safe. */
class EvacuationView final : public control::VoterObserver
{
public:
    void onLeading(std::uint64_t /*term*/, const state::Machine & /*machine*/) override
    {
    }

    void onNotLeading() override
    {
    }

    void onConfiguration(const state::Machine & /*machine*/) override
    {
    }

    void onEvacuations(const state::Machine &machine) override
    {
        const absl::MutexLock lock(&m_mutex);
        m_table = machine.evacuations();
    }

    /** @brief Returns the log index of a data centre's last change. @param dataCentre Its name. @return 0 if there is
     * none. */
    [[nodiscard]] std::uint64_t changedAt(const std::string &dataCentre) const
    {
        const absl::MutexLock lock(&m_mutex);
        return m_table.changedAt(dataCentre);
    }

private:
    mutable absl::Mutex m_mutex;
    state::EvacuationTable m_table ABSL_GUARDED_BY(m_mutex);
};

} // namespace bamboomoor::gateway
