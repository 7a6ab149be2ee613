/**
 * Provides the thread that runs the relay core. Caller requests and upstream responses reach it through a bounded ring;
 * it passes them to the core and carries out the core's effects.
 */
#pragma once

#include "bamboomoor/base/clock.hpp"
#include "bamboomoor/base/eventlog.hpp"
#include "bamboomoor/base/ring.hpp"
#include "bamboomoor/control/peerregistry.hpp"
#include "bamboomoor/entry/demandreport.hpp"
#include "bamboomoor/entry/inforce.hpp"
#include "bamboomoor/entry/leaderhint.hpp"
#include "bamboomoor/entry/upstreambook.hpp"
#include "bamboomoor/entry/upstreamsync.hpp"
#include "bamboomoor/gateway/dialect.hpp"
#include "bamboomoor/gateway/peertokens.hpp"
#include "bamboomoor/gateway/relaymetrics.hpp"
#include "bamboomoor/http/answermemory.hpp"
#include "bamboomoor/http/client.hpp"
#include "bamboomoor/http/server.hpp"
#include "bamboomoor/relay/core.hpp"
#include "bamboomoor/standing/coldperiods.hpp"

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <unordered_map>
#include <variant>

namespace bamboomoor::gateway
{

/** @brief Settings of the relay thread. */
struct RelayThreadOptions {
    relay::CoreOptions core;
    std::size_t ringSize = 65'536;
    // Interval at which the upstreams are refreshed, and until the first ones are known.
    base::Millis refresh{200};
    base::Millis firstRefresh{20};
    // How long after it was asked for the list of upstreams counts as current; an upstream that starts again under its
    // id serves later than that, as it has to load its models first.
    base::Millis listAge{2'000};
    // For how long control VMs list an upstream after its last announcement.
    base::Millis upstreamLease{3'000};
    // How long requests are served by a configuration of which a later version is known to be in force.
    base::Millis outdatedLimit{1'000};
    // Whether requests are served while no quorum confirms the configuration.
    bool servesWhenCutOff = true;
    // Timeout for a new connection to an upstream.
    base::Millis connectTimeout{400};
    // Timeout for a new connection to an entry that forwards requests.
    base::Millis peerConnectTimeout{250};
    // "IP:PORT" at which this entry forwards requests of others; empty if it does not.
    std::string forwardAddress;
    // It offers to do so as long after the last answer of an upstream.
    base::Millis reachAge{5'000};
    // Added to the remaining time of a request, so that a timeout response of the upstream arrives first.
    base::Millis responseGrace{200};
    // Maximum bytes of one response in the ring; only an upstream that sends an endless response exceeds it.
    std::size_t maxUnreadBytes = 524'288;
    // Maximum bytes of all responses in the ring.
    std::size_t maxTotalUnreadBytes = 16'777'216;
    // Timeout of a call to the budget authority.
    base::Millis budgetTimeout{400};
    // Timeout of a question about the origin of a stream, which the leader may hold for a while, and how often it is
    // put to another voter.
    base::Millis originTimeout{600};
    int maxOriginCalls = 6;
};

/** @brief Dependencies of the relay thread; all must outlive it. */
struct RelayThreadContext {
    const base::Clock &clock;
    const entry::InForce &inForce;
    const entry::UpstreamBook &upstreams;
    const entry::UpstreamSync &sync;
    const control::PeerRegistry &peers;
    entry::LeaderHint &leader;
    http::Client &client;
    const CallerDialect &callers;
    const UpstreamDialect &dialect;
    PeerTokens &tokens;
    RelayMetrics &metrics;
    base::EventLog &log;
};

/** @brief Runs the relay core on its own thread. */
class RelayThread final : public http::Handler, public entry::DemandSource, private relay::Effects
{
public:
    /** @brief Creates the object without starting its thread. @param options The settings. @param context Dependencies.
     */
    RelayThread(RelayThreadOptions options, RelayThreadContext context);
    ~RelayThread() override;
    RelayThread(const RelayThread &) = delete;
    RelayThread &operator=(const RelayThread &) = delete;

    /** @brief Starts the thread. */
    void start();

    /** @brief Stops and joins the thread; requests in progress get their final response. */
    void stop();

    void handle(http::Request request, std::shared_ptr<http::Responder> responder) override;

    /** @brief Begins a shutdown. @param until When requests in progress are terminated. */
    void beginDrain(base::Millis until);

    /** @brief Rejects further streams, because the entry is about to stop. */
    void drain();

    /** @brief Must be called when the active configuration has changed. */
    void configurationChanged();

    /** @brief Returns the number of requests in progress. */
    [[nodiscard]] std::size_t inProgress() const noexcept
    {
        return m_inProgress;
    }

    [[nodiscard]] std::vector<entry::TargetDemand> takeDemand() override;
    [[nodiscard]] bool runsAt(const entry::DrainingReplica &replica) const override;
    [[nodiscard]] std::map<std::string, std::int64_t> waiting() const override;
    [[nodiscard]] std::vector<std::string> unreachable() const override;
    [[nodiscard]] std::vector<standing::Report> takeWords() override;
    [[nodiscard]] quarantine::Report takeQuarantineReport() override;
    [[nodiscard]] lineage::Report takeStreamReport() override;
    [[nodiscard]] std::string forwardAddress() const override;
    void takeNews(entry::LeaderNews news) override;

    /** @brief Tells whether requests find their routes. */
    [[nodiscard]] bool isConfigured() const noexcept
    {
        return m_configured;
    }

    /** @brief Tells whether requests are rejected as the configuration is outdated, or may be. */
    [[nodiscard]] bool isOutdated() const noexcept
    {
        return m_isOutdated;
    }

    /** @brief Tells whether requests find the upstreams that this entry has pulled. */
    [[nodiscard]] bool knowsUpstreams() const noexcept
    {
        return m_knowsUpstreams;
    }

    /** @brief Tells whether this entry is partitioned from all upstreams. */
    [[nodiscard]] bool isCutOff() const noexcept
    {
        return m_cutOff;
    }

    /** @brief Sets the callback that requests an immediate demand report. @param urge The callback; set before start().
     */
    void setUrgentReport(std::function<void()> urge)
    {
        m_urgentReport = std::move(urge);
    }

private:
    struct Arrived {
        relay::Request request;
        std::shared_ptr<http::Responder> responder;
    };
    struct CallerGone {
        std::uint64_t exchange = 0;
    };
    struct Head {
        std::uint64_t attempt = 0;
        relay::ResponseHead head;
    };
    // Bytes of one response in the ring, updated by the HTTP client's thread and the relay thread.
    using Unread = http::AnswerMemory::Share;
    struct Data {
        std::uint64_t attempt = 0;
        std::string bytes;
        std::shared_ptr<Unread> unread;
    };
    struct Ended {
        std::uint64_t attempt = 0;
        http::Ending ending;
        // The forwarding entry failed or refused, for this reason.
        bool peerFailed = false;
        std::string reason = {};
    };
    struct BudgetReplied {
        budget::TokenReply reply;
    };
    struct TableChanged {
    };
    struct DrainBegun {
        base::Millis until;
    };
    struct Draining {
    };
    struct News {
        entry::LeaderNews news;
    };
    struct OriginReplied {
        std::uint64_t exchange = 0;
        relay::OriginQuery query;
        std::string voter;
        // How often voters have been asked.
        int calls = 0;
        std::optional<peer::wire::OriginReply> reply;
    };
    using Event = std::variant<Arrived, CallerGone, Head, Data, Ended, BudgetReplied, TableChanged, News, DrainBegun,
        Draining, OriginReplied>;
    class AttemptListener;

    void checkConfiguration(base::Millis now);
    void run();
    void on(base::Millis now, Arrived &event);
    void on(base::Millis now, CallerGone &event);
    void on(base::Millis now, Head &event);
    void on(base::Millis now, Data &event);
    void on(base::Millis now, Ended &event);
    void on(base::Millis now, BudgetReplied &event);
    void on(base::Millis now, TableChanged &event);
    void on(base::Millis now, News &event);
    void on(base::Millis now, DrainBegun &event);
    void on(base::Millis now, Draining &event);
    void on(base::Millis now, OriginReplied &event);
    void askOrigin(std::uint64_t exchange, const relay::OriginQuery &query, int calls);
    void logLimits(std::uint64_t version, const config::Document &document);
    void refreshUpstreams();
    void collectDemand();
    void sendAsk(base::Millis now);
    void take(Event &event);
    [[nodiscard]] bool push(Event event);
    void deliver(Event event);

    void respond(std::uint64_t exchange, http::Response response) override;
    void sendLocalReply(std::uint64_t exchange, const relay::LocalReply &refused) override;
    void beginStream(std::uint64_t exchange, int status, http::Headers headers) override;
    bool write(std::uint64_t exchange, std::string_view bytes) override;
    void endStream(std::uint64_t exchange) override;
    void abortStream(std::uint64_t exchange) override;
    void send(const relay::Attempt &attempt, const relay::Request &request) override;
    void cancel(std::uint64_t attempt) override;
    void resolveOrigin(std::uint64_t exchange, const relay::OriginQuery &query) override;
    void logDecision(const relay::Decision &decision) override;
    void logSignal(const relay::SignalNote &note) override;
    void logQuarantine(const quarantine::Finding &finding, bool byLeader) override;
    void logReach(const relay::ReachChange &change) override;

    struct Caller {
        std::shared_ptr<http::Responder> responder;
        std::string requestId;
    };
    [[nodiscard]] std::shared_ptr<http::Responder> take(std::uint64_t exchange);

    RelayThreadOptions m_options;
    RelayThreadContext m_context;
    // Events in the ring refer to it.
    http::AnswerMemory m_unread;
    base::Ring<Event> m_ring;
    std::thread m_thread;
    std::atomic<bool> m_stopping{false};
    // A TableChanged is in the ring.
    std::atomic<bool> m_changePending{false};
    std::atomic<std::size_t> m_inProgress{0};
    // What requests find once the thread has taken it over; both stay set.
    std::atomic<bool> m_configured{false};
    std::atomic<bool> m_knowsUpstreams{false};
    std::atomic<bool> m_cutOff{false};
    std::atomic<bool> m_isOutdated{false};
    // Upstreams answered lately, and no shutdown has begun.
    std::atomic<bool> m_offersForwarding{false};

    std::function<void()> m_urgentReport;

    // Accessed by this object's thread only.
    relay::Core m_core;
    bool m_isDraining = false;
    std::uint64_t m_lastExchange = 0;
    std::unordered_map<std::uint64_t, Caller> m_callers;
    std::unordered_map<std::uint64_t, http::CallId> m_calls;
    // Rate and burst of each organisation as last logged; 0 means no limit.
    std::map<std::string, std::pair<std::int64_t, std::int64_t>> m_limits;
    base::Millis m_nextRefresh;
    // The revision of the evacuations that upstreams were last listed by.
    std::uint64_t m_evacuationsSeen = 0;
    standing::ColdPeriods m_cold;

    mutable absl::Mutex m_mutex;
    std::vector<entry::TargetDemand> m_demand ABSL_GUARDED_BY(m_mutex);
    std::map<std::string, std::int64_t> m_waiting ABSL_GUARDED_BY(m_mutex);
    std::vector<std::string> m_unreachable ABSL_GUARDED_BY(m_mutex);
    // Permit requests are kept until takeWords() returns them.
    std::vector<standing::Report> m_words ABSL_GUARDED_BY(m_mutex);
    quarantine::Report m_quarantineReport ABSL_GUARDED_BY(m_mutex);
    lineage::Report m_streamReport ABSL_GUARDED_BY(m_mutex);
};

} // namespace bamboomoor::gateway
