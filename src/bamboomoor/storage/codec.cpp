/**
 * Implements the on-disk format: little-endian integers, length-prefixed strings, and frames with XXH3 checksums.
 * Frame layout: 4 bytes magic, 4 bytes body length, 8 bytes checksum over offset, length and body, then the body.
 */
#include "bamboomoor/storage/codec.hpp"

#include "bamboomoor/base/overloaded.hpp"

#include <cassert>
#include <xxhash.h>

namespace bamboomoor::storage::internal
{

namespace
{
constexpr std::string_view MAGIC = "\xB4mB1";
constexpr std::size_t LENGTH_AT = 4;
constexpr std::size_t CHECKSUM_AT = 8;
constexpr std::size_t HEADER_BYTES = 16;
constexpr unsigned BITS_PER_BYTE = 8;
constexpr std::uint64_t BYTE_MASK = 0xFF;

enum class Tag : std::uint8_t { Base = 1, HardState = 2, Entry = 3 };

void putNumber(std::string &out, std::uint64_t number, std::size_t bytes)
{
    for (std::size_t n = 0; n < bytes; ++n) {
        out += static_cast<char>(number & BYTE_MASK);
        number >>= BITS_PER_BYTE;
    }
}

void putText(std::string &out, std::string_view text)
{
    putNumber(out, text.size(), 8);
    out += text;
}

void putTexts(std::string &out, const std::vector<std::string> &texts)
{
    putNumber(out, texts.size(), 8);
    for (const std::string &it : texts) {
        putText(out, it);
    }
}

/** @brief Reads integers and strings. Once the input is too short, all reads return empty values and ok() is false. */
class Reader
{
public:
    explicit Reader(std::string_view bytes) noexcept
        : m_bytes(bytes)
    {
    }

    [[nodiscard]] std::uint64_t number(std::size_t bytes) noexcept
    {
        const std::string_view raw = take(bytes);
        std::uint64_t value = 0;
        for (std::size_t n = raw.size(); n > 0; --n) {
            value = value << BITS_PER_BYTE | static_cast<unsigned char>(raw[n - 1]);
        }
        return value;
    }

    [[nodiscard]] std::string text()
    {
        return std::string(take(number(8)));
    }

    [[nodiscard]] std::vector<std::string> texts()
    {
        std::vector<std::string> all;
        const std::uint64_t count = number(8);
        for (std::uint64_t n = 0; n < count && m_ok; ++n) {
            all.push_back(text());
        }
        return all;
    }

    [[nodiscard]] bool ok() const noexcept
    {
        return m_ok;
    }

    [[nodiscard]] bool atEnd() const noexcept
    {
        return m_bytes.empty();
    }

private:
    [[nodiscard]] std::string_view take(std::uint64_t size) noexcept
    {
        if (size > m_bytes.size()) {
            m_ok = false;
            m_bytes = {};
            return {};
        }
        const std::string_view part = m_bytes.substr(0, size);
        m_bytes.remove_prefix(size);
        return part;
    }

