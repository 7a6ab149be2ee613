/**
 * The thread of an entry: it takes the callers' requests through key, claim, budget, queue and upstream to their
 * answers. All of a request's state is used by this thread only; other threads reach it through a bounded ring.
 */
#pragma once

#include "bamboomoor/admission/fairqueue.hpp"
#include "bamboomoor/admission/refusal.hpp"
#include "bamboomoor/base/clock.hpp"
#include "bamboomoor/base/ring.hpp"
#include "bamboomoor/budget/holder.hpp"
#include "bamboomoor/control/peerregistry.hpp"
#include "bamboomoor/entry/demandreport.hpp"
#include "bamboomoor/entry/exchange.hpp"
#include "bamboomoor/entry/inforce.hpp"
#include "bamboomoor/entry/leaderhint.hpp"
#include "bamboomoor/entry/metrics.hpp"
#include "bamboomoor/entry/upstreambook.hpp"
#include "bamboomoor/http/client.hpp"
#include "bamboomoor/http/server.hpp"
#include "bamboomoor/quarantine/promptguard.hpp"
#include "bamboomoor/routing/retrybudget.hpp"
#include "bamboomoor/routing/router.hpp"
#include "bamboomoor/standing/upstreamtracker.hpp"
#include "bamboomoor/state/command.hpp"
#include "bamboomoor/state/outcome.hpp"

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <unordered_map>
#include <variant>
#include <vector>

