/**
 * Implements the thread that writes a voter's log.
 */
#include "bamboomoor/control/logwriter.hpp"

#include <absl/time/time.h>

#include <algorithm>
#include <utility>

namespace bamboomoor::control
{

namespace
{

constexpr std::size_t QUEUE_SIZE = 1'024;
constexpr base::Millis IDLE_WAIT{1'000};
// Pauses between attempts to write; they double from the first to the last.
constexpr base::Millis FIRST_PAUSE{50};
constexpr base::Millis LAST_PAUSE{800};

} // namespace

std::size_t entryBytes(const consensus::Persist &data)
{
    std::size_t bytes = 0;
    for (const consensus::Entry &it : data.entries) {
        bytes += consensus::footprint(it);
    }
    return bytes;
}

LogWriter::LogWriter(storage::LogStore &store, const base::Clock &clock, LogWriterObserver &observer)
    : m_store(store)
    , m_clock(clock)
    , m_observer(observer)
    , m_queue(QUEUE_SIZE)
{
}

LogWriter::~LogWriter()
{
    stop();
}

void LogWriter::start()
{
    m_thread = std::thread([this] {
        run();
    });
}

void LogWriter::stop()
{
    if (m_thread.joinable()) {
        m_queue.close();
        m_stopping.Notify();
        m_thread.join();
    }
}

void LogWriter::write(consensus::Persist data)
{
    m_queue.deliver(std::move(data));
}

void LogWriter::run()
{
    while (true) {
        auto data = m_queue.pop(IDLE_WAIT);
        if (!data) {
            if (m_queue.closed()) {
                return;
            }
            continue;
        }
        LogWritten written;
        const base::Millis began = m_clock.now();
        if (!writeQueued(*std::move(data), written)) {
            return;
        }
        written.took = m_clock.now() - began;
        m_observer.onWritten(written);
    }
}

bool LogWriter::writeQueued(consensus::Persist data, LogWritten &written)
{
    std::optional<consensus::Persist> next(std::move(data));
    while (next) {
        written.sequence = next->sequence;
        written.entries += next->entries.size();
        written.bytes += entryBytes(*next);
        written.hasSnapshot = written.hasSnapshot || next->snapshot.has_value();
        const auto persist = [this, &next] {
            return m_store.persist(*next);
        };
        if (!repeat(persist, written.failures)) {
            return false;
        }
        next = m_queue.pop({0});
    }
    const auto sync = [this] {
        return m_store.sync();
    };
    return repeat(sync, written.failures);
}

bool LogWriter::repeat(const std::function<storage::Result<void>()> &write, int &failures)
{
    base::Millis pause = FIRST_PAUSE;
    auto result = write();
    while (!result) {
        if (failures++ == 0) {
            m_observer.onWriteFailed({storage::describe(result.error())});
        }
        if (m_stopping.WaitForNotificationWithTimeout(absl::Milliseconds(pause.count))) {
            return false;
        }
        pause = std::min(pause * 2, LAST_PAUSE);
        result = write();
    }
    return true;
}

} // namespace bamboomoor::control
