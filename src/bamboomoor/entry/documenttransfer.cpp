/**
 * Implements the transfer of a version of the configuration.
 */
#include "bamboomoor/entry/documenttransfer.hpp"

#include "bamboomoor/base/compression.hpp"
#include "bamboomoor/config/patch.hpp"
#include "bamboomoor/peer/channel.hpp"

#include <utility>

namespace bamboomoor::entry
{

namespace
{

base::Result<config::Patch, std::string> decodePatch(const std::string &bytes)
{
    const auto plain = base::decompress(bytes, static_cast<std::size_t>(peer::MAX_MESSAGE_BYTES));
    peer::wire::DocumentPatch read;
    if (!plain || !read.ParseFromString(*plain)) {
        return base::failure(std::string("damaged"));
    }
    config::Patch patch;
    for (auto &it : *read.mutable_steps()) {
        patch.push_back({it.first(), it.count(), std::move(*it.mutable_text())});
    }
    return patch;
}

} // namespace

DocumentTransfer::DocumentTransfer(const peer::wire::FreshenReply &reply)
    : m_version(reply.version())
    , m_digest(reply.digest())
    , m_author(reply.author())
    , m_wallMillis(reply.accepted_wall_ms())
    , m_baseDigest(reply.piece().base_digest())
    , m_checksum(reply.piece().checksum())
    , m_totalBytes(reply.piece().total_bytes())
{
    static_cast<void>(add(reply.piece()));
}

bool DocumentTransfer::add(const peer::wire::DocumentPiece &piece)
{
    const bool isNext = piece.checksum() == m_checksum && piece.offset() == m_bytes.size() && !piece.data().empty()
        && piece.data().size() <= m_totalBytes - m_bytes.size();
    if (isNext) {
        m_bytes += piece.data();
        ++m_pieces;
    }
    return isNext;
}

base::Result<std::shared_ptr<const Configuration>, std::string> DocumentTransfer::decode(
    const std::shared_ptr<const Configuration> &held) const
{
    static const config::Document empty;
    const bool isPatch = !m_baseDigest.empty();
    if (isPatch && (!held || held->digest != m_baseDigest)) {
        return base::failure(std::string("made for another version than the one held"));
    }
    BOOST_OUTCOME_TRY(patch, decodePatch(m_bytes));
    auto document = config::applyPatch(isPatch ? held->document : empty, patch);
    if (!document) {
        return base::failure(document.error().place + ": " + document.error().message);
    }
    if (config::digest(document.value()) != m_digest) {
        return base::failure(std::string("its digest differs"));
    }
    auto made = makeConfiguration(m_version, m_digest, std::move(document.value()));
    made->author = m_author;
    made->wallMillis = m_wallMillis;
    return std::shared_ptr<const Configuration>(std::move(made));
}

} // namespace bamboomoor::entry
