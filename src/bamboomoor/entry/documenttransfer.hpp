/**
 * A version of the configuration that arrives in pieces. Each piece has a timeout of its own and is kept, so that a
 * transfer progresses over any link that carries the smallest piece within the timeout.
 */
#pragma once

#include "bamboomoor/base/outcome.hpp"
#include "bamboomoor/entry/inforce.hpp"

#include "peer.pb.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace bamboomoor::entry
{

/** @brief An encoded document of which some pieces have arrived. */
class DocumentTransfer
{
public:
    /**
     * @brief Begins a transfer.
     * @param reply The reply that names the version, with its first piece.
     */
    explicit DocumentTransfer(const peer::wire::FreshenReply &reply);

    /**
     * @brief Adds a piece.
     * @param piece The piece.
     * @return False if it is not the next one of this document; it is then ignored.
     */
    [[nodiscard]] bool add(const peer::wire::DocumentPiece &piece);

    [[nodiscard]] std::uint64_t version() const noexcept
    {
        return m_version;
    }

    [[nodiscard]] std::uint64_t checksum() const noexcept
    {
        return m_checksum;
    }

    /** @brief Returns how many bytes have arrived; the next piece begins there. */
    [[nodiscard]] std::size_t offset() const noexcept
    {
        return m_bytes.size();
    }

    [[nodiscard]] int pieces() const noexcept
    {
        return m_pieces;
    }

    [[nodiscard]] bool isComplete() const noexcept
    {
        return m_bytes.size() == m_totalBytes;
    }

    /**
     * @brief Decodes a complete transfer.
     * @param held The version that is held; null if there is none.
     * @return The version, verified by its digest; or why it cannot be read, on one line.
     */
    [[nodiscard]] base::Result<std::shared_ptr<const Configuration>, std::string> decode(
        const std::shared_ptr<const Configuration> &held) const;

private:
    std::uint64_t m_version;
    std::string m_digest;
    std::string m_author;
    std::int64_t m_wallMillis;
    std::string m_baseDigest;
    std::uint64_t m_checksum;
    std::size_t m_totalBytes;
    std::string m_bytes;
    int m_pieces = 0;
};

} // namespace bamboomoor::entry
