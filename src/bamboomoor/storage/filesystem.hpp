/**
 * The file operations that a store needs, behind an interface, and their implementation on a folder.
 */
#pragma once

#include "bamboomoor/storage/error.hpp"

#include <map>
#include <memory>
#include <optional>
#include <string_view>

namespace bamboomoor::storage
{

/** @brief The files of one folder; names hold no separators. */
class FileSystem
{
public:
    virtual ~FileSystem() = default;

    /**
     * @brief Reads a whole file.
     * @param name The file.
     * @return Its bytes, or nothing when there is no such file; Io.
     */
    [[nodiscard]] virtual Result<std::optional<std::string>> read(const std::string &name) = 0;

    /**
     * @brief Appends to a file, which is created when there is none.
     * @param name The file.
     * @param bytes What to append; after an error any part of it may have been written.
     * @return Io.
     */
    [[nodiscard]] virtual Result<void> append(const std::string &name, std::string_view bytes) = 0;

    /**
     * @brief Shortens a file.
     * @param name The file.
     * @param size Its new size in bytes.
     * @return Io.
     */
    [[nodiscard]] virtual Result<void> truncate(const std::string &name, std::uint64_t size) = 0;

    /**
     * @brief Brings the contents of a file to disk.
     * @param name The file.
     * @return Sync, after which the contents on disk are unknown.
     */
    [[nodiscard]] virtual Result<void> sync(const std::string &name) = 0;

    /**
     * @brief Gives a file another name, replacing the file that has it.
     * @param from The present name.
     * @param to The new name.
     * @return Io.
     */
    [[nodiscard]] virtual Result<void> rename(const std::string &from, const std::string &to) = 0;

    /**
     * @brief Removes a file if there is one.
     * @param name The file.
     * @return Io.
     */
    [[nodiscard]] virtual Result<void> remove(const std::string &name) = 0;

    /**
     * @brief Brings the names of the files to disk.
     * @return Sync.
     */
    [[nodiscard]] virtual Result<void> syncFolder() = 0;
};

/** @brief A folder of the machine, locked against other processes while the object lives. */
class PosixFolder final : public FileSystem
{
public:
    /**
     * @brief Opens a folder, creating it when there is none.
     * @param path The folder.
     * @return The folder; Io, or Locked when another process has it open.
     */
    [[nodiscard]] static Result<std::unique_ptr<PosixFolder>> open(const std::string &path);

    ~PosixFolder() override;
    PosixFolder(const PosixFolder &) = delete;
    PosixFolder &operator=(const PosixFolder &) = delete;

    [[nodiscard]] Result<std::optional<std::string>> read(const std::string &name) override;
    [[nodiscard]] Result<void> append(const std::string &name, std::string_view bytes) override;
    [[nodiscard]] Result<void> truncate(const std::string &name, std::uint64_t size) override;
    [[nodiscard]] Result<void> sync(const std::string &name) override;
    [[nodiscard]] Result<void> rename(const std::string &from, const std::string &to) override;
    [[nodiscard]] Result<void> remove(const std::string &name) override;
    [[nodiscard]] Result<void> syncFolder() override;

private:
    PosixFolder(int folder, int lock) noexcept;
    [[nodiscard]] Result<int> writer(const std::string &name);
    void closeWriter(const std::string &name) noexcept;

    int m_folder = -1;
    int m_lock = -1;
    // Descriptors for appending, kept open so that a sync reports the errors of its own writes.
    std::map<std::string, int> m_writers;
};

} // namespace bamboomoor::storage
