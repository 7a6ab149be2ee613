/**
 * The identity of a control VM's disk, by which the control group knows it.
 */
#pragma once

#include "bamboomoor/base/outcome.hpp"

#include <string>

namespace bamboomoor::gateway
{

/** @brief Why a data folder has no identity. */
struct IdentityError {
    // One line.
    std::string message;
};

/**
 * @brief Reads the identity of a data folder; a folder without one gets it, on synced disk.
 * @param folder The data folder, made if it is missing.
 * @param founder True for a founder of the group, whose identity follows from its address; else it is random, so that
 * a disk that was lost and the empty one in its place are never taken for each other.
 * @param address "IP:PORT" where peers reach this daemon.
 * @return The identity, which ends with the address; or why the folder cannot be used.
 */
[[nodiscard]] base::Result<std::string, IdentityError> readIdentity(
    const std::string &folder, bool founder, const std::string &address);

/**
 * @brief Names the founder at an address.
 * @param address "IP:PORT" where peers reach it.
 * @return Its identity.
 */
[[nodiscard]] std::string founderAt(const std::string &address);

} // namespace bamboomoor::gateway
