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
    void refuse(std::uint64_t /*exchange*/, const Refused & /*refused*/) override
    {
    }
    void begin(std::uint64_t /*exchange*/, int /*status*/, http::Headers /*headers*/) override
    {
    }
    bool write(std::uint64_t /*exchange*/, std::string_view /*bytes*/) override
    {
        return true;
    }
    void end(std::uint64_t /*exchange*/) override
    {
    }
    void abort(std::uint64_t /*exchange*/) override
    {
    }
    void send(const Attempt & /*attempt*/, const Request & /*request*/) override
    {
    }
    void cancel(std::uint64_t /*attempt*/) override
    {
    }
    void note(const Decision & /*decision*/) override
    {
    }
    void noteWord(const WordNote & /*note*/) override
    {
    }
};

} // namespace bamboomoor::relay::test
