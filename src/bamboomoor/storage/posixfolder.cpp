/**
 * Implements the file operations with POSIX calls relative to an open directory descriptor.
 */
#include "bamboomoor/storage/filesystem.hpp"

#include <algorithm>
#include <cerrno>
#include <cstdint>
#include <cstring>
#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <system_error>
#include <unistd.h>

namespace bamboomoor::storage
{

namespace
{
constexpr mode_t FOLDER_MODE = 0700;
constexpr mode_t FILE_MODE = 0600;
constexpr const char *LOCK_FILE = "lock";

StorageError lastError(StorageErrorKind kind, const std::string &file, const char *operation)
{
    const bool isFull = errno == ENOSPC || errno == EDQUOT;
    const std::string cause = std::generic_category().message(errno);
    return {isFull ? StorageErrorKind::NoSpace : kind, file, 0, std::string(operation) + ": " + cause};
}

/** @brief Closes a file descriptor at the end of a scope. */
class Descriptor
{
public:
    explicit Descriptor(int fd) noexcept
        : m_fd(fd)
    {
    }
    ~Descriptor()
    {
        ::close(m_fd);
    }
    Descriptor(const Descriptor &) = delete;
    Descriptor &operator=(const Descriptor &) = delete;

private:
    const int m_fd;
};

Result<void> writeAll(int fd, const std::string &name, std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t n = ::write(fd, bytes.data(), bytes.size());
        if (n < 0 && errno == EINTR) {
            continue;
        }
        if (n < 0) {
            return base::failure(lastError(StorageErrorKind::Io, name, "write"));
        }
        bytes.remove_prefix(static_cast<std::size_t>(n));
    }
    return base::success();
}
} // namespace

Result<std::unique_ptr<PosixFolder>> PosixFolder::open(const std::string &path)
{
    if (::mkdir(path.c_str(), FOLDER_MODE) != 0 && errno != EEXIST) {
        return base::failure(lastError(StorageErrorKind::Io, path, "mkdir"));
    }
    const int folder = ::open(path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (folder < 0) {
        return base::failure(lastError(StorageErrorKind::Io, path, "open"));
    }
    const int lock = ::openat(folder, LOCK_FILE, O_RDWR | O_CREAT | O_CLOEXEC, FILE_MODE);
    std::unique_ptr<PosixFolder> opened(new PosixFolder(folder, lock));
    if (lock < 0) {
        return base::failure(lastError(StorageErrorKind::Io, LOCK_FILE, "open"));
    }
    if (::flock(lock, LOCK_EX | LOCK_NB) != 0) {
        return base::failure(lastError(StorageErrorKind::Locked, LOCK_FILE, "flock"));
    }
    return opened;
}

PosixFolder::PosixFolder(int folder, int lock) noexcept
    : m_folder(folder)
    , m_lock(lock)
{
}

PosixFolder::~PosixFolder()
{
    for (const auto &[name, fd] : m_writers) {
        ::close(fd);
    }
    if (m_lock >= 0) {
        ::close(m_lock);
    }
    ::close(m_folder);
}

Result<std::optional<std::string>> PosixFolder::read(const std::string &name)
{
    return readPart(name, 0, SIZE_MAX);
}

Result<std::optional<std::string>> PosixFolder::readPart(
    const std::string &name, std::uint64_t offset, std::size_t size)
{
    const int fd = ::openat(m_folder, name.c_str(), O_RDONLY | O_CLOEXEC);
    if (fd < 0) {
        if (errno == ENOENT) {
            return std::optional<std::string>();
        }
        return base::failure(lastError(StorageErrorKind::Io, name, "open"));
    }
    const Descriptor closer(fd);
    const off_t end = ::lseek(fd, 0, SEEK_END);
    if (end < 0 || ::lseek(fd, static_cast<off_t>(offset), SEEK_SET) < 0) {
        return base::failure(lastError(StorageErrorKind::Io, name, "lseek"));
    }
    const std::uint64_t left = static_cast<std::uint64_t>(end) > offset ? static_cast<std::uint64_t>(end) - offset : 0;
    // Its exact size, as a buffer that grows may take twice the memory.
    std::string bytes(std::min<std::uint64_t>(left, size), '\0');
    std::size_t done = 0;
    while (done < bytes.size()) {
        const ssize_t n = ::read(fd, bytes.data() + done, bytes.size() - done);
        if (n < 0 && errno == EINTR) {
            continue;
        }
        if (n < 0) {
            return base::failure(lastError(StorageErrorKind::Io, name, "read"));
        }
        if (n == 0) {
            break;
        }
        done += static_cast<std::size_t>(n);
    }
    bytes.resize(done);
    return std::optional<std::string>(std::move(bytes));
}

Result<void> PosixFolder::overwrite(const std::string &name, std::uint64_t offset, std::string_view bytes)
{
    // A descriptor of its own: writes of the other one always append.
    const int fd = ::openat(m_folder, name.c_str(), O_WRONLY | O_CLOEXEC);
    if (fd < 0) {
        return base::failure(lastError(StorageErrorKind::Io, name, "open"));
    }
    const Descriptor closer(fd);
    if (::lseek(fd, static_cast<off_t>(offset), SEEK_SET) < 0) {
        return base::failure(lastError(StorageErrorKind::Io, name, "lseek"));
    }
    return writeAll(fd, name, bytes);
}

Result<int> PosixFolder::writer(const std::string &name)
{
    const auto it = m_writers.find(name);
    if (it != m_writers.end()) {
        return it->second;
    }
    const int fd = ::openat(m_folder, name.c_str(), O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, FILE_MODE);
    if (fd < 0) {
        return base::failure(lastError(StorageErrorKind::Io, name, "open"));
    }
    m_writers[name] = fd;
    return fd;
}

void PosixFolder::closeWriter(const std::string &name) noexcept
{
    const auto it = m_writers.find(name);
    if (it != m_writers.end()) {
        ::close(it->second);
        m_writers.erase(it);
    }
}

Result<void> PosixFolder::append(const std::string &name, std::string_view bytes)
{
    BOOST_OUTCOME_TRY(fd, writer(name));
    return writeAll(fd, name, bytes);
}

Result<void> PosixFolder::truncate(const std::string &name, std::uint64_t size)
{
    BOOST_OUTCOME_TRY(fd, writer(name));
    if (::ftruncate(fd, static_cast<off_t>(size)) != 0) {
        return base::failure(lastError(StorageErrorKind::Io, name, "ftruncate"));
    }
    return base::success();
}

Result<void> PosixFolder::sync(const std::string &name)
{
    BOOST_OUTCOME_TRY(fd, writer(name));
    if (::fsync(fd) != 0) {
        return base::failure(lastError(StorageErrorKind::Sync, name, "fsync"));
    }
    return base::success();
}

Result<void> PosixFolder::rename(const std::string &from, const std::string &to)
{
    closeWriter(from);
    closeWriter(to);
    if (::renameat(m_folder, from.c_str(), m_folder, to.c_str()) != 0) {
        return base::failure(lastError(StorageErrorKind::Io, from, "rename"));
    }
    return base::success();
}

Result<void> PosixFolder::remove(const std::string &name)
{
    closeWriter(name);
    if (::unlinkat(m_folder, name.c_str(), 0) != 0 && errno != ENOENT) {
        return base::failure(lastError(StorageErrorKind::Io, name, "unlink"));
    }
    return base::success();
}

Result<void> PosixFolder::syncFolder()
{
    if (::fsync(m_folder) != 0) {
        return base::failure(lastError(StorageErrorKind::Sync, ".", "fsync"));
    }
    return base::success();
}

} // namespace bamboomoor::storage
