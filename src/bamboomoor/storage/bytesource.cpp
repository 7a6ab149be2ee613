/**
 * Implements buffered reading of a file.
 */
#include "bamboomoor/storage/bytesource.hpp"

#include <utility>

namespace bamboomoor::storage::internal
{

namespace
{
constexpr std::size_t BUFFER_BYTES = 262'144;
} // namespace

FileSource::FileSource(FileSystem &files, std::string name, std::uint64_t offset)
    : m_files(files)
    , m_name(std::move(name))
    , m_offset(offset)
{
}

std::string_view FileSource::next(std::uint64_t maxBytes)
{
    if (m_used == m_buf.size() && !m_error) {
        auto part = m_files.readPart(m_name, m_offset, BUFFER_BYTES);
        m_buf.clear();
        if (!part) {
            m_error = part.error();
        } else if (part.value()) {
            m_buf = *std::move(part).value();
        }
        m_offset += m_buf.size();
        m_used = 0;
    }
    const std::string_view bytes = std::string_view(m_buf).substr(m_used, maxBytes);
    m_used += bytes.size();
    return bytes;
}

} // namespace bamboomoor::storage::internal
