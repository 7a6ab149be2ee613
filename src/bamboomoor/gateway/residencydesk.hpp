/**
 * The thread that decides, while this voter leads, what the workers of the infrastructure hold.
 */
#pragma once

#include "bamboomoor/control/demandtaker.hpp"
#include "bamboomoor/control/voterdesk.hpp"

#include <atomic>

namespace bamboomoor::gateway
{

/** @brief Follows the demand for models and adapters. */
class ResidencyDesk final : public control::VoterWatcher, public control::DemandTaker
{
public:
    void report(const peer::wire::DemandReport &request, peer::Answer<peer::wire::DemandReply> answer) override;

    void onLeading(std::uint64_t term, const state::Machine &machine) override;
    void onNotLeading() override;
    void onConfiguration(const state::Machine &machine) override;

private:
    std::atomic<bool> m_leading{false};
};

} // namespace bamboomoor::gateway
