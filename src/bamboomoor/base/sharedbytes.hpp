/**
 * Immutable bytes with shared ownership, for data that several owners hold at the same time.
 */
#pragma once

#include <cstddef>
#include <memory>
#include <ostream>
#include <string>
#include <utility>

namespace bamboomoor::base
{

/** @brief A sequence of bytes that never changes; all copies share one buffer. */
class SharedBytes
{
public:
    SharedBytes() noexcept = default;

    /**
     * @brief Takes over bytes.
     * @param bytes The bytes, moved and not copied.
     */
    SharedBytes(std::string bytes) // NOLINT(google-explicit-constructor,hicpp-explicit-conversions)
        : m_bytes(bytes.empty() ? nullptr : std::make_shared<const std::string>(std::move(bytes)))
    {
    }

    /** @brief Copies a text. @param text The text. */
    SharedBytes(const char *text) // NOLINT(google-explicit-constructor,hicpp-explicit-conversions)
        : SharedBytes(std::string(text))
    {
    }

    /**
     * @brief Returns the bytes.
     * @return Reference that is valid as long as any copy exists.
     */
    [[nodiscard]] const std::string &str() const noexcept
    {
        static const std::string empty;
        return m_bytes ? *m_bytes : empty;
    }

    [[nodiscard]] std::size_t size() const noexcept
    {
        return m_bytes ? m_bytes->size() : 0;
    }

    [[nodiscard]] bool empty() const noexcept
    {
        return size() == 0;
    }

    friend bool operator==(const SharedBytes &a, const SharedBytes &b) noexcept
    {
        return a.m_bytes == b.m_bytes || a.str() == b.str();
    }

    friend std::ostream &operator<<(std::ostream &out, const SharedBytes &bytes)
    {
        return out << bytes.str();
    }

private:
    // Null if there are no bytes.
    std::shared_ptr<const std::string> m_bytes;
};

} // namespace bamboomoor::base
