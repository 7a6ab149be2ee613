/**
 * Implements the encoding of documents for entries.
 */
#include "bamboomoor/control/documentstore.hpp"

#include "bamboomoor/base/compression.hpp"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace bamboomoor::control
{

namespace
{

std::size_t bytesOf(const config::Fingerprint &fingerprint) noexcept
{
    return fingerprint.size() * sizeof(config::Fingerprint::value_type);
}

std::string encodePatch(const config::Patch &patch)
{
    peer::wire::DocumentPatch out;
    for (const config::PatchStep &it : patch) {
        auto *step = out.add_steps();
        step->set_first(it.first);
        step->set_count(it.count);
        step->set_text(it.text);
    }
    return base::compress(out.SerializeAsString());
}

} // namespace

DocumentStore::DocumentStore(DocumentStoreLimits limits)
    : m_limits(limits)
{
}

void DocumentStore::setCurrent(std::string digest, std::string text)
{
    if (digest == m_digest) {
        return;
    }
    m_digest = std::move(digest);
    m_text = std::move(text);
    keepBase({m_digest, config::fingerprintOf(m_text)});
}

void DocumentStore::keepBase(Base base)
{
    // A document may come into force again.
    std::erase_if(m_bases, [&](const Base &it) {
        const bool isSame = it.digest == base.digest;
        m_baseBytes -= isSame ? bytesOf(it.fingerprint) : 0;
        return isSame;
    });
    m_baseBytes += bytesOf(base.fingerprint);
    m_bases.push_back(std::move(base));
    while (m_bases.size() > 1 && (m_bases.size() > m_limits.bases || m_baseBytes > m_limits.baseBytes)) {
        m_baseBytes -= bytesOf(m_bases.front().fingerprint);
        m_bases.pop_front();
    }
}

const DocumentStore::Base *DocumentStore::findBase(const std::string &digest) const
{
    const auto it = std::find_if(m_bases.begin(), m_bases.end(), [&digest](const Base &base) {
        return base.digest == digest;
    });
    return it == m_bases.end() ? nullptr : &*it;
}

const EncodedDocument &DocumentStore::encode(const std::string &baseDigest)
{
    const Base *base = findBase(baseDigest);
    const std::string known = base == nullptr ? std::string() : baseDigest;
    const auto kept = std::find_if(m_encoded.begin(), m_encoded.end(), [&](const EncodedDocument &it) {
        return it.digest == m_digest && it.baseDigest == known;
    });
    if (kept != m_encoded.end()) {
        kept->lastUse = ++m_uses;
        return *kept;
    }
    EncodedDocument made;
    made.digest = m_digest;
    made.baseDigest = known;
    made.bytes = encodePatch(config::makePatch(base == nullptr ? config::Fingerprint{} : base->fingerprint, m_text));
    made.checksum =
        XXH3_64bits_withSeed(made.bytes.str().data(), made.bytes.size(), XXH3_64bits(known.data(), known.size()));
    made.lastUse = ++m_uses;
    m_encodedBytes += made.bytes.size();
    m_encoded.push_back(std::move(made));
    evict();
    return m_encoded.back();
}

void DocumentStore::evict()
{
    const auto isFull = [this] {
        return m_encodedBytes > m_limits.encodedBytes || m_encoded.size() > m_limits.encoded;
    };
    while (isFull() && m_encoded.size() > 1) {
        const auto oldest = std::min_element(
            m_encoded.begin(), m_encoded.end(), [](const EncodedDocument &lhs, const EncodedDocument &rhs) {
                return lhs.lastUse < rhs.lastUse;
            });
        m_encodedBytes -= oldest->bytes.size();
        m_encoded.erase(oldest);
    }
}

const EncodedDocument *DocumentStore::find(std::uint64_t checksum)
{
    const auto it = std::find_if(m_encoded.begin(), m_encoded.end(), [checksum](const EncodedDocument &document) {
        return document.checksum == checksum;
    });
    if (it == m_encoded.end()) {
        return nullptr;
    }
    it->lastUse = ++m_uses;
    return &*it;
}

peer::wire::DocumentPiece DocumentStore::piece(
    const EncodedDocument &document, std::size_t offset, std::size_t maxBytes) const
{
    const std::size_t most = maxBytes == 0 ? m_limits.pieceBytes : std::min(maxBytes, m_limits.pieceBytes);
    const std::size_t begin = std::min(offset, document.bytes.size());
    peer::wire::DocumentPiece out;
    out.set_checksum(document.checksum);
    out.set_base_digest(document.baseDigest);
    out.set_total_bytes(document.bytes.size());
    out.set_offset(begin);
    out.set_data(document.bytes.str().substr(begin, most));
    return out;
}

} // namespace bamboomoor::control
