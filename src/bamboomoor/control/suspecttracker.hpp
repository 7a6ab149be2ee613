/**
 * Decides which suspected upstreams have become unreachable, from the inspections that the leader makes of them.
 *
 * A refused connection, or a response of another process, shows at once that the process is gone. A connection attempt
 * without an answer does not: sound upstreams fall silent for a second or so. Such an upstream is inspected again until
 * it answers or has been silent for longer than that. A connection that ended without a response shows nothing: a
 * process that is about to exit, one that pauses, or one with too many connections does that. It is inspected again for
 * a while, until its state is clear. A response shows only that the process ran when it was inspected, so a later
 * suspicion leads to another inspection.
 */
#pragma once

#include "bamboomoor/base/clock.hpp"
#include "bamboomoor/base/nametable.hpp"
#include "bamboomoor/http/client.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bamboomoor::control
{

/** @brief The settings of a suspect tracker. */
struct SuspectOptions {
    // Minimum time between two inspections of an upstream because of suspicions.
    base::Millis interval{500};
    // An upstream counts as unreachable once no connection attempt has been answered for this time. It exceeds a sound
    // upstream's pause by the connect timeout, as an attempt during the pause fails only after it.
    base::Millis maxSilence{2'000};
    // After a connection that ended without a response, inspections are repeated at this interval for this time.
    base::Millis droppedInterval{100};
    base::Millis maxDropped{2'000};
    // An inspection that has not ended by then is not waited for.
    base::Millis maxInspection{5'000};
};

/** @brief How the connection of an inspection ended: with a response, after it was accepted without one, refused, not
 * accepted in time, or accepted by another process that has the address now. */
enum class Connection { Accepted, Dropped, Refused, NotAnswered, Replaced };

/** @brief The names of Connection in logs. */
inline constexpr auto CONNECTION_NAMES =
    base::makeNames<Connection>("accepted", "dropped", "refused", "not_answered", "replaced");

/** @brief Classifies the end of an inspection. @param kind The end of the call. @return How its connection ended. */
[[nodiscard]] Connection connectionOf(http::EndKind kind) noexcept;

/** @brief What follows from an inspection. */
enum class SuspectVerdict { None, InspectAgain, Unreachable };

/** @brief Tracks the suspected upstreams. Not thread-safe. */
class SuspectTracker
{
public:
    /** @brief Creates a tracker without suspects. @param options The settings. */
    explicit SuspectTracker(SuspectOptions options = {}) noexcept
        : m_options(options)
    {
    }

    /** @brief Handles a suspicion. If the upstream has been inspected within the interval, the next inspection is due
     * after it. @param now The current time. @param upstream The upstream. @return True if the upstream must be
     * inspected now. */
    [[nodiscard]] bool suspect(base::Millis now, const std::string &upstream);

    /** @brief Tells whether an upstream is suspected. @param upstream The upstream. */
    [[nodiscard]] bool isSuspected(const std::string &upstream) const
    {
        return m_suspects.contains(upstream);
    }

    /**
     * @brief Handles the end of an inspection.
     * @param now The current time.
     * @param upstream The upstream; one that is not suspected is passed over.
     * @param sentAt When the inspection was sent.
     * @param connection How its connection ended.
     * @return What follows.
     */
    [[nodiscard]] SuspectVerdict onInspected(
        base::Millis now, const std::string &upstream, base::Millis sentAt, Connection connection);

    /** @brief Returns when takeDue() is to be called next. @return The time, or nothing if no inspection is pending. */
    [[nodiscard]] std::optional<base::Millis> dueAt() const;

    /** @brief Lists the upstreams whose repeated inspection is due. @param now The current time. @return The upstreams,
     * which must be inspected now. */
    [[nodiscard]] std::vector<std::string> takeDue(base::Millis now);

private:
    struct Suspect {
        // When it was last inspected because of suspicions.
        base::Millis inspectedAt;
        // When it was last suspected.
        base::Millis suspectedAt;
        // That inspection has not ended.
        bool isInspected = true;
        // When the first of the unanswered inspections was sent; unset if the last one was answered.
        std::optional<base::Millis> silentSince = std::nullopt;
        // When the first of the dropped inspections ended; unset if the last one ended otherwise.
        std::optional<base::Millis> droppedSince = std::nullopt;
        // When the next inspection is due, after a dropped one or a suspicion that the last one does not cover.
        std::optional<base::Millis> repeatAt = std::nullopt;
    };

    void expire(base::Millis now);
    void onDropped(base::Millis now, Suspect &suspect) const;
    [[nodiscard]] SuspectVerdict onSilence(base::Millis now, base::Millis sentAt, Suspect &suspect) const;

    SuspectOptions m_options;
    std::map<std::string, Suspect> m_suspects;
};

} // namespace bamboomoor::control
