/**
 * A base class for the Effects of simulations, which override only the effects that they observe.
 */
#pragma once

#include "bamboomoor/relay/core.hpp"

#include <cstdint>
#include <string_view>

namespace bamboomoor::relay::test
{

/** @brief Ignores all effects. */
class IgnoredEffects : public Effects
{
public:
    void respond(std::uint64_t /*exchange*/, http::Response /*response*/) override
    {
    }
    void sendLocalReply(std::uint64_t /*exchange*/, const LocalReply & /*refused*/) override
    {
    }
    void beginStream(std::uint64_t /*exchange*/, int /*status*/, http::Headers /*headers*/) override
    {
    }
    bool write(std::uint64_t /*exchange*/, std::string_view /*bytes*/) override
    {
        return true;
    }
    void endStream(std::uint64_t /*exchange*/) override
    {
    }
    void abortStream(std::uint64_t /*exchange*/) override
    {
    }
    void send(const Attempt & /*attempt*/, const Request & /*request*/) override
    {
    }
    void cancel(std::uint64_t /*attempt*/) override
    {
    }
    void resolveOrigin(std::uint64_t /*exchange*/, const OriginQuery & /*query*/) override
    {
    }
    void logDecision(const Decision & /*decision*/) override
    {
    }
    void logSignal(const SignalNote & /*note*/) override
    {
    }
    void logQuarantine(const quarantine::Finding & /*finding*/, bool /*byLeader*/) override
    {
    }
    void logReach(const ReachChange & /*change*/) override
    {
    }
};

} // namespace bamboomoor::relay::test