namespace bamboomoor::entry
{

/** @brief The settings of an entry's thread. */
struct DeskOptions {
    std::string vm;
    // Greater at every start of the process.
    std::uint64_t incarnation = 1;
    std::size_t ringSize = 65'536;
    std::size_t queueLimit = 10'000;
    std::uint64_t engineDepth = 16;
    std::int64_t driftPermille = 10;
    base::Millis progressTimeout{10'000};
    // The upper bound of the time for which an upstream closes itself.
    base::Millis maxClosure{600'000};
    std::uint64_t seed = 1;
    // Maximum bytes of one answer, and of all, that were received and are not passed on yet.
    std::size_t maxAnswerBytes = 4'194'304;
    std::size_t maxHeldBytes = 33'554'432;
};

/** @brief The threads and books that a Desk works with; all outlive it. */
struct DeskContext {
    const base::Clock &clock;
    const InForce &inForce;
    UpstreamBook &upstreams;
    const control::PeerRegistry &peers;
    LeaderHint &leader;
    http::Client &client;
    Metrics &metrics;
};

/** @brief Serves callers. */
class Desk final : public DemandSource
{
public:
    /**
     * @brief Makes a desk that does not run yet.
     * @param options The settings.
     * @param context What it works with.
     */
    Desk(DeskOptions options, DeskContext context);
    ~Desk() override;
    Desk(const Desk &) = delete;
    Desk &operator=(const Desk &) = delete;

    /** @brief Starts the thread. */
    void start();

    /** @brief Ends the thread; requests in progress get their final answer. */
    void stop();

    /**
     * @brief Takes a caller's request.
     * @param request The request.
     * @param responder The way back; a full ring refuses at once.
     */
    void handle(http::Request request, const std::shared_ptr<http::Responder> &responder);

    /** @brief Tells that another configuration is in force, so that keys are checked again. */
    void configurationChanged();

    /**
     * @brief Counts the requests in progress.
     * @return The number of requests that have no answer yet.
     */
    [[nodiscard]] std::size_t inProgress() const noexcept
    {
        return m_inProgress;
    }

    /** @brief Sets the callback that requests an immediate demand report. @param urge The callback; set before start().
     */
    void setUrgentReport(std::function<void()> urge)
    {
        m_urgentReport = std::move(urge);
    }

    [[nodiscard]] std::vector<TargetDemand> takeDemand() override;
    [[nodiscard]] bool runsAt(const DrainingReplica &replica) const override;
    [[nodiscard]] quarantine::Report takeQuarantineReport() override;
    void takeNews(LeaderNews news) override;

private:
    struct Arrived {
        http::Request request;
        std::shared_ptr<http::Responder> responder;
    };
    struct CallerGone {
        std::uint64_t exchange = 0;
    };
    struct AnswerHead {
        std::uint64_t exchange = 0;
        std::uint64_t attempt = 0;
        int status = 0;
        http::Headers headers;
    };
    struct AnswerData {
        std::uint64_t exchange = 0;
        std::uint64_t attempt = 0;
        std::string bytes;
        std::shared_ptr<http::AnswerMemory::Share> memory;
    };
    struct AnswerEnd {
        std::uint64_t exchange = 0;
        std::uint64_t attempt = 0;
        http::Ending ending;
    };
    struct BudgetReplied {
        budget::TokenReply reply;
    };
    // A command about a claim on its way to the leader; sent again until it is answered, as all of them may be.
    struct ClaimTry {
        std::uint64_t exchange = 0;
        std::string payload;
        base::Millis deadline;
        // The command that takes it back, as its request may end before it takes effect; empty where none does.
        std::string undo = {};
    };
    struct ClaimReplied {
        ClaimTry sent;
        // Nothing when it is not known what became of the command, and for commands about many claims.
        std::optional<state::ClaimOutcome> outcome;
        // True when the command was applied.
        bool applied = false;
    };
    struct ClaimRetry {
        base::Millis at;
        ClaimTry again;
    };
    struct ConfigurationChanged {
    };
    struct News {
        quarantine::LeaderReply quarantine;
    };
    using Event = std::variant<Arrived, CallerGone, AnswerHead, AnswerData, AnswerEnd, BudgetReplied, ClaimReplied,
        ConfigurationChanged, News>;
    class AttemptListener;

    // desk.cpp: the loop, arrival and refusal.
    void run();
    void finishAll();
    void take(Event event);
    void on(Arrived &event);
    void on(CallerGone &event);
    void on(ConfigurationChanged &event);
    void tick();
    void reviewLate();
    void refuse(Exchange &exchange, admission::Refusal refusal, const std::string &message,
        admission::Execution ran = admission::Execution::NotRun, base::Millis retryAfter = base::Millis{1'000});
    void finish(Exchange &exchange);
    [[nodiscard]] std::optional<admission::Refusal> checkKey(const Exchange &exchange) const;
    [[nodiscard]] Exchange *find(std::uint64_t id);
    [[nodiscard]] bool authorize(Exchange &exchange, const Configuration *configuration);

    // admit.cpp: claims, budget and queue.
    void claim(Exchange &exchange);
    void on(ClaimReplied &event);
    void answerStored(Exchange &exchange, const state::StoredResponse &answer);
    void releaseClaim(Exchange &exchange, bool mayHaveRun);
    void storeAnswer(Exchange &exchange, http::Response answer);
    void giveAnswer(Exchange &exchange);
    void proposeClaim(ClaimTry attempt);
    void abandonEarlier();
    void retryClaims(base::Millis now);
    void opened(Exchange &exchange, const state::ClaimOutcome &outcome);
    void admit(Exchange &exchange);
    void decided(Exchange &exchange, const budget::Admission &admission);
    void decidedAll(const std::vector<budget::Admission> &admissions);
    void on(BudgetReplied &event);
    void sendAsk();
    void settle(Exchange &exchange, std::int64_t actual);
    void enqueue(Exchange &exchange);
    [[nodiscard]] admission::FairQueue &queueOf(const Target &target);
    void pump();
    bool pumpTarget(const Target &target);

    // attempt.cpp: attempts at upstreams and their answers.
    [[nodiscard]] bool dispatch(Exchange &exchange);
    void send(Exchange &exchange, const std::string &address);
    [[nodiscard]] bool rejectClosed(
        base::Millis now, Exchange &exchange, const std::vector<routing::Candidate> &candidates);
    void noteSignal(const Exchange &exchange);
    [[nodiscard]] http::Call makeCall(const Exchange &exchange, const std::string &address) const;
    [[nodiscard]] std::string makeBody(const Exchange &exchange) const;
    void on(AnswerHead &event);
    void on(AnswerData &event);
    void on(AnswerEnd &event);
    void relay(Exchange &exchange, const AnswerData &event);
    void relayEvent(Exchange &exchange, const std::string &data);
    void beginStream(Exchange &exchange);
    void countToken(Exchange &exchange, std::int64_t tokens);
    void endWhole(Exchange &exchange);
    void endStream(Exchange &exchange);
    void failAttempt(Exchange &exchange, routing::FailureKind failure);
    void giveUp(Exchange &exchange, routing::Decision decision, const std::string &message);
    void cancelAttempt(Exchange &exchange);
    void endWithError(Exchange &exchange, admission::Refusal refusal, const std::string &message,
        admission::Execution ran, base::Millis retryAfter = base::Millis{1'000});
    [[nodiscard]] std::optional<routing::FailureKind> judgeAnswer(Exchange &exchange) const;

    // quarantine.cpp: what crashes upstreams and is not sent to them.
    void on(News &event);
    void reviewQuarantine();
    void enforceQuarantine(const std::vector<quarantine::Finding> &findings, bool byLeader);
    [[nodiscard]] std::optional<base::Millis> quarantinedFor(Exchange &exchange) const;
    void endQuarantined(Exchange &exchange, base::Millis left);
    void noteFailure(Exchange &exchange, routing::FailureKind failure);
    void noteSurvival(Exchange &exchange);

    DeskOptions m_options;
    DeskContext m_context;
    std::function<void()> m_urgentReport;
    // Events in the ring refer to it.
    http::AnswerMemory m_answerMemory;
    base::Ring<Event> m_ring;
    std::thread m_thread;
    std::atomic<bool> m_stopping{false};
    // A ConfigurationChanged is in the ring.
    std::atomic<bool> m_changePending{false};
    std::atomic<std::size_t> m_inProgress{0};

    // Used by the desk's thread only.
    std::uint64_t m_lastExchange = 0;
    std::unordered_map<std::uint64_t, std::unique_ptr<Exchange>> m_exchanges;
    std::unordered_map<std::uint64_t, std::uint64_t> m_byReservation;
    budget::Holder m_holder;
    routing::Router m_router;
    // What upstreams said of themselves; asked at every choice.
    standing::UpstreamTracker m_standing;
    base::Millis m_nextListing;
    routing::RetryBudget m_retries;
    routing::Backoff m_backoff;
    quarantine::PromptGuard m_guard;
    base::Millis m_nextGuardReview;
    // Until then the leader is asked often, as it may find out what crashed an upstream.
    base::Millis m_askLeaderUntil;
    // Holds the queued exchanges by target; queues without items are removed.
    std::map<Target, admission::FairQueue> m_queues;
    std::size_t m_queued = 0;
    std::vector<ClaimRetry> m_claimRetries;
    // When the budget's authority answered last.
    base::Millis m_budgetHeardAt;
    base::Millis m_nextTick;

    mutable absl::Mutex m_mutex;
    std::map<Target, TargetDemand> m_demand ABSL_GUARDED_BY(m_mutex);
    std::map<std::pair<std::string, Target>, std::size_t> m_running ABSL_GUARDED_BY(m_mutex);
    quarantine::Report m_quarantineReport ABSL_GUARDED_BY(m_mutex);
};

} // namespace bamboomoor::entry
