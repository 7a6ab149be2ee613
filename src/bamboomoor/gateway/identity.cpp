/**
 * Implements the persistent identity of a control VM's disk.
 */
#include "bamboomoor/gateway/identity.hpp"

#include "bamboomoor/consensus/types.hpp"
#include "bamboomoor/storage/filesystem.hpp"

#include <array>
#include <cstdint>
#include <cstdio>
#include <random>
#include <string_view>

namespace bamboomoor::gateway
{

namespace
{

constexpr const char *IDENTITY_FILE = "identity";
constexpr const char *DRAFT_FILE = "identity.new";
constexpr std::string_view FOUNDER = "founder";

std::string randomName()
{
    std::random_device device;
    const std::uint64_t number = (static_cast<std::uint64_t>(device()) << 32U) ^ device();
    std::array<char, 17> buf{};
    std::snprintf(buf.data(), buf.size(), "%016llx", static_cast<unsigned long long>(number));
    return buf.data();
}

storage::Result<std::string> makeIdentity(storage::FileSystem &folder, const std::string &identity)
{
    // A draft left behind by a crash is overwritten.
    BOOST_OUTCOME_TRY(old, folder.read(DRAFT_FILE));
    if (old) {
        BOOST_OUTCOME_TRY(folder.remove(DRAFT_FILE));
    }
    BOOST_OUTCOME_TRY(folder.append(DRAFT_FILE, identity));
    BOOST_OUTCOME_TRY(folder.sync(DRAFT_FILE));
    BOOST_OUTCOME_TRY(folder.rename(DRAFT_FILE, IDENTITY_FILE));
    BOOST_OUTCOME_TRY(folder.syncFolder());
    return identity;
}

IdentityError describeError(const storage::StorageError &error)
{
    return {storage::describe(error), error.kind == storage::StorageErrorKind::NoSpace};
}

} // namespace

std::string founderAt(const std::string &address)
{
    return std::string(FOUNDER) + consensus::ADDRESS_MARK + address;
}

base::Result<std::string, IdentityError> readIdentity(const std::string &path, bool founder, const std::string &address)
{
    auto folder = storage::PosixFolder::open(path);
    if (!folder) {
        return base::failure(describeError(folder.error()));
    }
    const auto held = folder.value()->read(IDENTITY_FILE);
    if (!held) {
        return base::failure(describeError(held.error()));
    }
    if (held.value() && !held.value()->empty()) {
        return *held.value();
    }
    const std::string identity = founder ? founderAt(address) : randomName() + consensus::ADDRESS_MARK + address;
    const auto made = makeIdentity(*folder.value(), identity);
    if (!made) {
        return base::failure(describeError(made.error()));
    }
    return made.value();
}

} // namespace bamboomoor::gateway
