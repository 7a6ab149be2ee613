/**
 * Memory accounting for every accelerator: what is resident plus what may still become resident.
 *
 * No order is settled by a timeout. An order is settled only by a confirmation from the upstream, by a new incarnation
 * of the upstream or, for an upstream that checks fencing numbers, by the confirmation of an order with a higher
 * number. Each order is sent at most once, so a confirmed order cannot be executed again. A confirmed load is replaced
 * by a hold in the log. A report proves that a held model is absent only if it confirms an order created after the
 * hold, because only then is the report certainly newer than the hold. Memory is counted once per model and
 * accelerator, because loading is idempotent.
 */
#pragma once

#include "bamboomoor/base/clock.hpp"
#include "bamboomoor/membership/announcement.hpp"
#include "bamboomoor/placement/order.hpp"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace bamboomoor::placement
{

/** @brief State of an intent. */
enum class OrderState {
    // Proposed to the log, not yet sent.
    Proposed,
    // Committed. May have been sent and may take effect at any time.
    InFlight,
    // Executed by the upstream; cannot take effect again.
    Consumed,
    // A consumed load whose hold has been proposed.
    Covered,
    // A committed hold.
    Held,
    // Settled; the close remains to be committed.
    Closing
};

/** @brief An intent in the ledger. */
struct OrderRecord {
    Order order;
    OrderState state = OrderState::Proposed;
    // Time at which the state was entered.
    base::Millis since;
    // Outcome; valid in state Closing.
    IntentOutcome outcome = IntentOutcome::Done;
    // Time of the last proposal of the close; valid in state Closing.
    base::Millis closeProposedAt{INT64_MIN};
};

/** @brief One model or adapter on one accelerator. */
struct Slot {
    // Listed in the latest report.
    bool reported = false;
    std::uint64_t reportedMib = 0;
    // Time since which reports have listed the model without interruption.
    base::Millis reportedSince;
    // Open intents for this model on this accelerator.
    std::vector<OrderRecord> orders;

    /** @brief Returns the memory in MiB that the model occupies or may come to occupy. */
    [[nodiscard]] std::uint64_t memoryMib() const noexcept;
    /** @brief Returns whether an order of the given kind may still take effect. @param kind Load or unload. */
    [[nodiscard]] bool isOpen(OrderKind kind) const noexcept;
    /** @brief Returns whether a hold reserves the memory; also true while the hold is only proposed. */
    [[nodiscard]] bool isHeld() const noexcept;
};

/** @brief Accounting of one accelerator. */
struct AcceleratorLedger {
    std::string id;
    // 0 if the latest report does not list the accelerator.
    std::uint64_t capacityMib = 0;
    std::map<ModelRef, Slot> slots;

    /** @brief Returns the memory of all slots in MiB. */
    [[nodiscard]] std::uint64_t usedMib() const noexcept;
    /** @brief Returns the memory available to a new load in MiB. */
    [[nodiscard]] std::uint64_t freeMib() const noexcept;
};

/** @brief Accounting of one upstream. */
struct UpstreamLedger {
    std::string id;
    // From the latest report; 0 before the first one.
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    std::string dataCentre;
    bool checksFencing = false;
    // Whether the lease is valid.
    bool live = false;
    bool leaving = false;
    std::vector<AcceleratorLedger> accelerators;

    /** @brief Finds or adds an accelerator. @param id Its id. @return The accelerator, valid until another is
     * added. */
    AcceleratorLedger &accelerator(std::string_view id);
    /** @brief Returns whether it may receive new loads: false if it is leaving, its lease has expired, or its latest
     * report is of an earlier incarnation than an intent. */
    [[nodiscard]] bool isUsable() const noexcept;

    // Highest incarnation that an intent targets.
    std::uint64_t orderedIncarnation = 0;
};

/** @brief Accounting of all upstreams. */
class Ledger
{
public:
    /**
     * @brief Replaces all intents by the open intents of the log; reports are kept.
     * @param now The current time.
     * @param intents The open intents.
     */
    void reset(base::Millis now, std::span<const Order> intents);

    /**
     * @brief Applies an announcement and settles the orders whose outcome it proves.
     * @param now The current time.
     * @param report The announcement; ignored if not newer than the last one.
     */
    void report(base::Millis now, const membership::Announcement &report);

    /** @brief Records that the lease of an upstream has expired; its memory stays accounted for. @param upstream Its
     * id. */
    void expire(std::string_view upstream);

    /** @brief Adds a proposed intent, whose memory is accounted for at once. @param now The current time. @param order
     * The intent.
     */
    void propose(base::Millis now, const Order &order);

    /** @brief Marks an intent as committed. @param now The current time. @param id Its id. @return The record, or null
     * if no such intent was proposed. */
    OrderRecord *commit(base::Millis now, std::string_view id);

    /**
     * @brief Adds a hold for a consumed load.
     * @param now The current time.
     * @param load The id of the load, which must be in state Consumed.
     * @param fencing The fencing number of the hold.
     * @return The hold, to be proposed to the log.
     */
    Order cover(base::Millis now, std::string_view load, std::uint64_t fencing);

    /** @brief Removes an intent that was not committed or whose close was committed. @param id Its id. */
    void drop(std::string_view id);

    /** @brief Records that the upstream executed an order. @param now The current time. @param id The order's id. */
    void consume(base::Millis now, std::string_view id);

    /**
     * @brief Settles an order that certainly had no effect and never will.
     * @param now The current time.
     * @param id The order's id.
     * @param end The outcome.
     */
    void settle(base::Millis now, std::string_view id, IntentOutcome end);

    /** @brief Returns all known upstreams by id. */
    [[nodiscard]] std::map<std::string, UpstreamLedger, std::less<>> &upstreams() noexcept;
    [[nodiscard]] const std::map<std::string, UpstreamLedger, std::less<>> &upstreams() const noexcept;

    /** @brief Finds an intent. @param id Its id. @return The record, valid until the next modification, or null. */
    [[nodiscard]] OrderRecord *find(std::string_view id);

private:
    struct Place {
        std::string upstream;
        std::string accelerator;
        ModelRef ref;
    };

    void insert(const OrderRecord &record);
    void replaceLoad(base::Millis now, std::string_view hold);
    void voidOlder(base::Millis now, UpstreamLedger &upstream);
    static void listResidents(base::Millis now, UpstreamLedger &upstream, const membership::Announcement &report);
    void confirm(base::Millis now, const membership::Announcement &report);
    static void settleByFreshness(base::Millis now, UpstreamLedger &upstream, std::uint64_t freshness);
    static void settleSlot(base::Millis now, const UpstreamLedger &upstream, Slot &slot, std::uint64_t freshness);

    std::map<std::string, UpstreamLedger, std::less<>> m_upstreams;
    // Slot of each intent, by the id of the intent.
    std::map<std::string, Place, std::less<>> m_places;
};

} // namespace bamboomoor::placement
