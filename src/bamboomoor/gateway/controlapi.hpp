/**
 * Provides the HTTP API of a control VM for operators and upstreams. Changes and reads of the configuration are
 * forwarded to the leader and confirmed by a quorum; a call that cannot be served now fails immediately, so that its
 * sender can retry.
 */
#pragma once

#include "bamboomoor/base/clock.hpp"
#include "bamboomoor/base/eventlog.hpp"
#include "bamboomoor/base/repeatfilter.hpp"
#include "bamboomoor/control/membershipthread.hpp"
#include "bamboomoor/control/peerregistry.hpp"
#include "bamboomoor/entry/upstreambook.hpp"
#include "bamboomoor/gateway/dialect.hpp"
#include "bamboomoor/gateway/evacuationview.hpp"
#include "bamboomoor/gateway/fwd.hpp"
#include "bamboomoor/gateway/withdrawalview.hpp"
#include "bamboomoor/http/server.hpp"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace bamboomoor::gateway
{

/** @brief Settings of the control API. */
struct ControlApiOptions {
    // Timeout of a call to the leader; below the 1 s after which clients of the API give up.
    base::Millis timeout{900};
    // How long this VM may be without a known leader before it rejects upstreams, so that they try another VM.
    base::Millis leaderlessTimeout{5'000};
    // How long an unreadable call that repeats is not logged again, and how many different ones are logged in that
    // time.
    base::Millis unreadableSpan{60'000};
    std::size_t unreadableCount = 64;
    // The data centres of the deployment; without any, evacuations of all names are accepted.
    std::vector<std::string> dataCentres;
};

/** @brief Dependencies of the control API; all must outlive it. */
struct ControlApiContext {
    const base::Clock &clock;
    const ControlDialect &dialect;
    const control::PeerRegistry &peers;
    const control::MembershipThread &group;
    const EvacuationView &evacuations;
    const WithdrawalView &withdrawals;
    // Upstreams that announced themselves to this VM, and all upstreams known to it.
    entry::UpstreamBook &heard;
    entry::UpstreamBook &book;
    ControlMetrics &metrics;
    base::EventLog &log;
};

/** @brief Handles the HTTP requests to a control VM. */
class ControlApi final : public http::Handler
{
public:
    /** @brief Creates the handler. @param options The settings. @param context The dependencies. */
    ControlApi(ControlApiOptions options, ControlApiContext context)
        : m_options(std::move(options))
        , m_context(context)
        , m_unreadable(m_options.unreadableSpan, m_options.unreadableCount)
        , m_ledAt(context.clock.now().count)
    {
    }

    void handle(http::Request request, std::shared_ptr<http::Responder> responder) override;

private:
    using Responder = std::shared_ptr<http::Responder>;

    void on(AnnounceCall &call, const Responder &responder);
    void on(const WithdrawCall &call, const Responder &responder);
    void on(const ReplaceCall &call, const Responder &responder);
    void on(const ReadCall &call, const Responder &responder);
    void on(const EvacuateCall &call, const Responder &responder);
    void on(BadCall &call, const Responder &responder);
    [[nodiscard]] static std::string modelsOf(const membership::Announcement &announcement);
    void announce(membership::Announcement announcement);
    void refuseInvalid(std::uint64_t version, const std::string &reason, const Responder &responder) const;
    [[nodiscard]] bool isNewProblem(const std::string &reason);
    [[nodiscard]] bool isLed();
    [[nodiscard]] peer::Client *leader() const;
    [[nodiscard]] http::Response answerReplace(
        std::uint64_t version, const std::string &asked, const std::optional<peer::wire::ProposeReply> &reply) const;
    // Logs a change that the leader did not confirm.
    [[nodiscard]] http::Response refuseUnapplied(
        base::LogLine &line, const std::string &asked, const std::optional<peer::wire::ProposeReply> &reply) const;
    // Confirms once the group has recorded it, so that it outlasts this process.
    void confirmWithdrawal(const std::string &upstream, std::uint64_t incarnation, const Responder &responder) const;
    [[nodiscard]] http::Response answerWithdrawal(const std::string &upstream, std::uint64_t incarnation,
        const std::string &asked, const std::optional<peer::wire::ProposeReply> &reply) const;
    [[nodiscard]] http::Response answerEvacuate(
        const EvacuateCall &call, const std::string &asked, const std::optional<peer::wire::ProposeReply> &reply) const;

    ControlApiOptions m_options;
    ControlApiContext m_context;
    absl::Mutex m_mutex;
    // Reasons of unreadable calls, which their senders repeat.
    base::RepeatFilter m_unreadable ABSL_GUARDED_BY(m_mutex);
    // When a leader was last known, in milliseconds.
    std::atomic<std::int64_t> m_ledAt;
};

} // namespace bamboomoor::gateway
