/**
 * The encoded forms of the current document: whole, and as patches of the versions that entries hold. They are sent in
 * pieces, so that the time of a piece depends on neither the size of the document nor the number of changes.
 */
#pragma once

#include "bamboomoor/base/clock.hpp"
#include "bamboomoor/base/sharedbytes.hpp"
#include "bamboomoor/config/patch.hpp"

#include "peer.pb.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <list>
#include <string>

namespace bamboomoor::control
{

/** @brief Bounds on the memory of a DocumentStore. */
struct DocumentStoreLimits {
    // The versions from which patches can be made, and the total size of their fingerprints in bytes.
    std::size_t bases = 256;
    std::size_t baseBytes = 2'097'152;
    // The encoded documents, and their total size in bytes; the one in use is kept in addition.
    std::size_t encoded = 256;
    std::size_t encodedBytes = 8'388'608;
    // The largest piece, in bytes.
    std::size_t pieceBytes = 131'072;
};

/** @brief A document in the form in which it is sent. */
struct EncodedDocument {
    // Digest of the document that results.
    std::string digest;
    // Digest of the document that the patch applies to; empty for the empty document.
    std::string baseDigest;
    // Identifies bytes and base.
    std::uint64_t checksum = 0;
    base::SharedBytes bytes;
    // Leaves out the documents that were used least recently.
    std::uint64_t lastUse = 0;
};

/** @brief Encodes documents, and keeps superseded ones while entries fetch them. */
class DocumentStore
{
public:
    explicit DocumentStore(DocumentStoreLimits limits = {});

    /**
     * @brief Replaces the current document.
     * @param digest Its digest.
     * @param text Its canonical text.
     */
    void setCurrent(std::string digest, std::string text);

    /** @brief Returns the digest of the current document; empty before the first. */
    [[nodiscard]] const std::string &digest() const noexcept
    {
        return m_digest;
    }

    /**
     * @brief Encodes the current document.
     * @param baseDigest The digest of the document that the receiver holds.
     * @return A patch of that document, or of the empty document if it is not known; valid until the next call.
     */
    [[nodiscard]] const EncodedDocument &encode(const std::string &baseDigest);

    /**
     * @brief Finds an encoded document, also of a superseded version.
     * @param checksum Its checksum.
     * @return The document, valid until the next call; null if it is not kept.
     */
    [[nodiscard]] const EncodedDocument *find(std::uint64_t checksum);

    /**
     * @brief Cuts a piece.
     * @param document The encoded document.
     * @param offset Its first byte.
     * @param maxBytes The most bytes of it; 0 for the largest piece.
     * @return The piece; without data if the offset is at or behind the end.
     */
    [[nodiscard]] peer::wire::DocumentPiece piece(
        const EncodedDocument &document, std::size_t offset, std::size_t maxBytes) const;

private:
    struct Base {
        std::string digest;
        config::Fingerprint fingerprint;
    };

    [[nodiscard]] const Base *findBase(const std::string &digest) const;
    void keepBase(Base base);
    void evict();

    DocumentStoreLimits m_limits;
    std::string m_digest;
    std::string m_text;
    // The newest last.
    std::deque<Base> m_bases;
    std::size_t m_baseBytes = 0;
    std::list<EncodedDocument> m_encoded;
    std::size_t m_encodedBytes = 0;
    std::uint64_t m_uses = 0;
};

} // namespace bamboomoor::control
