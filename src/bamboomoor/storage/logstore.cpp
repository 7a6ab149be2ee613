/**
 * Implements recovery, group commit and compaction of the files "log" and "snapshot".
 */
#include "bamboomoor/storage/logstore.hpp"

#include "bamboomoor/base/overloaded.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace bamboomoor::storage
{

namespace
{
constexpr const char *LOG_FILE = "log";
constexpr const char *SNAPSHOT_FILE = "snapshot";
constexpr const char *TEMPORARY_SUFFIX = ".new";
// Frames of a rewritten log are closed at this size, in bytes.
constexpr std::size_t FRAME_BYTES = 1'048'576;
// Bytes that are written over or searched at a time.
constexpr std::size_t PART_BYTES = 262'144;

StorageError corrupt(const char *file, std::uint64_t offset, const std::string &text)
{
    return {StorageErrorKind::Corrupt, file, offset, text};
}
} // namespace

LogStore::LogStore(FileSystem &files)
    : m_files(files)
{
}

Result<OpenResult> LogStore::open()
{
    assert(!m_opened);
    m_opened = true;
    // Any early return below leaves the store unusable.
    m_failed = true;
    for (const char *name : {LOG_FILE, SNAPSHOT_FILE}) {
        BOOST_OUTCOME_TRY(m_files.remove(std::string(name) + TEMPORARY_SUFFIX));
    }
    BOOST_OUTCOME_TRY(readSnapshot());
    BOOST_OUTCOME_TRY(file, m_files.readPart(LOG_FILE, 0, 1));
    OpenResult opened;
    // The end of the log may be known to the kernel only, if a process was killed before a sync or after a failed one.
    m_repair = Repair::Confirm;
    if (file) {
        BOOST_OUTCOME_TRY(readLog(opened));
    } else if (m_snapshot.index != 0) {
        return base::failure(corrupt(LOG_FILE, 0, "log file missing although a snapshot exists"));
    } else {
        m_repair = Repair::Rewrite;
    }
    m_failed = false;
    if (auto written = sync(); !written) {
        opened.deferred = std::move(written).error();
    }
    opened.recovered.fresh = m_fresh;
    opened.recovered.hardState = m_hardState;
    opened.recovered.snapshot = m_snapshot;
    opened.recovered.entries.assign(m_entries.begin(), m_entries.end());
    return opened;
}

Result<void> LogStore::readSnapshot()
{
    BOOST_OUTCOME_TRY(file, m_files.read(SNAPSHOT_FILE));
    if (!file) {
        return base::success();
    }
    internal::ViewSource source(*file);
    const auto size = internal::checkFrame(source, 0);
    const bool isWhole = size && internal::FRAME_HEADER_BYTES + *size == file->size();
    const auto data = isWhole
        ? internal::decodeSnapshotHead(std::string_view(*file).substr(internal::FRAME_HEADER_BYTES), m_snapshot)
        : std::nullopt;
    if (!data) {
        return base::failure(corrupt(SNAPSHOT_FILE, 0, "snapshot checksum or format invalid"));
    }
    file->erase(0, internal::FRAME_HEADER_BYTES + *data);
    m_snapshot.data = *std::move(file);
    m_fresh = false;
    return base::success();
}

Result<void> LogStore::readLog(OpenResult &opened)
{
    while (true) {
        BOOST_OUTCOME_TRY(body, intactFrame(m_size));
        if (!body) {
            break;
        }
        BOOST_OUTCOME_TRY(replayFrame(*body));
        m_lastFrame = m_size;
        m_size += internal::FRAME_HEADER_BYTES + *body;
    }
    if (m_size == 0) {
        // The first frame is always synced before the file is renamed into place.
        return base::failure(corrupt(LOG_FILE, 0, "first frame damaged"));
    }
    BOOST_OUTCOME_TRY(tornBytes, measureTornTail());
    opened.tornBytes = tornBytes;
    if (m_base.index > m_snapshot.index) {
        return base::failure(corrupt(LOG_FILE, 0, "log starts after the snapshot"));
    }
    if (m_base.index < m_snapshot.index) {
        removeCoveredEntries();
        m_repair = Repair::Rewrite;
    }
    return base::success();
}

Result<std::optional<std::uint64_t>> LogStore::intactFrame(std::uint64_t offset)
{
    internal::FileSource source(m_files, LOG_FILE, offset);
    const auto size = internal::checkFrame(source, offset);
    if (source.error()) {
        return base::failure(*source.error());
    }
    return size;
}

Result<std::uint64_t> LogStore::measureTornTail()
{
    // A magic number may lie across two parts.
    constexpr std::size_t OVERLAP = internal::FRAME_MAGIC.size() - 1;
    std::uint64_t offset = m_size;
    while (true) {
        BOOST_OUTCOME_TRY(part, m_files.readPart(LOG_FILE, offset, PART_BYTES));
        const std::string_view bytes = part ? std::string_view(*part) : std::string_view();
        for (std::size_t at = bytes.find(internal::FRAME_MAGIC); at != std::string_view::npos;
             at = bytes.find(internal::FRAME_MAGIC, at + 1)) {
            BOOST_OUTCOME_TRY(body, intactFrame(offset + at));
            if (body) {
                return base::failure(corrupt(LOG_FILE, m_size, "damaged frame before an intact one"));
            }
        }
        if (bytes.size() < PART_BYTES) {
            return offset + bytes.size() - m_size;
        }
        offset += PART_BYTES - OVERLAP;
    }
}

Result<void> LogStore::replayFrame(std::uint64_t bodySize)
{
    internal::FileSource source(m_files, LOG_FILE, m_size + internal::FRAME_HEADER_BYTES);
    Result<void> replayed = base::success();
    const bool isValid = internal::decodeRecords(source, bodySize, [this, &replayed](internal::Record &&record) {
        replayed = replay(std::move(record));
        return replayed.has_value();
    });
    if (source.error()) {
        return base::failure(*source.error());
    }
    if (replayed && !isValid) {
        return base::failure(corrupt(LOG_FILE, m_size, "frame contains invalid records"));
    }
    return replayed;
}

Result<void> LogStore::replay(internal::Record &&record)
{
    if (const auto *base = std::get_if<internal::BaseRecord>(&record)) {
        m_base = *base;
        return base::success();
    }
    m_fresh = false;
    if (auto *state = std::get_if<consensus::HardState>(&record)) {
        m_hardState = std::move(*state);
        return base::success();
    }
    auto &entry = std::get<consensus::Entry>(record);
    const std::uint64_t last = m_base.index + m_entries.size();
    if (entry.index <= m_base.index || entry.index > last + 1) {
        return base::failure(corrupt(LOG_FILE, m_size, "log entries missing"));
    }
    addEntry(std::move(entry));
    return base::success();
}

Result<void> LogStore::saveHardState(const consensus::HardState &state)
{
    BOOST_OUTCOME_TRY(usable());
    m_hardState = state;
    addToBatch(state);
    return base::success();
}

Result<void> LogStore::append(const std::vector<consensus::Entry> &entries)
{
    BOOST_OUTCOME_TRY(usable());
    for (const consensus::Entry &it : entries) {
        if (it.index <= m_base.index) {
            continue;
        }
        assert(it.index <= m_base.index + m_entries.size() + 1);
        addToBatch(it);
        addEntry(consensus::Entry(it));
    }
    return base::success();
}

Result<void> LogStore::saveSnapshot(const consensus::Snapshot &snapshot)
{
    BOOST_OUTCOME_TRY(usable());
    assert(snapshot.index > m_snapshot.index);
    // The covered entries may exist only in the batch, and the snapshot may depend on the batched hard state.
    BOOST_OUTCOME_TRY(sync());
    BOOST_OUTCOME_TRY(temporary, startFile(SNAPSHOT_FILE));
    const std::string head = internal::encodeSnapshotHead(snapshot);
    BOOST_OUTCOME_TRY(m_files.append(temporary, internal::frameHeader({head, snapshot.data.str()}, 0) + head));
    BOOST_OUTCOME_TRY(m_files.append(temporary, snapshot.data.str()));
    BOOST_OUTCOME_TRY(finishFile(SNAPSHOT_FILE));
    m_snapshot = snapshot;
    removeCoveredEntries();
    m_repair = Repair::Rewrite;
    return base::success();
}

Result<void> LogStore::persist(const consensus::Persist &work)
{
    // What an earlier attempt has added is not added again.
    if (work.hardState && *work.hardState != m_hardState) {
        BOOST_OUTCOME_TRY(saveHardState(*work.hardState));
    }
    if (work.snapshot) {
        BOOST_OUTCOME_TRY(saveSnapshot(*work.snapshot));
    }
    return append(work.entries);
}

Result<void> LogStore::sync()
{
    BOOST_OUTCOME_TRY(usable());
    if (m_repair == Repair::Rewrite) {
        return rewriteLog();
    }
    if (m_repair == Repair::Confirm) {
        BOOST_OUTCOME_TRY(confirmTail());
    }
    if (m_batch.empty()) {
        return base::success();
    }
    if (m_repair == Repair::Truncate) {
        BOOST_OUTCOME_TRY(m_files.truncate(LOG_FILE, m_size));
        m_repair = Repair::None;
    }
    internal::sealFrame(m_batch, m_size);
    if (auto written = m_files.append(LOG_FILE, m_batch); !written) {
        m_repair = Repair::Truncate;
        return written;
    }
    if (auto synced = m_files.sync(LOG_FILE); !synced) {
        m_repair = Repair::Rewrite;
        return synced;
    }
    m_size += m_batch.size();
    m_batch = {};
    return base::success();
}

Result<void> LogStore::usable() const
{
    assert(m_opened);
    if (m_failed) {
        return base::failure(StorageError{StorageErrorKind::Failed, LOG_FILE, m_size, "store could not be opened"});
    }
    return base::success();
}

void LogStore::addToBatch(const internal::Record &record)
{
    if (m_batch.empty()) {
        internal::beginFrame(m_batch);
    }
    internal::encodeRecord(m_batch, record);
}

Result<std::string> LogStore::startFile(const std::string &name)
{
    std::string temporary = name + TEMPORARY_SUFFIX;
    // An earlier attempt may have left a part of it, which may be all that fills the disk.
    BOOST_OUTCOME_TRY(m_files.remove(temporary));
    return temporary;
}

Result<void> LogStore::finishFile(const std::string &name)
{
    const std::string temporary = name + TEMPORARY_SUFFIX;
    BOOST_OUTCOME_TRY(m_files.sync(temporary));
    BOOST_OUTCOME_TRY(m_files.rename(temporary, name));
    return m_files.syncFolder();
}

Result<void> LogStore::confirmTail()
{
    BOOST_OUTCOME_TRY(m_files.truncate(LOG_FILE, m_size));
    for (std::uint64_t offset = m_lastFrame; offset < m_size;) {
        BOOST_OUTCOME_TRY(
            part, m_files.readPart(LOG_FILE, offset, std::min<std::uint64_t>(PART_BYTES, m_size - offset)));
        if (!part || part->empty()) {
            return base::failure(StorageError{StorageErrorKind::Io, LOG_FILE, offset, "log file became shorter"});
        }
        BOOST_OUTCOME_TRY(m_files.overwrite(LOG_FILE, offset, *part));
        offset += part->size();
    }
    if (auto synced = m_files.sync(LOG_FILE); !synced) {
        m_repair = Repair::Rewrite;
        return synced;
    }
    // A rename before the start may not be on disk either.
    BOOST_OUTCOME_TRY(m_files.syncFolder());
    m_repair = Repair::None;
    return base::success();
}

Result<void> LogStore::rewriteLog()
{
    BOOST_OUTCOME_TRY(temporary, startFile(LOG_FILE));
    std::uint64_t size = 0;
    std::string frame;
    const auto writeFrame = [&]() -> Result<void> {
        internal::sealFrame(frame, size);
        BOOST_OUTCOME_TRY(m_files.append(temporary, frame));
        size += frame.size();
        frame.clear();
        return base::success();
    };
    internal::beginFrame(frame);
    internal::encodeRecord(frame, m_base);
    if (!m_fresh || m_hardState != consensus::HardState{}) {
        internal::encodeRecord(frame, m_hardState);
    }
    for (const consensus::Entry &it : m_entries) {
        if (frame.size() >= FRAME_BYTES) {
            BOOST_OUTCOME_TRY(writeFrame());
            internal::beginFrame(frame);
        }
        internal::encodeRecord(frame, it);
    }
    BOOST_OUTCOME_TRY(writeFrame());
    BOOST_OUTCOME_TRY(finishFile(LOG_FILE));
    m_size = size;
    m_batch = {};
    m_repair = Repair::None;
    return base::success();
}

void LogStore::addEntry(consensus::Entry &&entry)
{
    m_entries.resize(entry.index - m_base.index - 1);
    m_entries.push_back(std::move(entry));
}

void LogStore::removeCoveredEntries()
{
    assert(m_snapshot.index > m_base.index);
    const std::uint64_t covered = m_snapshot.index - m_base.index;
    const bool matches = covered <= m_entries.size() && m_entries[covered - 1].term == m_snapshot.term;
    const std::uint64_t dropped = matches ? covered : m_entries.size();
    m_entries.erase(m_entries.begin(), m_entries.begin() + static_cast<std::ptrdiff_t>(dropped));
    m_base = {m_snapshot.index, m_snapshot.term};
}

} // namespace bamboomoor::storage
