/**
 * Implements the thread that writes a voter's log.
 */
#include "bamboomoor/control/logwriter.hpp"

#include <utility>

namespace bamboomoor::control
{

namespace
{

constexpr std::size_t QUEUE_SIZE = 1'024;
constexpr base::Millis IDLE_WAIT{1'000};

} // namespace

LogWriter::LogWriter(storage::LogStore &store, const base::Clock &clock, std::function<void(LogWritten)> done)
    : m_store(store)
    , m_clock(clock)
    , m_done(std::move(done))
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
    m_queue.close();
    if (m_thread.joinable()) {
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
        const auto result = writeQueued(*std::move(data), written);
        written.took = m_clock.now() - began;
        if (!result) {
            written.error = storage::describe(result.error());
            m_done(std::move(written));
            return;
        }
        m_done(std::move(written));
    }
}

storage::Result<void> LogWriter::writeQueued(consensus::Persist data, LogWritten &written)
{
    std::optional<consensus::Persist> next(std::move(data));
    while (next) {
        written.sequence = next->sequence;
        written.entries += next->entries.size();
        written.hasSnapshot = written.hasSnapshot || next->snapshot.has_value();
        BOOST_OUTCOME_TRY(m_store.persist(*next));
        next = m_queue.pop({0});
    }
    return m_store.sync();
}

} // namespace bamboomoor::control
