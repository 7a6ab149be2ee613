/**
 * Interface of the file operations that a store needs, and its POSIX implementation.
 */
#pragma once

#include "bamboomoor/storage/error.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace bamboomoor::storage
{

/**
 * @brief Access to the files of one folder; names contain no path separators. Whatever writes or syncs may also fail
 * with NoSpace.
 */
class FileSystem
{
public:
    virtual ~FileSystem() = default;

    /**
     * @brief Reads a whole file.
     * @param name The file.
     * @return The contents, or nothing if the file does not exist; fails with Io.
     */
    [[nodiscard]] virtual Result<std::optional<std::string>> read(const std::string &name) = 0;

    /**
     * @brief Reads a part of a file.
     * @param name The file.
     * @param offset Offset of the first byte.
     * @param size Number of bytes to read.
     * @return The bytes, fewer only at the end of the file, or nothing if the file does not exist; fails with Io.
     */
    [[nodiscard]] virtual Result<std::optional<std::string>> readPart(
        const std::string &name, std::uint64_t offset, std::size_t size) = 0;

    /**
     * @brief Writes over bytes of an existing file without changing its size.
     * @param name The file.
     * @param offset Offset of the first byte.
     * @param bytes The bytes; after an error any part may have been written.
     * @return Fails with Io.
     */
    [[nodiscard]] virtual Result<void> overwrite(
        const std::string &name, std::uint64_t offset, std::string_view bytes) = 0;

    /**
     * @brief Appends to a file, creating it if necessary.
     * @param name The file.
     * @param bytes The bytes to append; after an error any part may have been written.
     * @return Fails with Io.
     */
    [[nodiscard]] virtual Result<void> append(const std::string &name, std::string_view bytes) = 0;

    /**
     * @brief Truncates a file.
     * @param name The file.
     * @param size New size in bytes.
     * @return Fails with Io.
     */
    [[nodiscard]] virtual Result<void> truncate(const std::string &name, std::uint64_t size) = 0;

    /**
     * @brief Syncs the contents of a file to disk.
     * @param name The file.
     * @return Fails with Sync; the contents on disk are then unknown.
     */
    [[nodiscard]] virtual Result<void> sync(const std::string &name) = 0;

    /**
     * @brief Renames a file, atomically replacing any file of the new name.
     * @param from Current name.
     * @param to New name.
     * @return Fails with Io.
     */
    [[nodiscard]] virtual Result<void> rename(const std::string &from, const std::string &to) = 0;

    /**
     * @brief Removes a file if it exists.
     * @param name The file.
     * @return Fails with Io.
     */
    [[nodiscard]] virtual Result<void> remove(const std::string &name) = 0;

    /**
     * @brief Syncs the directory, so that created, renamed and removed names are durable.
     * @return Fails with Sync.
     */
    [[nodiscard]] virtual Result<void> syncFolder() = 0;
};

/** @brief A folder of the local file system, locked against other processes for the lifetime of the object. */
class PosixFolder final : public FileSystem
{
public:
    /**
     * @brief Opens a folder, creating it if necessary.
     * @param path Path of the folder.
     * @return The folder; fails with Io, or with Locked if another process has it open.
     */
    [[nodiscard]] static Result<std::unique_ptr<PosixFolder>> open(const std::string &path);

    ~PosixFolder() override;
    PosixFolder(const PosixFolder &) = delete;
    PosixFolder &operator=(const PosixFolder &) = delete;

    [[nodiscard]] Result<std::optional<std::string>> read(const std::string &name) override;
    [[nodiscard]] Result<std::optional<std::string>> readPart(
        const std::string &name, std::uint64_t offset, std::size_t size) override;
    [[nodiscard]] Result<void> overwrite(
        const std::string &name, std::uint64_t offset, std::string_view bytes) override;
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
    // Descriptors for appending, kept open so that a sync reports the errors of the writes before it.
    std::map<std::string, int> m_writers;
};

} // namespace bamboomoor::storage
