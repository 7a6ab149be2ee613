/**
 * The thread that runs the residency's plan while this voter leads: it takes the entries' demand, sends orders to
 * workers, and tells the entries what drains.
 */
#pragma once

#include "bamboomoor/base/clock.hpp"
#include "bamboomoor/base/eventlog.hpp"
#include "bamboomoor/base/ring.hpp"
#include "bamboomoor/control/demandtaker.hpp"
#include "bamboomoor/control/voterdesk.hpp"
#include "bamboomoor/entry/upstreambook.hpp"
#include "bamboomoor/gateway/decisionpace.hpp"
#include "bamboomoor/gateway/dialect.hpp"
#include "bamboomoor/gateway/fwd.hpp"
#include "bamboomoor/gateway/waitingtotals.hpp"
#include "bamboomoor/http/client.hpp"
#include "bamboomoor/placement/residency.hpp"
#include "bamboomoor/standing/permitbook.hpp"

#include <atomic>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <thread>
#include <variant>

namespace bamboomoor::gateway
{

/** @brief The settings of the thread. */
struct ResidencyDeskOptions {
    // This control VM, as it names itself in orders.
    std::string vm;
    placement::ResidencyOptions plan;
    standing::PermitOptions permits;
    // Between two decisions without news.
    base::Millis interval{200};
    // Between two decisions at least; some hundred entries report several times a second.
    base::Millis spacing{50};
    // The longest wait for a worker's answer.
    base::Millis timeout{1'000};
    base::Millis connectTimeout{400};
    // An order that has not left by then is given up: what it rests on, such as the leadership, may have changed.
    base::Millis startTimeout{400};
    // A worker whose announcement counts no longer than this has missed one, and is looked at.
    base::Millis overdue{2'400};
    // Between two looks at a worker that entries cannot reach.
    base::Millis suspicion{500};
    // An entry's word of what it has waiting is forgotten after this time.
    base::Millis loadAge{1'500};
    // A round of events and a decision that takes longer is told, once in each such time.
    base::Millis slowRound{500};
    // How old the last confirmation of the leadership by a quorum may be when an order is sent; less than the
    // election timeout, after which another one may lead.
    base::Millis leadership{600};
};

/** @brief What the thread works with; all outlives it. */
struct ResidencyDeskContext {
    const base::Clock &clock;
    const control::VoterDesk &voter;
    const entry::UpstreamBook &upstreams;
    http::Client &client;
    const OrderDialect &dialect;
    ControlMetrics &metrics;
    base::EventLog &log;
};

/** @brief Follows the demand for models and adapters. */
class ResidencyDesk final : public control::VoterWatcher, public control::DemandTaker
{
public:
    /** @brief Makes a desk that does not run yet. @param options The settings. @param context What it works with. */
    ResidencyDesk(ResidencyDeskOptions options, ResidencyDeskContext context);
    ~ResidencyDesk() override;
    ResidencyDesk(const ResidencyDesk &) = delete;
    ResidencyDesk &operator=(const ResidencyDesk &) = delete;

    /** @brief Starts the thread. */
    void start();

    /** @brief Ends the thread. */
    void stop();

    void report(const peer::wire::DemandReport &request, peer::Answer<peer::wire::DemandReply> answer) override;

    void onLeading(std::uint64_t term, const state::Machine &machine) override;
    void onNotLeading() override;
    void onConfiguration(const state::Machine &machine) override;

private:
    using Engines = std::map<std::string, placement::EngineSpec>;
    struct ReportEvent {
        peer::wire::DemandReport request;
        peer::Answer<peer::wire::DemandReply> answer;
    };
    struct Leading {
        std::uint64_t term = 0;
        Engines engines;
    };
    struct NotLeading {
    };
    struct Configured {
        Engines engines;
    };
    struct Ordered {
        std::uint64_t term = 0;
        placement::ResidencyOrder order;
        placement::OrderVerdict verdict = placement::OrderVerdict::Unknown;
        base::Millis sentAt;
        base::Millis endedAt;
    };
    struct Looked {
        std::uint64_t term = 0;
        std::string worker;
        std::optional<placement::Inspected> found;
        // The worker accepted no connection.
        bool unreachable = false;
    };
    using Event = std::variant<ReportEvent, Leading, NotLeading, Configured, Ordered, Looked>;
    class OrderListener;
    class LookListener;

    void run();
    void on(ReportEvent &event);
    void on(Leading &event);
    void on(NotLeading &event);
    void on(Configured &event);
    void on(Ordered &event);
    void on(Looked &event);
    void post(Event event);
    void takeEvents();
    void decide();
    void noteRound(std::size_t events, base::Millis began, base::Millis eventsEnded);
    void suspect(const std::string &worker);
    void exchangeLoads(const peer::wire::DemandReport &request, peer::wire::DemandReply &reply);
    void exchangeWords(const peer::wire::DemandReport &request, peer::wire::DemandReply &reply);
    void takeWorkers(base::Millis now);
    [[nodiscard]] bool surelyLeads(base::Millis now) const;
    void send(const placement::ResidencyOrder &order);
    void look(const placement::Inspection &inspection);
    [[nodiscard]] http::Call limited(http::Call call) const;

    ResidencyDeskOptions m_options;
    ResidencyDeskContext m_context;
    base::Ring<Event> m_ring;
    std::thread m_thread;
    std::atomic<bool> m_stopping{false};

    // Used by the thread only.
    std::optional<placement::Residency> m_plan;
    WaitingTotals m_waiting;
    // Of this leadership.
    standing::PermitBook m_permits;
    DecisionPace m_pace;
    // Workers that entries could not reach, and when they were last looked at for it.
    std::map<std::string, base::Millis> m_suspects;
    // When this VM began to hear announcements.
    base::Millis m_listeningSince;
    // 0 while this voter does not lead.
    std::uint64_t m_term = 0;
    // When a slow round was told last.
    base::Millis m_slowTold;
    // Another leader has ordered; nothing more is ordered in this term.
    bool m_fenced = false;
};

} // namespace bamboomoor::gateway
