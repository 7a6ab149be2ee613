/**
 * Decides which suspected workers have become unreachable, from the inspections that the leader makes of them.
 *
 * A refused connection shows at once that the process is gone. A connection attempt without an answer does not: sound
 * workers fall silent for a second or so. Such a worker is inspected again until it answers or has been silent for
 * longer than that.
 */
#pragma once

#include "bamboomoor/base/clock.hpp"
#include "bamboomoor/base/nametable.hpp"

#include <map>
#include <optional>
#include <string>

namespace bamboomoor::gateway
{

/** @brief The settings of a suspect tracker. */
struct SuspectOptions {
    // Minimum time between two inspections of a worker because of suspicions.
    base::Millis interval{500};
    // A worker counts as unreachable once no connection attempt has been answered for this time. It exceeds a sound
    // worker's pause by the connect timeout, as an attempt during the pause fails only after it.
    base::Millis maxSilence{2'000};
};

/** @brief How the connection of an inspection ended: it was accepted, refused, or not answered in time. */
enum class Connection { Accepted, Refused, NotAnswered };

/** @brief The names of Connection in logs. */
inline constexpr auto CONNECTION_NAMES = base::makeNames<Connection>("accepted", "refused", "not_answered");

/** @brief What follows from an inspection. */
enum class SuspectVerdict { None, InspectAgain, Unreachable };

/** @brief Tracks the suspected workers. Not thread-safe. */
class SuspectTracker
{
public:
    /** @brief Creates a tracker without suspects. @param options The settings. */
    explicit SuspectTracker(SuspectOptions options = {}) noexcept
        : m_options(options)
    {
    }

    /** @brief Handles a suspicion. @param now The current time. @param worker The worker. @return True if the worker
     * must be inspected now. */
    [[nodiscard]] bool suspect(base::Millis now, const std::string &worker);

    /**
     * @brief Handles the end of an inspection.
     * @param now The current time.
     * @param worker The worker; one that is not suspected is passed over.
     * @param sentAt When the inspection was sent.
     * @param connection How its connection ended.
     * @return What follows.
     */
    [[nodiscard]] SuspectVerdict onInspected(
        base::Millis now, const std::string &worker, base::Millis sentAt, Connection connection);

private:
    struct Suspect {
        // When it was last inspected because of suspicions.
        base::Millis inspectedAt;
        // When the first of the unanswered inspections was sent; unset if the last one was answered.
        std::optional<base::Millis> silentSince;
    };

    SuspectOptions m_options;
    std::map<std::string, Suspect> m_suspects;
};

} // namespace bamboomoor::gateway
