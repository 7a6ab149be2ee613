/**
 * Bytes that are read in order and in parts, so that a large file is never in memory as a whole.
 */
#pragma once

#include "bamboomoor/storage/error.hpp"
#include "bamboomoor/storage/filesystem.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bamboomoor::storage::internal
{

/** @brief Delivers bytes in order. */
class ByteSource
{
public:
    virtual ~ByteSource() = default;

    /**
     * @brief Returns the next bytes.
     * @param maxBytes Maximum number of bytes, at least 1.
     * @return The bytes, valid until the next call; empty at the end or after an error.
     */
    [[nodiscard]] virtual std::string_view next(std::uint64_t maxBytes) = 0;
};

/** @brief Delivers bytes that are in memory. */
class ViewSource final : public ByteSource
{
public:
    /** @brief Starts at the first byte. @param bytes The bytes; must outlive the source. */
    explicit ViewSource(std::string_view bytes) noexcept
        : m_bytes(bytes)
    {
    }

    [[nodiscard]] std::string_view next(std::uint64_t maxBytes) override
    {
        const std::string_view part = m_bytes.substr(0, maxBytes);
        m_bytes.remove_prefix(part.size());
        return part;
    }

private:
    std::string_view m_bytes;
};

/** @brief Delivers the bytes of a file through a buffer. */
class FileSource final : public ByteSource
{
public:
    /**
     * @brief Starts at an offset.
     * @param files Access to the file; must outlive the source.
     * @param name The file.
     * @param offset Offset of the first byte.
     */
    FileSource(FileSystem &files, std::string name, std::uint64_t offset);

    [[nodiscard]] std::string_view next(std::uint64_t maxBytes) override;

    /**
     * @brief Returns why reading ended before the end of the file.
     * @return The error, or nothing if there was none.
     */
    [[nodiscard]] const std::optional<StorageError> &error() const noexcept
    {
        return m_error;
    }

private:
    FileSystem &m_files;
    const std::string m_name;
    // Offset of the byte after m_buf.
    std::uint64_t m_offset;
    std::string m_buf;
    // Bytes of m_buf that were delivered.
    std::size_t m_used = 0;
    std::optional<StorageError> m_error;
};

} // namespace bamboomoor::storage::internal
