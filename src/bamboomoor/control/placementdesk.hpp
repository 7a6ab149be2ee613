/**
 * The thread of placement: while this voter leads, it feeds the planner with reports and demand, commits its intents,
 * sends its orders, and tells the entries what drains.
 */
#pragma once

#include "bamboomoor/base/clock.hpp"
#include "bamboomoor/base/ring.hpp"
#include "bamboomoor/control/demandtaker.hpp"
#include "bamboomoor/control/voterdesk.hpp"
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

/** @brief Lists the live upstreams, for a reader on another thread. */
using ListUpstreams = std::function<std::vector<membership::Entry>()>;

/** @brief The settings of the thread. */
struct PlacementDeskOptions {
    placement::PlannerOptions planner;
    // Between two decisions.
    base::Millis interval{500};
    // An entry that has not reported for this time routes nothing any more, as its configuration is not fresh.
    base::Millis entrySilence{5'000};
};

/** @brief Runs the planner at the leader. */
class PlacementDesk final : public VoterWatcher, public DemandTaker
{
public:
    /**
     * @brief Makes a desk that does not run yet.
     * @param options The settings.
     * @param voter Commits the intents; outlives the desk.
     * @param upstreams Lists the live upstreams.
     * @param client Sends the orders; outlives the desk.
     * @param clock The time; outlives the desk.
     */
    PlacementDesk(PlacementDeskOptions options, VoterDesk &voter, ListUpstreams upstreams, http::Client &client,
        const base::Clock &clock);
    ~PlacementDesk() override;
    PlacementDesk(const PlacementDesk &) = delete;
    PlacementDesk &operator=(const PlacementDesk &) = delete;

    /** @brief Starts the thread. */
    void start();

    /** @brief Ends the thread. */
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
    };
    struct NotLeading {
    };
    struct CatalogueChanged {
        placement::Catalogue catalogue;
    };
    // A verdict on a proposal, or an upstream's answer.
    struct Told {
        std::uint64_t term = 0;
        placement::Input input;
    };
    using Event = std::variant<ReportEvent, Leading, NotLeading, CatalogueChanged, Told>;
    using Drain = std::pair<std::string, placement::ModelRef>;
    struct EntryReport {
        base::Millis at;
        std::vector<placement::DemandSample> demand;
        std::set<Drain> drained;
    };
    class OrderListener;

    void run();
    void on(ReportEvent &event);
    void on(Leading &event);
    void on(NotLeading &event);
    void on(CatalogueChanged &event);
    void on(Told &event);
    void refuse(ReportEvent &event) const;
    void post(Event event);
    void decide();
    void feedReports();
    void feedDemand();
    void confirmDrains();
    void step(const placement::Input &input);
    void carryOut(const placement::ProposeIntent &output);
    void carryOut(const placement::SendOrder &output);
    void carryOut(const placement::ProposeClose &output);
    void carryOut(const placement::StartDrain &output);
    void carryOut(const placement::StopDrain &output);
    void carryOut(const placement::StatusLine &output);

    PlacementDeskOptions m_options;
    VoterDesk &m_voter;
    ListUpstreams m_upstreams;
    http::Client &m_client;
    const base::Clock &m_clock;
    base::Ring<Event> m_ring;
    std::thread m_thread;
    std::atomic<bool> m_stopping{false};

    // Used by the desk's thread only.
    placement::Planner m_planner;
    // 0 while this voter does not lead.
    std::uint64_t m_term = 0;
    base::Millis m_nextDecision;
    // Incarnation and sequence of the latest report of each upstream that the planner knows.
    std::map<std::string, std::pair<std::uint64_t, std::uint64_t>> m_reported;
    std::map<std::string, EntryReport> m_entries;
    std::set<Drain> m_draining;
};

} // namespace bamboomoor::control