    std::string_view m_bytes;
    bool m_ok = true;
};

std::uint64_t checksum(std::string_view body, std::uint64_t offset)
{
    // XXH3 already includes the body's length; the offset is used as seed.
    return XXH3_64bits_withSeed(body.data(), body.size(), offset);
}

bool decodeRecord(Reader &reader, std::vector<Record> &records)
{
    switch (static_cast<Tag>(reader.number(1))) {
    case Tag::Base: {
        BaseRecord base;
        base.index = reader.number(8);
        base.term = reader.number(8);
        records.emplace_back(base);
        return reader.ok();
    }
    case Tag::HardState: {
        consensus::HardState state;
        state.term = reader.number(8);
        state.votedFor = reader.text();
        state.joined = reader.number(1) != 0;
        records.emplace_back(std::move(state));
        return reader.ok();
    }
    case Tag::Entry: {
        consensus::Entry entry;
        entry.index = reader.number(8);
        entry.term = reader.number(8);
        const std::uint64_t kind = reader.number(1);
        entry.payload = reader.text();
        entry.kind = static_cast<consensus::EntryKind>(kind);
        records.emplace_back(std::move(entry));
        return reader.ok() && kind < consensus::ENTRY_KIND_NAMES.size();
    }
    }
    return false;
}
} // namespace

void encodeRecord(std::string &out, const Record &record)
{
    std::visit(base::Overloaded{
                   [&out](const BaseRecord &it) {
                       putNumber(out, static_cast<std::uint64_t>(Tag::Base), 1);
                       putNumber(out, it.index, 8);
                       putNumber(out, it.term, 8);
                   },
                   [&out](const consensus::HardState &it) {
                       putNumber(out, static_cast<std::uint64_t>(Tag::HardState), 1);
                       putNumber(out, it.term, 8);
                       putText(out, it.votedFor);
                       putNumber(out, it.joined ? 1 : 0, 1);
                   },
                   [&out](const consensus::Entry &it) {
                       putNumber(out, static_cast<std::uint64_t>(Tag::Entry), 1);
                       putNumber(out, it.index, 8);
                       putNumber(out, it.term, 8);
                       putNumber(out, static_cast<std::uint64_t>(it.kind), 1);
                       putText(out, it.payload);
                   },
               },
        record);
}

bool decodeRecords(std::string_view body, std::vector<Record> &records)
{
    Reader reader(body);
    while (!reader.atEnd()) {
        if (!decodeRecord(reader, records)) {
            return false;
        }
    }
    return true;
}

std::string encodeSnapshot(const consensus::Snapshot &snapshot)
{
    std::string out;
    putNumber(out, snapshot.index, 8);
    putNumber(out, snapshot.term, 8);
    putTexts(out, snapshot.voters);
    putTexts(out, snapshot.learners);
    putText(out, snapshot.data);
    return out;
}

bool decodeSnapshot(std::string_view body, consensus::Snapshot &snapshot)
{
    Reader reader(body);
    snapshot.index = reader.number(8);
    snapshot.term = reader.number(8);
    snapshot.voters = reader.texts();
    snapshot.learners = reader.texts();
    snapshot.data = reader.text();
    return reader.ok() && reader.atEnd();
}

std::string encodeFrame(std::string_view body, std::uint64_t offset)
{
    assert(body.size() <= UINT32_MAX);
    std::string out(MAGIC);
    out.reserve(HEADER_BYTES + body.size());
    putNumber(out, body.size(), CHECKSUM_AT - LENGTH_AT);
    putNumber(out, checksum(body, offset), HEADER_BYTES - CHECKSUM_AT);
    out += body;
    return out;
}

std::optional<std::string_view> decodeFrame(std::string_view file, std::uint64_t offset)
{
    if (offset > file.size() || file.size() - offset < HEADER_BYTES || file.substr(offset, LENGTH_AT) != MAGIC) {
        return std::nullopt;
    }
    Reader header(file.substr(offset + LENGTH_AT, HEADER_BYTES - LENGTH_AT));
    const std::uint64_t size = header.number(CHECKSUM_AT - LENGTH_AT);
    const std::uint64_t expected = header.number(HEADER_BYTES - CHECKSUM_AT);
    if (size > file.size() - offset - HEADER_BYTES) {
        return std::nullopt;
    }
    const std::string_view body = file.substr(offset + HEADER_BYTES, size);
    if (checksum(body, offset) != expected) {
        return std::nullopt;
    }
    return body;
}

std::uint64_t frameSize(std::string_view body) noexcept
{
    return HEADER_BYTES + body.size();
}

bool hasFrameAfter(std::string_view file, std::uint64_t offset)
{
    for (std::size_t at = file.find(MAGIC, offset); at != std::string_view::npos; at = file.find(MAGIC, at + 1)) {
        if (decodeFrame(file, at)) {
            return true;
        }
    }
    return false;
}

} // namespace bamboomoor::storage::internal
