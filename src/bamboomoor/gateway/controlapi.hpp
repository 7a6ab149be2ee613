/**
 * The calls of operators and upstreams to a control VM. Changes and reads of the configuration go to the leader and
 * are confirmed by a quorum; a call that cannot be carried out now is answered at once, so that its sender asks again.
 */
#pragma once

#include "bamboomoor/base/clock.hpp"
#include "bamboomoor/base/eventlog.hpp"
#include "bamboomoor/control/groupdesk.hpp"
#include "bamboomoor/control/peerbook.hpp"
#include "bamboomoor/entry/upstreambook.hpp"
#include "bamboomoor/gateway/dialect.hpp"
#include "bamboomoor/gateway/fwd.hpp"
#include "bamboomoor/http/server.hpp"

#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace bamboomoor::gateway
{

/** @brief The settings of the calls. */
struct ControlApiOptions {
    // The longest wait for the leader; callers give up after a second.
    base::Millis timeout{900};
    // How long this VM may be without a leader before it sends upstreams to another one.
    base::Millis leaderless{5'000};
};

/** @brief What the calls work with; all outlives them. */
struct ControlApiContext {
    const base::Clock &clock;
    const ControlDialect &dialect;
    const control::PeerBook &peers;
    const control::GroupDesk &group;
    // What upstreams announced here, and all upstreams known here.
    entry::UpstreamBook &heard;
    entry::UpstreamBook &book;
    ControlMetrics &metrics;
    base::EventLog &log;
};

/** @brief Serves a control VM's callers. */
class ControlApi final : public http::Handler
{
public:
    /** @brief Makes the calls. @param options The settings. @param context What they work with. */
    ControlApi(ControlApiOptions options, ControlApiContext context) noexcept
        : m_options(options)
        , m_context(context)
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
    void on(BadCall &call, const Responder &responder);
    [[nodiscard]] static std::string modelsOf(const membership::Announcement &announcement);
    void announce(membership::Announcement announcement);
    [[nodiscard]] bool isLed();
    [[nodiscard]] peer::Client *leader() const;
    [[nodiscard]] http::Response answerReplace(
        std::uint64_t version, const std::optional<peer::wire::ProposeReply> &reply) const;

    ControlApiOptions m_options;
    ControlApiContext m_context;
    // When a leader was known last, in milliseconds.
    std::atomic<std::int64_t> m_ledAt;
};

} // namespace bamboomoor::gateway
