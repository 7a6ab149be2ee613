/**
 * Provides the residency thread. While this voter is the leader, the thread passes the entries' demand to the residency
 * planner, sends its orders to the workers, and returns the draining replicas to the entries.
 */
#pragma once

#include "bamboomoor/base/clock.hpp"
#include "bamboomoor/base/eventlog.hpp"
#include "bamboomoor/base/ring.hpp"
#include "bamboomoor/control/crashreports.hpp"
#include "bamboomoor/control/demandreceiver.hpp"
#include "bamboomoor/control/suspecttracker.hpp"
#include "bamboomoor/control/voterthread.hpp"
#include "bamboomoor/entry/upstreambook.hpp"
#include "bamboomoor/gateway/decisionschedule.hpp"
#include "bamboomoor/gateway/dialect.hpp"
#include "bamboomoor/gateway/entrydirectory.hpp"
#include "bamboomoor/gateway/fwd.hpp"
#include "bamboomoor/gateway/planreply.hpp"
#include "bamboomoor/gateway/waitingtotals.hpp"
#include "bamboomoor/http/client.hpp"
#include "bamboomoor/lineage/originauthority.hpp"
#include "bamboomoor/lineage/softwarerecorder.hpp"
#include "bamboomoor/placement/residency.hpp"
#include "bamboomoor/standing/coldperiods.hpp"
#include "bamboomoor/standing/permitauthority.hpp"
#include "bamboomoor/standing/roomauthority.hpp"

#include <atomic>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <variant>
#include <vector>

