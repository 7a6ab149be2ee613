/**
 * What the leader of a control group does with the entries' reports on attempts that were lost in crashes: it collects
 * them, has the upstreams inspected, tells the entries what is quarantined, and has that recorded.
 */
#pragma once

#include "bamboomoor/base/clock.hpp"
#include "bamboomoor/base/eventlog.hpp"
#include "bamboomoor/control/quarantinerecorder.hpp"
#include "bamboomoor/quarantine/crashanalysis.hpp"
#include "bamboomoor/standing/upstreamsignal.hpp"

#include "peer.pb.h"

#include <cstdint>
#include <map>
#include <string>

namespace bamboomoor::control
{

/** @brief What CrashReports asks of its owner. */
class CrashReportEffects
{
public:
    virtual ~CrashReportEffects() = default;

    /** @brief Writes a log line. @param line The line. */
    virtual void log(const base::LogLine &line) = 0;
    /** @brief Finds out whether an upstream accepts connections; if it does not, onUnreachable() is called. @param
     * upstream Its id. */
    virtual void inspect(const std::string &upstream) = 0;
    /** @brief Counts a quarantine that the leader decided on. */
    virtual void countQuarantine() = 0;
    /** @brief Proposes recordCommand() with the quarantines; the verdict goes to onRecorded(). @param record The
     * record.
     */
    virtual void record(const QuarantineRecord &record) = 0;
};

/** @brief Collects reports on lost attempts while this voter leads. Not thread-safe. */
class CrashReports
{
public:
    /** @brief Starts without evidence. @param options The settings of the analysis. */
    explicit CrashReports(quarantine::CrashAnalysisOptions options = {}) noexcept
        : m_analysis(options)
        , m_recorder({.maxTime = options.maxQuarantineTime, .tolerance = options.clockTolerance})
    {
    }

    /**
     * @brief Takes over what an earlier leader had recorded, so that entries learn it with their first report.
     * @param now The current time.
     * @param wallNow The calendar time.
     * @param term The term in which this voter leads.
     * @param ends The ends of the recorded quarantines in milliseconds since the Unix epoch, by subject.
     * @param effects What the owner does.
     */
    void begin(base::Millis now, base::Millis wallNow, std::uint64_t term,
        const std::map<std::string, std::int64_t> &ends, CrashReportEffects &effects);

    /**
     * @brief Takes an entry's report and adds what the entry is told to the reply.
     * @param now The current time.
     * @param term The term in which this voter leads.
     * @param request The report.
     * @param reply The reply.
     * @param effects What the owner does.
     */
    void exchange(base::Millis now, std::uint64_t term, const peer::wire::DemandReport &request,
        peer::wire::DemandReply &reply, CrashReportEffects &effects);

    /**
     * @brief Takes the verdict on a proposal of the same term.
     * @param term The term.
     * @param number The number of the record.
     * @param committed False if it was rejected, or may or may not be committed.
     * @param effects What the owner does.
     */
    void onRecorded(std::uint64_t term, std::uint64_t number, bool committed, CrashReportEffects &effects);

    /** @brief Records that an upstream accepts no connection. @param now The current time. @param upstream Its id. */
    void onUnreachable(base::Millis now, const std::string &upstream)
    {
        m_analysis.onUnreachable(now, upstream);
    }

    /** @brief Records the running incarnation of an upstream. @param now The current time. @param run The incarnation.
     */
    void onRun(base::Millis now, const standing::Run &run)
    {
        m_analysis.onRun(now, run);
    }

    /** @brief Tells whether onRun() may confirm a crash. */
    [[nodiscard]] bool hasUnconfirmed() const noexcept
    {
        return m_analysis.hasUnconfirmed();
    }

private:
    quarantine::CrashAnalysis m_analysis;
    QuarantineRecorder m_recorder;
};

} // namespace bamboomoor::control
