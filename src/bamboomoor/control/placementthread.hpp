/**
 * Provides the placement thread. While this voter is the leader, the thread passes worker reports and demand to the
 * planner, commits the planner's intents, sends its orders to the workers, and returns the draining replicas to the
 * entries.
 */
#pragma once

#include "bamboomoor/base/clock.hpp"
#include "bamboomoor/base/ring.hpp"
#include "bamboomoor/control/crashreports.hpp"
#include "bamboomoor/control/demandreceiver.hpp"
#include "bamboomoor/control/suspecttracker.hpp"
#include "bamboomoor/control/voterthread.hpp"
#include "bamboomoor/http/client.hpp"
#include "bamboomoor/membership/registry.hpp"
#include "bamboomoor/peer/server.hpp"
#include "bamboomoor/placement/planner.hpp"

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <variant>
#include <vector>

namespace bamboomoor::control
{

/** @brief Returns the live upstreams; may be called from another thread than the registry's. */
using ListUpstreams = std::function<std::vector<membership::Entry>()>;

/** @brief Settings of the placement thread. */
struct PlacementThreadOptions {
    placement::PlannerOptions planner;
    // Time between two planning rounds.
    base::Millis interval{500};
    // An entry that has not reported for this long no longer routes requests, because its configuration has become
    // stale; its demand and drains are ignored.
    base::Millis entryTimeout{5'000};
    // When upstreams that entries lost attempts at are inspected, and the time for their response.
    SuspectOptions suspects;
    base::Millis inspectionTimeout{400};
    quarantine::CrashAnalysisOptions crashes;
};

/** @brief Runs the placement planner on the leader. */
class PlacementThread final : public VoterObserver, public DemandReceiver, private CrashReportEffects
{
public:
    /**
     * @brief Creates the object without starting its thread.
     * @param options The settings.
     * @param voter Commits the intents; must outlive this object.
     * @param upstreams Returns the live upstreams.
     * @param client Sends the orders; must outlive this object.
     * @param clock The source of time; must outlive this object.
     */
    PlacementThread(PlacementThreadOptions options, VoterThread &voter, ListUpstreams upstreams, http::Client &client,
        const base::Clock &clock);
    ~PlacementThread() override;
    PlacementThread(const PlacementThread &) = delete;
    PlacementThread &operator=(const PlacementThread &) = delete;

    /** @brief Starts the thread. */
    void start();

    /** @brief Stops and joins the thread; pending reports are answered as on a voter that is not the leader. */
    void stop();

    void report(const peer::wire::DemandReport &request, peer::Answer<peer::wire::DemandReply> answer) override;

    void onLeading(std::uint64_t term, const state::Machine &machine) override;
    void onNotLeading() override;
    void onConfiguration(const state::Machine &machine) override;

private:
    struct ReportEvent {
        peer::wire::DemandReport request;
        peer::Answer<peer::wire::DemandReply> answer;
    };
    struct Leading {
        std::uint64_t term = 0;
        placement::BecomeLeader input;
        placement::Catalogue catalogue;
        // The recorded quarantines.
        std::map<std::string, std::int64_t> quarantines;
    };
    struct NotLeading {
    };
    struct CatalogueChanged {
        placement::Catalogue catalogue;
    };
    // The result of a proposal, or of an order sent to an upstream.
    struct PlannerInput {
        std::uint64_t term = 0;
        placement::Input input;
    };
    struct InspectionDone {
        std::uint64_t term = 0;
        std::string upstream;
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
    using Event = std::variant<ReportEvent, Leading, NotLeading, CatalogueChanged, PlannerInput, InspectionDone,
        QuarantinesRecorded>;
    using Drain = std::pair<std::string, placement::ModelRef>;
    struct EntryReport {
        base::Millis at;
        std::vector<placement::DemandSample> demand;
        std::set<Drain> drained;
    };
    class OrderListener;
    class InspectionListener;

    void run();
    void on(ReportEvent &event);
    void on(Leading &event);
    void on(NotLeading &event);
    void on(CatalogueChanged &event);
    void on(PlannerInput &event);
    void on(InspectionDone &event);
    void on(QuarantinesRecorded &event);
    void log(const base::LogLine &line) override;
    void inspect(const std::string &upstream) override;
    void startInspection(const std::string &upstream);
    void countQuarantine() override;
    void record(const QuarantineRecord &record) override;
    void refuse(ReportEvent &event) const;
    void post(Event event);
    void decide();
    void feedReports();
    void feedDemand();
    void confirmDrains();
    void step(const placement::Input &input);
    void execute(const placement::ProposeIntent &output);
    void execute(const placement::SendOrder &output);
    void execute(const placement::ProposeClose &output);
    void execute(const placement::StartDrain &output);
    void execute(const placement::StopDrain &output);
    void execute(const placement::StatusLine &output);

    PlacementThreadOptions m_options;
    VoterThread &m_voter;
    ListUpstreams m_upstreams;
    http::Client &m_client;
    const base::Clock &m_clock;
    base::Ring<Event> m_ring;
    std::thread m_thread;
    std::atomic<bool> m_stopping{false};

    // Accessed by this object's thread only.
    placement::Planner m_planner;
    // 0 while this voter is not the leader.
    std::uint64_t m_term = 0;
    base::Millis m_nextDecision;
    // Incarnation and sequence number of the latest report passed to the planner, by upstream.
    std::map<std::string, std::pair<std::uint64_t, std::uint64_t>> m_reported;
    std::map<std::string, EntryReport> m_entries;
    std::set<Drain> m_draining;
    // Starts with the recorded quarantines at each leadership; the entries report again what they know.
    CrashReports m_crashes;
    SuspectTracker m_suspects;
};

} // namespace bamboomoor::control
