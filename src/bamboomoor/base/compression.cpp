/**
 * Implements compression with zlib.
 */
#include "bamboomoor/base/compression.hpp"

#include <zlib.h>

#include <algorithm>
#include <new>
#include <utility>

namespace bamboomoor::base
{

namespace
{

constexpr std::size_t MIN_OUTPUT_BYTES = 4'096;

const Bytef *inputOf(std::string_view bytes)
{
    return reinterpret_cast<const Bytef *>(bytes.data());
}

} // namespace

std::string compress(std::string_view bytes)
{
    uLongf size = compressBound(bytes.size());
    std::string out(size, '\0');
    const int status =
        compress2(reinterpret_cast<Bytef *>(out.data()), &size, inputOf(bytes), bytes.size(), Z_DEFAULT_COMPRESSION);
    if (status != Z_OK) {
        // With enough room for the output, only memory can be lacking.
        throw std::bad_alloc();
    }
    out.resize(size);
    return out;
}

std::optional<std::string> decompress(std::string_view compressed, std::size_t maxSize)
{
    z_stream stream{};
    if (inflateInit(&stream) != Z_OK) {
        throw std::bad_alloc();
    }
    stream.next_in = const_cast<Bytef *>(inputOf(compressed));
    stream.avail_in = static_cast<uInt>(compressed.size());
    std::string out;
    int status = Z_OK;
    while (status == Z_OK && out.size() <= maxSize) {
        const std::size_t before = out.size();
        // One byte more than allowed tells a result that is too large.
        out.resize(std::min(std::max(before * 2, MIN_OUTPUT_BYTES), maxSize + 1));
        stream.next_out = reinterpret_cast<Bytef *>(out.data() + before);
        stream.avail_out = static_cast<uInt>(out.size() - before);
        status = inflate(&stream, Z_NO_FLUSH);
        out.resize(out.size() - stream.avail_out);
    }
    const bool isWhole = status == Z_STREAM_END && stream.avail_in == 0 && out.size() <= maxSize;
    inflateEnd(&stream);
    return isWhole ? std::optional(std::move(out)) : std::nullopt;
}

} // namespace bamboomoor::base
