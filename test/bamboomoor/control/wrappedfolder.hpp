/**
 * A folder that passes every operation on to another one; tests override those in which their disk differs.
 */
#pragma once

#include "bamboomoor/storage/filesystem.hpp"

#include <memory>
#include <utility>

namespace control_test
{

using namespace bamboomoor;

/** @brief Passes every operation on. */
class WrappedFolder : public storage::FileSystem
{
public:
    explicit WrappedFolder(std::unique_ptr<storage::FileSystem> files)
        : m_files(std::move(files))
    {
    }

    [[nodiscard]] storage::Result<std::optional<std::string>> read(const std::string &name) override
    {
        return m_files->read(name);
    }
    [[nodiscard]] storage::Result<std::optional<std::string>> readPart(
        const std::string &name, std::uint64_t offset, std::size_t size) override
    {
        return m_files->readPart(name, offset, size);
    }
    [[nodiscard]] storage::Result<void> overwrite(
        const std::string &name, std::uint64_t offset, std::string_view bytes) override
    {
        return m_files->overwrite(name, offset, bytes);
    }
    [[nodiscard]] storage::Result<void> append(const std::string &name, std::string_view bytes) override
    {
        return m_files->append(name, bytes);
    }
    [[nodiscard]] storage::Result<void> truncate(const std::string &name, std::uint64_t size) override
    {
        return m_files->truncate(name, size);
    }
    [[nodiscard]] storage::Result<void> sync(const std::string &name) override
    {
        return m_files->sync(name);
    }
    [[nodiscard]] storage::Result<void> rename(const std::string &from, const std::string &to) override
    {
        return m_files->rename(from, to);
    }
    [[nodiscard]] storage::Result<void> remove(const std::string &name) override
    {
        return m_files->remove(name);
    }
    [[nodiscard]] storage::Result<void> syncFolder() override
    {
        return m_files->syncFolder();
    }

private:
    std::unique_ptr<storage::FileSystem> m_files;
};

} // namespace control_test
