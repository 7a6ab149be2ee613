/**
 * The files of a voter. The file `log` holds hard states and entries; a later hard state replaces an earlier one, and
 * an entry drops all entries from its index on. The file `snapshot` holds one record.
 */
#include "bamboomoor/storage/logstore.hpp"
#include "bamboomoor/base/overloaded.hpp"
#include "bamboomoor/storage/record.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <utility>

namespace bamboomoor::storage
{

namespace
{

using internal::Record;
using Status = base::Result<void, StorageError>;

StorageError systemError(const std::string &file, const char *what)
{
    return {file + ": " + what + ": " + std::strerror(errno)};
}

Status writeAll(int fd, const std::string &bytes, const std::string &file)
{
    std::size_t written = 0;
    while (written < bytes.size()) {
        const ssize_t n = ::write(fd, bytes.data() + written, bytes.size() - written);
        if (n < 0 && errno == EINTR) {
            continue;
        }
        if (n < 0) {
            return base::failure(systemError(file, "write"));
        }
        written += static_cast<std::size_t>(n);
    }
    return base::success();
}

Status syncFolder(const std::string &folder)
{
    const int fd = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    const bool synced = fd >= 0 && ::fsync(fd) == 0;
    const Status status = synced ? Status(base::success()) : base::failure(systemError(folder, "sync"));
    if (fd >= 0) {
        ::close(fd);
    }
    return status;
}

/** @brief Puts a file in place as a whole: written beside it, synced, renamed, and the folder synced. */
Status replaceFile(const std::string &folder, const std::string &name, const std::string &bytes)
{
    const std::string file = folder + '/' + name;
    const std::string temporary = file + ".new";
    const int fd = ::open(temporary.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
    if (fd < 0) {
        return base::failure(systemError(temporary, "open"));
    }
    Status status = writeAll(fd, bytes, temporary);
    if (status && ::fsync(fd) != 0) {
        status = base::failure(systemError(temporary, "sync"));
    }
    ::close(fd);
    if (status && ::rename(temporary.c_str(), file.c_str()) != 0) {
        status = base::failure(systemError(file, "rename"));
    }
    return status ? syncFolder(folder) : status;
}

std::string readFile(const std::string &file)
{
    std::ifstream in(file, std::ios::binary);
    return {std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
}

/** @brief Tells whether a whole record begins anywhere in bytes, which a torn tail never shows. */
bool holdsRecord(std::string_view bytes)
{
    for (std::size_t n = 1; n < bytes.size(); ++n) {
        if (internal::decode(bytes.substr(n))) {
            return true;
        }
    }
    return false;
}

void addEntry(consensus::Recovered &held, consensus::Entry entry)
{
    const std::uint64_t first = held.snapshot.index + 1;
    if (entry.index < first) {
        return;
    }
    const std::size_t keep = std::min<std::size_t>(held.entries.size(), entry.index - first);
    held.entries.resize(keep);
    held.entries.push_back(std::move(entry));
}

} // namespace

LogStore::LogStore(std::string folder)
    : m_folder(std::move(folder))
{
}

LogStore::~LogStore()
{
    if (m_log >= 0) {
        ::close(m_log);
    }
}

base::Result<Opened, StorageError> LogStore::open(const std::string &folder)
{
    std::error_code ec;
    std::filesystem::create_directories(folder, ec);
    if (ec) {
        return base::failure(StorageError{folder + ": " + ec.message()});
    }
    std::unique_ptr<LogStore> store(new LogStore(folder));
    consensus::Recovered &held = store->m_held;
    consensus::Snapshot snapshot;
    if (const std::string bytes = readFile(folder + "/snapshot"); !bytes.empty()) {
        const auto found = internal::decode(bytes);
        if (!found || !std::holds_alternative<consensus::Snapshot>(found->record) || found->bytes != bytes.size()) {
            return base::failure(StorageError{folder + "/snapshot: damaged at offset 0"});
        }
        snapshot = std::get<consensus::Snapshot>(found->record);
        held.snapshot = snapshot;
        held.snapshot.data.clear();
        held.fresh = false;
    }
    const auto status = store->openLog();
    if (!status) {
        return base::failure(status.error());
    }
    consensus::Recovered recovered = held;
    recovered.snapshot = std::move(snapshot);
    return Opened{std::move(store), std::move(recovered)};
}

Status LogStore::openLog()
{
    const std::string file = m_folder + "/log";
    const std::string bytes = readFile(file);
    std::size_t offset = 0;
    while (offset < bytes.size()) {
        auto found = internal::decode(std::string_view(bytes).substr(offset));
        if (!found) {
            break;
        }
        offset += found->bytes;
        m_held.fresh = false;
        std::visit(base::Overloaded{
                       [this](consensus::HardState &it) { m_held.hardState = std::move(it); },
                       [this](consensus::Entry &it) { addEntry(m_held, std::move(it)); },
                       [](consensus::Snapshot &) {},
                   },
                   found->record);
    }
    if (holdsRecord(std::string_view(bytes).substr(offset))) {
        return base::failure(StorageError{file + ": damaged at offset " + std::to_string(offset)});
    }
    m_log = ::open(file.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    if (m_log < 0 || ::ftruncate(m_log, static_cast<off_t>(offset)) != 0 || ::fsync(m_log) != 0) {
        return base::failure(systemError(file, "open"));
    }
    return syncFolder(m_folder);
}

Status LogStore::persist(const consensus::Persist &work)
{
    remember(work);
    if (work.snapshot) {
        BOOST_OUTCOME_TRY(writeSnapshot(*work.snapshot));
        return rewriteLog();
    }
    std::string bytes;
    if (work.hardState) {
        bytes += internal::encode(*work.hardState);
    }
    for (const consensus::Entry &it : work.entries) {
        bytes += internal::encode(it);
    }
    return append(bytes);
}

Status LogStore::append(const std::string &bytes)
{
    if (bytes.empty()) {
        return base::success();
    }
    const std::string file = m_folder + "/log";
    BOOST_OUTCOME_TRY(writeAll(m_log, bytes, file));
    if (::fdatasync(m_log) != 0) {
        return base::failure(systemError(file, "sync"));
    }
    return base::success();
}

Status LogStore::writeSnapshot(const consensus::Snapshot &snapshot)
{
    return replaceFile(m_folder, "snapshot", internal::encode(snapshot));
}

Status LogStore::rewriteLog()
{
    std::string bytes = internal::encode(m_held.hardState);
    for (const consensus::Entry &it : m_held.entries) {
        bytes += internal::encode(it);
    }
    BOOST_OUTCOME_TRY(replaceFile(m_folder, "log", bytes));
    ::close(m_log);
    const std::string file = m_folder + "/log";
    m_log = ::open(file.c_str(), O_WRONLY | O_APPEND | O_CLOEXEC);
    if (m_log < 0) {
        return base::failure(systemError(file, "open"));
    }
    return base::success();
}

void LogStore::remember(const consensus::Persist &work)
{
    if (work.hardState) {
        m_held.hardState = *work.hardState;
    }
    if (work.snapshot) {
        std::erase_if(m_held.entries,
                      [&work](const consensus::Entry &it) { return it.index <= work.snapshot->index; });
        m_held.snapshot = *work.snapshot;
        m_held.snapshot.data.clear();
        const bool gap = !m_held.entries.empty() && m_held.entries.front().index != work.snapshot->index + 1;
        if (gap) {
            m_held.entries.clear();
        }
    }
    for (const consensus::Entry &it : work.entries) {
        addEntry(m_held, it);
    }
}

} // namespace bamboomoor::storage
