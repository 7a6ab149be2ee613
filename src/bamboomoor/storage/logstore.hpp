/**
 * The files of a voter: a log of checksummed records, and a snapshot that replaces its beginning.
 */
#pragma once

#include "bamboomoor/base/outcome.hpp"
#include "bamboomoor/consensus/inputs.hpp"
#include "bamboomoor/consensus/types.hpp"

#include <memory>
#include <string>

namespace bamboomoor::storage
{

/** @brief Why the files cannot be used; the store must not be used again. */
struct StorageError {
    // One line that names the file and, for a damaged one, the offset in bytes.
    std::string message;
};

struct Opened;

/** @brief The files of one voter in one folder; used by one thread. */
class LogStore
{
public:
    ~LogStore();
    LogStore(const LogStore &) = delete;
    LogStore &operator=(const LogStore &) = delete;

    /**
     * @brief Opens or makes the files; a torn record at the end of the log is cut off.
     * @param folder The data folder; made when it is missing.
     * @return The store with what it held, or why the files cannot be used, such as a damaged middle.
     */
    [[nodiscard]] static base::Result<Opened, StorageError> open(const std::string &folder);

    /**
     * @brief Writes a piece of work and syncs it; after a failure nothing is known to be on disk.
     * @param work The work.
     * @return Nothing, or what failed.
     */
    [[nodiscard]] base::Result<void, StorageError> persist(const consensus::Persist &work);

private:
    explicit LogStore(std::string folder);

    [[nodiscard]] base::Result<void, StorageError> openLog();
    [[nodiscard]] base::Result<void, StorageError> append(const std::string &bytes);
    [[nodiscard]] base::Result<void, StorageError> writeSnapshot(const consensus::Snapshot &snapshot);
    [[nodiscard]] base::Result<void, StorageError> rewriteLog();
    void remember(const consensus::Persist &work);

    const std::string m_folder;
    // -1 before openLog().
    int m_log = -1;
    // What the files hold, so that the log can be written anew behind a snapshot; its snapshot has no data.
    consensus::Recovered m_held;
};

/** @brief An open store and what it held. */
struct Opened {
    std::unique_ptr<LogStore> store;
    consensus::Recovered recovered;
};

} // namespace bamboomoor::storage
