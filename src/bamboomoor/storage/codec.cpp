/**
 * Implements the on-disk format: little-endian integers, length-prefixed strings, and frames with XXH3 checksums.
 * Frame layout: 4 bytes magic, 4 bytes body length, 8 bytes checksum over offset, length and body, then the body.
 */
#include "bamboomoor/storage/codec.hpp"

#include "bamboomoor/base/overloaded.hpp"

#include <algorithm>
#include <array>
#include <cassert>
#include <memory>
#include <utility>
#include <vector>
#include <xxhash.h>

namespace bamboomoor::storage::internal
{

namespace
{
constexpr std::size_t LENGTH_AT = 4;
constexpr std::size_t CHECKSUM_AT = 8;
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
    Reader(ByteSource &source, std::uint64_t size) noexcept
        : m_source(source)
        , m_left(size)
    {
    }

    [[nodiscard]] std::uint64_t number(std::size_t bytes)
    {
        std::array<char, sizeof(std::uint64_t)> raw{};
        read(raw.data(), bytes);
        std::uint64_t value = 0;
        for (std::size_t n = bytes; n > 0; --n) {
            value = value << BITS_PER_BYTE | static_cast<unsigned char>(raw[n - 1]);
        }
        return m_ok ? value : 0;
    }

    [[nodiscard]] std::string text()
    {
        const std::uint64_t size = number(8);
        if (size > m_left) {
            m_ok = false;
            return {};
        }
        std::string text(size, '\0');
        read(text.data(), size);
        return m_ok ? text : std::string();
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

    [[nodiscard]] std::uint64_t left() const noexcept
    {
        return m_left;
    }

private:
    void read(char *to, std::uint64_t size)
    {
        m_ok = m_ok && size <= m_left;
        while (m_ok && size > 0) {
            const std::string_view part = m_source.next(size);
            std::copy(part.begin(), part.end(), to);
            to += part.size();
            size -= part.size();
            m_left -= part.size();
            m_ok = !part.empty();
        }
    }

    ByteSource &m_source;
    std::uint64_t m_left;
    bool m_ok = true;
};

/** @brief The checksum of a body that is delivered in parts; the offset of its frame is the seed. */
class Checksum
{
public:
    explicit Checksum(std::uint64_t offset)
        : m_state(XXH3_createState(), &XXH3_freeState)
    {
        XXH3_64bits_reset_withSeed(m_state.get(), offset);
    }

    void add(std::string_view part)
    {
        XXH3_64bits_update(m_state.get(), part.data(), part.size());
    }

    [[nodiscard]] std::uint64_t value() const
    {
        return XXH3_64bits_digest(m_state.get());
    }

private:
    std::unique_ptr<XXH3_state_t, decltype(&XXH3_freeState)> m_state;
};

std::optional<Record> decodeRecord(Reader &reader)
{
    const auto valid = [&reader](Record record) {
        return reader.ok() ? std::optional<Record>(std::move(record)) : std::nullopt;
    };
    switch (static_cast<Tag>(reader.number(1))) {
    case Tag::Base: {
        BaseRecord base;
        base.index = reader.number(8);
        base.term = reader.number(8);
        return valid(base);
    }
    case Tag::HardState: {
        consensus::HardState state;
        state.term = reader.number(8);
        state.votedFor = reader.text();
        state.joined = reader.number(1) != 0;
        return valid(std::move(state));
    }
    case Tag::Entry: {
        consensus::Entry entry;
        entry.index = reader.number(8);
        entry.term = reader.number(8);
        const std::uint64_t kind = reader.number(1);
        entry.payload = reader.text();
        entry.kind = static_cast<consensus::EntryKind>(kind);
        return kind < consensus::ENTRY_KIND_NAMES.size() ? valid(std::move(entry)) : std::nullopt;
    }
    }
    return std::nullopt;
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
                       putText(out, it.payload.str());
                   },
               },
        record);
}

bool decodeRecords(ByteSource &body, std::uint64_t size, const OnRecord &onRecord)
{
    Reader reader(body, size);
    while (reader.left() > 0) {
        auto record = decodeRecord(reader);
        if (!record || !onRecord(*std::move(record))) {
            return false;
        }
    }
    return true;
}

std::string encodeSnapshotHead(const consensus::Snapshot &snapshot)
{
    std::string out;
    putNumber(out, snapshot.index, 8);
    putNumber(out, snapshot.term, 8);
    putTexts(out, snapshot.voters);
    putTexts(out, snapshot.learners);
    putNumber(out, snapshot.data.size(), 8);
    return out;
}

std::optional<std::size_t> decodeSnapshotHead(std::string_view body, consensus::Snapshot &snapshot)
{
    ViewSource source(body);
    Reader reader(source, body.size());
    snapshot.index = reader.number(8);
    snapshot.term = reader.number(8);
    snapshot.voters = reader.texts();
    snapshot.learners = reader.texts();
    const std::uint64_t size = reader.number(8);
    return reader.ok() && reader.left() == size ? std::optional(body.size() - size) : std::nullopt;
}

std::string frameHeader(std::initializer_list<std::string_view> body, std::uint64_t offset)
{
    std::size_t size = 0;
    Checksum checksum(offset);
    for (const std::string_view it : body) {
        size += it.size();
        checksum.add(it);
    }
    assert(size <= UINT32_MAX);
    std::string out(FRAME_MAGIC);
    putNumber(out, size, CHECKSUM_AT - LENGTH_AT);
    putNumber(out, checksum.value(), FRAME_HEADER_BYTES - CHECKSUM_AT);
    return out;
}

void beginFrame(std::string &frame)
{
    assert(frame.empty());
    frame.resize(FRAME_HEADER_BYTES);
}

void sealFrame(std::string &frame, std::uint64_t offset)
{
    const std::string header = frameHeader({std::string_view(frame).substr(FRAME_HEADER_BYTES)}, offset);
    frame.replace(0, FRAME_HEADER_BYTES, header);
}

std::optional<std::uint64_t> checkFrame(ByteSource &source, std::uint64_t offset)
{
    std::string header;
    while (header.size() < FRAME_HEADER_BYTES) {
        const std::string_view part = source.next(FRAME_HEADER_BYTES - header.size());
        if (part.empty()) {
            return std::nullopt;
        }
        header += part;
    }
    if (!header.starts_with(FRAME_MAGIC)) {
        return std::nullopt;
    }
    ViewSource numbers(std::string_view(header).substr(LENGTH_AT));
    Reader reader(numbers, FRAME_HEADER_BYTES - LENGTH_AT);
    const std::uint64_t size = reader.number(CHECKSUM_AT - LENGTH_AT);
    const std::uint64_t expected = reader.number(FRAME_HEADER_BYTES - CHECKSUM_AT);
    Checksum checksum(offset);
    for (std::uint64_t left = size; left > 0;) {
        const std::string_view part = source.next(left);
        if (part.empty()) {
            return std::nullopt;
        }
        checksum.add(part);
        left -= part.size();
    }
    return checksum.value() == expected ? std::optional(size) : std::nullopt;
}

} // namespace bamboomoor::storage::internal
