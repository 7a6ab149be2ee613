/**
 * Faults that a stand-in commits on demand.
 */
#pragma once

#include "bamboomoor/base/clock.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>

namespace bamboomoor::fakes
{

/** @brief How one answer goes wrong. */
enum class FaultKind { None, ResetBefore, ResetDuring, Truncate, Silent, SilentDuring, Garbage };

/** @brief How many of the next requests go wrong, and in which way; used under its owner's mutex. */
struct Faults {
    // The connection is closed without an answer.
    std::int64_t resetBefore = 0;
    // The connection is closed half-way through the answer.
    std::int64_t resetDuring = 0;
    // The answer stops half-way, though its connection ends it properly.
    std::int64_t truncate = 0;
    // The request is taken and nothing is ever said.
    std::int64_t silent = 0;
    // The answer stops half-way, and the connection stays open.
    std::int64_t silentDuring = 0;
    // The answer is no JSON.
    std::int64_t garbage = 0;
    // Orders that are executed, but whose answer is not sent.
    std::int64_t withhold = 0;
    // Orders that are neither executed nor answered.
    std::int64_t lose = 0;
    // Announcements that are not sent.
    std::int64_t mute = 0;
    // Added before each answer.
    base::Millis delay;

    /**
     * @brief Reads the fields that a document gives.
     * @param document An object with fields reset_before, reset_during, truncate, silent, silent_during, garbage,
     * withhold, lose, mute, delay_ms; all optional.
     */
    void read(const nlohmann::json &document)
    {
        const auto take = [&document](const char *name, std::int64_t &count) {
            count = document.value(name, count);
        };
        take("reset_before", resetBefore);
        take("reset_during", resetDuring);
        take("truncate", truncate);
        take("silent", silent);
        take("silent_during", silentDuring);
        take("garbage", garbage);
        take("withhold", withhold);
        take("lose", lose);
        take("mute", mute);
        take("delay_ms", delay.count);
    }

    /**
     * @brief Takes the fault of the next request.
     * @return The fault, counted down.
     */
    [[nodiscard]] FaultKind takeNext() noexcept
    {
        if (take(resetBefore)) {
            return FaultKind::ResetBefore;
        }
        if (take(resetDuring)) {
            return FaultKind::ResetDuring;
        }
        if (take(truncate)) {
            return FaultKind::Truncate;
        }
        if (take(silent)) {
            return FaultKind::Silent;
        }
        if (take(silentDuring)) {
            return FaultKind::SilentDuring;
        }
        return take(garbage) ? FaultKind::Garbage : FaultKind::None;
    }

    /**
     * @brief Counts one kind down.
     * @param count The number left.
     * @return True when there was one.
     */
    [[nodiscard]] static bool take(std::int64_t &count) noexcept
    {
        if (count <= 0) {
            return false;
        }
        --count;
        return true;
    }
};

} // namespace bamboomoor::fakes
