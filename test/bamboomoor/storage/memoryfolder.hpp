/**
 * In-memory folder that tracks synced data, can fail any operation and can simulate a crash.
 */
#pragma once

#include "bamboomoor/storage/filesystem.hpp"

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <utility>

namespace fakes
{

using namespace bamboomoor;

/**
 * @brief In-memory folder; a crash keeps synced bytes, and any prefix of the unsynced ones, possibly damaged. Bytes
 * that a sync failed to write are lost in a crash, even if a later sync of the same file succeeds.
 */
class MemoryFolder final : public storage::FileSystem
{
public:
    struct File {
        std::string bytes;
        std::size_t synced = 0;
        // Bytes that a failed sync did not write, though the folder still returns them.
        std::size_t lostFrom = 0;
        std::size_t lostTo = 0;
    };

    // One in so many operations fails, and later ones may succeed; 0 disables the fault.
    std::uint32_t failOneIn = 0;
    // Decides which operations fail.
    std::mt19937 failures;

    // Operations until one fails half-way; negative disables the fault.
    int failAfter = -1;
    // Set by the failed operation; all later ones fail, as after a crash.
    bool dead = false;
    std::map<std::string, std::shared_ptr<File>> names;
    std::map<std::string, std::shared_ptr<File>> syncedNames;

    /** @brief Simulates a power failure: keeps a random state that a disk may contain afterwards. */
    void crash(std::mt19937_64 &random)
    {
        const std::uint32_t oneIn = std::exchange(failOneIn, 0);
        // A rename may reach the disk without a sync of the folder.
        if (random() % 2 == 0) {
            names = syncedNames;
        }
        syncedNames = names;
        for (auto &[name, file] : names) {
            for (std::size_t n = file->lostFrom; n < std::min(file->lostTo, file->bytes.size()); ++n) {
                file->bytes[n] = static_cast<char>(file->bytes[n] ^ 0x55);
            }
            file->lostFrom = file->lostTo = 0;
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
        failOneIn = oneIn;
    }

    /** @brief Simulates the end of the process alone: the kernel keeps all that was written. */
    void kill()
    {
        failAfter = -1;
        dead = false;
    }

    storage::Result<std::optional<std::string>> read(const std::string &name) override
    {
        const auto it = names.find(name);
        return it == names.end() ? std::optional<std::string>() : std::optional<std::string>(it->second->bytes);
    }

    storage::Result<std::optional<std::string>> readPart(
        const std::string &name, std::uint64_t offset, std::size_t size) override
    {
        const auto it = names.find(name);
        if (it == names.end()) {
            return std::optional<std::string>();
        }
        const std::string &bytes = it->second->bytes;
        return std::optional<std::string>(offset < bytes.size() ? bytes.substr(offset, size) : std::string());
    }

    storage::Result<void> overwrite(const std::string &name, std::uint64_t offset, std::string_view bytes) override
    {
        const bool fails = countDown();
        File &file = *names.at(name);
        if (!dead || fails) {
            const std::string_view written = fails ? bytes.substr(0, bytes.size() / 2) : bytes;
            file.bytes.replace(offset, written.size(), written);
            if (file.lostFrom < file.lostTo && offset <= file.lostFrom && file.lostFrom < offset + written.size()) {
                // The kernel knows again that these bytes are not on disk.
                file.synced = std::min(file.synced, file.lostFrom);
                file.lostFrom = std::min(file.lostTo, static_cast<std::size_t>(offset) + written.size());
            }
        }
        return outcome(storage::StorageErrorKind::Io, name, fails);
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
        return outcome(storage::StorageErrorKind::Io, name, fails);
    }

    storage::Result<void> truncate(const std::string &name, std::uint64_t size) override
    {
        const bool fails = countDown();
        File &file = *names.at(name);
        if (!fails && !dead) {
            file.bytes.resize(size);
            file.synced = std::min<std::size_t>(file.synced, size);
            file.lostTo = std::min<std::size_t>(file.lostTo, size);
        }
        return outcome(storage::StorageErrorKind::Io, name, fails);
    }

    storage::Result<void> sync(const std::string &name) override
    {
        const bool fails = countDown();
        File &file = *names.at(name);
        if (!fails && !dead) {
            file.synced = file.bytes.size();
        } else if (!dead && file.synced < file.bytes.size()) {
            file.lostFrom = file.lostTo > file.lostFrom ? file.lostFrom : file.synced;
            file.lostTo = file.bytes.size();
        }
        return outcome(storage::StorageErrorKind::Sync, name, fails);
    }

    storage::Result<void> rename(const std::string &from, const std::string &to) override
    {
        const bool fails = countDown();
        if (!fails && !dead) {
            names[to] = names.at(from);
            names.erase(from);
        }
        return outcome(storage::StorageErrorKind::Io, from, fails);
    }

    storage::Result<void> remove(const std::string &name) override
    {
        const bool fails = countDown();
        if (!fails && !dead) {
            names.erase(name);
        }
        return outcome(storage::StorageErrorKind::Io, name, fails);
    }

    storage::Result<void> syncFolder() override
    {
        const bool fails = countDown();
        if (!fails && !dead) {
            syncedNames = names;
        }
        return outcome(storage::StorageErrorKind::Sync, ".", fails);
    }

private:
    bool countDown()
    {
        const bool fails = !dead && failAfter == 0;
        dead = dead || fails;
        failAfter -= failAfter > 0 ? 1 : 0;
        return fails || (!dead && failOneIn > 0 && failures() % failOneIn == 0);
    }

    [[nodiscard]] storage::Result<void> outcome(
        storage::StorageErrorKind kind, const std::string &name, bool fails) const
    {
        if (dead || fails) {
            return base::failure(storage::StorageError{kind, name, 0, "injected"});
        }
        return base::success();
    }
};

} // namespace fakes
