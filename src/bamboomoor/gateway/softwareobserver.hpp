/**
 * Copies the recorded software versions from the replicated state to the upstreams that this VM tells entries of.
 */
#pragma once

#include "bamboomoor/control/voterthread.hpp"
#include "bamboomoor/entry/upstreambook.hpp"

namespace bamboomoor::gateway
{

/** @brief Keeps an UpstreamBook's software versions equal to those of a voter. */
class SoftwareObserver final : public control::VoterObserver
{
public:
    /** @brief Creates an observer. @param upstreams The book; must outlive the observer. */
    explicit SoftwareObserver(entry::UpstreamBook &upstreams) noexcept
        : m_upstreams(upstreams)
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

    void onSoftware(const state::Machine &machine) override
    {
        m_upstreams.setSoftware(machine.software().versions());
    }

private:
    entry::UpstreamBook &m_upstreams;
};

} // namespace bamboomoor::gateway
