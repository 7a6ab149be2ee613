/**
 * Provides the persistent identity of a control VM's disk, which is its member ID in the control group.
 */
#pragma once

#include "bamboomoor/base/outcome.hpp"

#include <string>

namespace bamboomoor::gateway
{

/** @brief The reason why a data folder has no usable identity. */
struct IdentityError {
    // One-line description.
    std::string message;
    // Whether a later attempt may succeed, as with a full disk.
    bool isTransient = false;
};

/**
 * @brief Reads the identity of a data folder, or creates and syncs one if the folder has none.
 * @param folder The data folder; created if missing.
 * @param founder True for a founding member of the group, whose identity is derived from its address. Otherwise the
 * identity is random, so that a lost disk and the empty one that replaces it are never confused.
 * @param address "IP:PORT" at which peers reach this daemon.
 * @return The identity, which ends with the address, or the reason why the folder cannot be used.
 */
[[nodiscard]] base::Result<std::string, IdentityError> readIdentity(
    const std::string &folder, bool founder, const std::string &address);

/**
 * @brief Returns the identity of the founding member at an address.
 * @param address "IP:PORT" at which peers reach it.
 * @return Its identity.
 */
[[nodiscard]] std::string founderAt(const std::string &address);

} // namespace bamboomoor::gateway
