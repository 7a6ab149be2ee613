/**
 * Presenting replies to people and programs.
 */
#pragma once

#include "bamboomoor/operators/invocation.hpp"
#include "bamboomoor/operators/wire.hpp"

#include <iosfwd>
#include <string>

namespace bamboomoor::operators::internal
{

/** @brief What the command line knows beside the reply; empty members are not shown. */
struct Extra {
    std::string changeId;
    std::string keyId;
    // The key that was made, shown this once.
    std::string key;
};

/** @brief For which command, and for whom. */
struct Manner {
    Verb verb = Verb::Status;
    bool json = false;
};

/**
 * @brief Writes a reply.
 * @param manner The command, and whether one line of JSON is wanted.
 * @param reply The reply.
 * @param extra What else to show.
 * @param out Receives what was asked for; with JSON, everything.
 * @param err Receives why something was refused or is unknown.
 */
void present(Manner manner, const Reply &reply, const Extra &extra, std::ostream &out, std::ostream &err);

} // namespace bamboomoor::operators::internal
