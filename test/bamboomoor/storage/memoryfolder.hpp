/**
 * In-memory folder that tracks synced data, can fail any operation and can simulate a crash.
 */
#pragma once

#include "bamboomoor/storage/filesystem.hpp"

#include <random>

namespace fakes
{

using namespace bamboomoor;

/** @brief In-memory folder; a crash keeps synced bytes, and any prefix of the unsynced ones, possibly damaged. */
class MemoryFolder final : public storage::FileSystem
{
public:
    struct File {
        std::string bytes;
        std::size_t synced = 0;
    };

    // Operations until one fails half-way; negative disables the fault.
    int failAfter = -1;
    // Set by the failed operation; all later ones fail, as after a crash.
    bool dead = false;
    std::map<std::string, std::shared_ptr<File>> names;
    std::map<std::string, std::shared_ptr<File>> syncedNames;

    /** @brief Simulates a power failure: keeps a random state that a disk may contain afterwards. */
    void crash(std::mt19937_64 &random)
    {
        // A rename may reach the disk without a sync of the folder.
        if (random() % 2 == 0) {
            names = syncedNames;
        }
        syncedNames = names;
        for (auto &[name, file] : names) {
            const std::size_t unsynced = file->bytes.size() - file->synced;
            if (unsynced == 0) {
                continue;
            }
            file->bytes.resize(file->synced + random() % (unsynced + 1));
            if (file->bytes.size() > file->synced && random() % 3 == 0) {
                // Sectors may reach the disk in any order.
                const std::size_t at = file->synced + random() % (file->bytes.size() - file->synced);
                file->bytes[at] = static_cast<char>(file->bytes[at] ^ 0x55);
            }
            file->synced = file->bytes.size();
        }
        failAfter = -1;
        dead = false;
    }

    storage::Result<std::optional<std::string>> read(const std::string &name) override
    {
        const auto it = names.find(name);
        return it == names.end() ? std::optional<std::string>() : std::optional<std::string>(it->second->bytes);
    }

    storage::Result<void> append(const std::string &name, std::string_view bytes) override
    {
        const bool fails = countDown();
        auto &file = names[name];
        if (!file) {
            file = std::make_shared<File>();
        }
        if (!dead || fails) {
            file->bytes += fails ? bytes.substr(0, bytes.size() / 2) : bytes;
        }
        return outcome(storage::StorageErrorKind::Io, name);
    }

    storage::Result<void> truncate(const std::string &name, std::uint64_t size) override
    {
        if (!countDown() && !dead) {
            names.at(name)->bytes.resize(size);
            names.at(name)->synced = std::min<std::size_t>(names.at(name)->synced, size);
        }
        return outcome(storage::StorageErrorKind::Io, name);
    }

    storage::Result<void> sync(const std::string &name) override
    {
        if (!countDown() && !dead) {
            names.at(name)->synced = names.at(name)->bytes.size();
        }
        return outcome(storage::StorageErrorKind::Sync, name);
    }

    storage::Result<void> rename(const std::string &from, const std::string &to) override
    {
        if (!countDown() && !dead) {
            names[to] = names.at(from);
            names.erase(from);
        }
        return outcome(storage::StorageErrorKind::Io, from);
    }

    storage::Result<void> remove(const std::string &name) override
    {
        if (!countDown() && !dead) {
            names.erase(name);
        }
        return outcome(storage::StorageErrorKind::Io, name);
    }

    storage::Result<void> syncFolder() override
    {
        if (!countDown() && !dead) {
            syncedNames = names;
        }
        return outcome(storage::StorageErrorKind::Sync, ".");
    }

private:
    bool countDown()
    {
        const bool fails = !dead && failAfter == 0;
        dead = dead || fails;
        failAfter -= failAfter > 0 ? 1 : 0;
        return fails;
    }

    [[nodiscard]] storage::Result<void> outcome(storage::StorageErrorKind kind, const std::string &name) const
    {
        if (dead) {
            return base::failure(storage::StorageError{kind, name, 0, "injected"});
        }
        return base::success();
    }
};

} // namespace fakes