namespace bamboomoor::gateway
{

/** @brief Settings of the residency thread. */
struct ResidencyThreadOptions {
    // Name of this control VM in its orders.
    std::string vm;
    placement::ResidencyOptions plan;
    standing::PermitOptions permits;
    // Maximum time between two decisions.
    base::Millis interval{200};
    // Minimum time between two decisions; a few hundred entries each report several times a second.
    base::Millis spacing{50};
    // Timeout of a worker's response.
    base::Millis timeout{1'000};
    base::Millis connectTimeout{400};
    // Maximum bytes of a worker's response.
    std::size_t maxAnswerBytes = 262'144;
    // An order that could not be sent by then is dropped: its preconditions, such as the leadership, may have changed.
    base::Millis startTimeout{400};
    // For how long a worker is listed after its last announcement.
    base::Millis upstreamLease{3'000};
    // A worker whose lease expires within this time has missed an announcement and is inspected.
    base::Millis minRemainingLease{2'400};
    // When a worker that entries report as unreachable, or that missed an announcement, counts as such.
    control::SuspectOptions suspects;
    // Lifetime of an entry's report of the requests that it has waiting.
    base::Millis loadAge{1'500};
    // A round of events and a decision that takes longer is logged, at most once per such period.
    base::Millis slowRound{500};
    // Lifetime of an entry's report that it forwards requests, and how many of these others are told of.
    base::Millis entryAge{1'500};
    std::size_t peers = 6;
    // Maximum age of the last quorum confirmation of the leadership when an order is sent; below the election timeout,
    // after which another voter may have become leader.
    base::Millis leadershipMaxAge{600};
    // The entries have repeated their streams to a new leader after this time; an unknown origin is not final before.
    base::Millis originSettling{1'000};
};

/** @brief Dependencies of the residency thread; all must outlive it. */
struct ResidencyThreadContext {
    const base::Clock &clock;
    control::VoterThread &voter;
    const entry::UpstreamBook &upstreams;
    http::Client &client;
    const OrderDialect &dialect;
    ControlMetrics &metrics;
    base::EventLog &log;
};

/** @brief Adapts the loaded models and adapters to the demand. */
class ResidencyThread final : public control::VoterObserver,
                              public control::DemandReceiver,
                              private control::CrashReportEffects
{
public:
    /** @brief Creates the object without starting its thread. @param options The settings. @param context Dependencies.
     */
    ResidencyThread(ResidencyThreadOptions options, ResidencyThreadContext context);
    ~ResidencyThread() override;
    ResidencyThread(const ResidencyThread &) = delete;
    ResidencyThread &operator=(const ResidencyThread &) = delete;

    /** @brief Starts the thread. */
    void start();

    /** @brief Stops and joins the thread. */
    void stop();

    void report(const peer::wire::DemandReport &request, peer::Answer<peer::wire::DemandReply> answer) override;

    void resolveOrigin(const peer::wire::OriginRequest &request, const std::set<std::string> &versions,
        peer::Answer<peer::wire::OriginReply> answer) override;

    void onLeading(std::uint64_t term, const state::Machine &machine) override;
    void onNotLeading() override;
    void onConfiguration(const state::Machine &machine) override;
    void onEvacuations(const state::Machine &machine) override;

private:
    using Engines = std::map<std::string, placement::EngineSpec>;
    struct ReportEvent {
        peer::wire::DemandReport request;
        peer::Answer<peer::wire::DemandReply> answer;
    };
    struct Leading {
        std::uint64_t term = 0;
        Engines engines;
        // The recorded quarantines.
        std::map<std::string, std::int64_t> quarantines;
        // The recorded software versions.
        lineage::SoftwareVersions software;
        std::set<std::string> evacuated;
        standing::ColdLimits coldLimits;
    };
    struct OriginEvent {
        lineage::Question question;
        peer::Answer<peer::wire::OriginReply> answer;
    };
    struct SoftwareRecorded {
        std::uint64_t term = 0;
        std::uint64_t number = 0;
        bool committed = false;
    };
    struct NotLeading {
    };
    struct ConfigurationChanged {
        Engines engines;
        standing::ColdLimits coldLimits;
    };
    struct EvacuationsChanged {
        std::set<std::string> evacuated;
    };
    struct OrderDone {
        std::uint64_t term = 0;
        placement::ResidencyOrder order;
        placement::ResidencyOrderResult verdict = placement::ResidencyOrderResult::Unknown;
        base::Millis sentAt;
        base::Millis endedAt;
    };
    struct InspectionDone {
        std::uint64_t term = 0;
        std::string worker;
        std::optional<placement::InspectionResult> found;
        base::Millis sentAt;
        http::EndKind kind = http::EndKind::Complete;
        // 0 without a response.
        int status = 0;
    };
    struct QuarantinesRecorded {
        std::uint64_t term = 0;
        std::uint64_t number = 0;
        bool committed = false;
    };
    using Event = std::variant<ReportEvent, Leading, NotLeading, ConfigurationChanged, OrderDone, InspectionDone,
        QuarantinesRecorded, OriginEvent, SoftwareRecorded, EvacuationsChanged>;
    class OrderListener;
    class InspectionListener;

    void run();
    void on(ReportEvent &event);
    void on(Leading &event);
    void on(NotLeading &event);
    void on(ConfigurationChanged &event);
    void on(EvacuationsChanged &event);
    void on(OrderDone &event);
    void on(InspectionDone &event);
    void on(QuarantinesRecorded &event);
    void on(OriginEvent &event);
    void on(SoftwareRecorded &event);
    void answerOrigins(const std::vector<lineage::Answer> &answers);
    void abandonOrigins();
    void exchangeStreams(const peer::wire::DemandReport &request, peer::wire::DemandReply &reply);
    void recordSoftware(base::Millis now, const std::vector<membership::Entry> &upstreams);
    void post(Event event);
    void takeEvents();
    void decide();
    void noteRound(std::size_t events, base::Millis began, base::Millis eventsEnded);
    void suspect(const std::string &worker);
    void exchangeLoads(const peer::wire::DemandReport &request, peer::wire::DemandReply &reply);
    void exchangeSignals(const peer::wire::DemandReport &request, peer::wire::DemandReply &reply);
    void exchangePeers(const peer::wire::DemandReport &request, peer::wire::DemandReply &reply);
    void log(const base::LogLine &line) override;
    void inspect(const std::string &upstream) override;
    void countQuarantine() override;
    void record(const control::QuarantineRecord &record) override;
    void takeRoomReport(
        base::Millis now, const std::string &vm, const standing::Run &run, const standing::RoomReport &report);
    [[nodiscard]] control::Connection connectionOf(const InspectionDone &event) const;
    void updateWorkers(base::Millis now);
    [[nodiscard]] bool hasConfirmedLeadership(base::Millis now) const;
    void send(const placement::ResidencyOrder &order);
    void inspect(const placement::Inspection &inspection);
    void inspectSuspect(const std::string &worker);
    [[nodiscard]] http::Call limited(http::Call call) const;

    ResidencyThreadOptions m_options;
    ResidencyThreadContext m_context;
    base::Ring<Event> m_ring;
    std::thread m_thread;
    std::atomic<bool> m_stopping{false};

    // Accessed by this object's thread only.
    std::optional<placement::Residency> m_plan;
    WaitingTotals m_waiting;
    EntryDirectory m_entries;
    // New with each leadership.
    std::string m_peerToken;
    // Reset with each leadership.
    standing::PermitAuthority m_permits;
    standing::RoomAuthority m_rooms;
    // Starts with the recorded quarantines at each leadership; the entries report again what they know.
    control::CrashReports m_crashes;
    // Both start anew with each leadership; the entries report their streams again.
    lineage::OriginAuthority m_origins;
    lineage::SoftwareRecorder m_software;
    // The answers to held questions, by number.
    std::map<std::uint64_t, peer::Answer<peer::wire::OriginReply>> m_originAnswers;
    std::uint64_t m_lastQuestion = 0;
    // When this leadership began.
    base::Millis m_leadingSince;
    PlanReply m_planReply;
    DecisionSchedule m_schedule;
    control::SuspectTracker m_suspects;
    // The data centres whose upstreams get no requests, and the upstreams that take few.
    standing::ColdPeriods m_cold;
    // When this VM started to receive announcements.
    base::Millis m_listeningSince;
    // 0 while this voter is not the leader.
    std::uint64_t m_term = 0;
    // When a slow round was last logged.
    base::Millis m_slowLoggedAt;
    // Set once a worker has seen a newer leader; no further orders are sent in this term.
    bool m_fenced = false;
};

} // namespace bamboomoor::gateway
