/**
 * The memory ledger of every accelerator: what is resident plus what may still become resident.
 *
 * Time proves nothing here. An order is settled only by the upstream's confirmation of it, by a new incarnation, or, at
 * an upstream that checks fencing numbers, by the confirmation of an order with a greater number. Each order is sent
 * at most once, so a confirmed order cannot run again. A confirmed load is replaced by a hold in the log. A report
 * proves the absence of a held model only if it confirms an order that was made after the hold: only then is it
 * certainly newer. Memory is counted once for each model on an accelerator, as loading it twice changes nothing.
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

/** @brief Where an intent stands. */
enum class OrderState {
    // Proposed to the log; not yet sent.
    Proposed,
    // Committed; may have been sent and may take effect at any time.
    InFlight,
    // The upstream has run it; it cannot take effect again.
    Consumed,
    // A consumed load whose hold is proposed.
    Covered,
    // A committed hold.
    Held,
    // Settled; its close is to be committed.
    Closing
};

/** @brief An intent in the ledger. */
struct OrderRecord {
    Order order;
    OrderState state = OrderState::Proposed;
    // When the state was entered.
    base::Millis since;
    // How it ended, once closing.
    OrderEnd end = OrderEnd::Done;
    // When its close was last proposed, once closing.
    base::Millis closeProposedAt{INT64_MIN};
};

/** @brief One model or adapter on one accelerator. */
struct Slot {
    // In the latest report.
    bool reported = false;
    std::uint64_t reportedMib = 0;
    // Since when a reported model has been listed.
    base::Millis reportedSince;
    // Every open intent for this model here.
    std::vector<OrderRecord> orders;

    /** @brief Tells the memory that it takes or may take. @return Mebibytes. */
    [[nodiscard]] std::uint64_t memoryMib() const noexcept;
    /** @brief Tells whether an order of a kind has not been settled. @return True while it may take effect. */
    [[nodiscard]] bool isOpen(OrderKind kind) const noexcept;
    /** @brief Tells whether the memory of a confirmed load is held. @return True also while the hold is proposed. */
    [[nodiscard]] bool isHeld() const noexcept;
};

/** @brief One accelerator. */
struct AcceleratorLedger {
    std::string id;
    // 0 until a report lists it.
    std::uint64_t capacityMib = 0;
    std::map<ModelRef, Slot> slots;

    /** @brief Sums the memory of all slots. @return Mebibytes. */
    [[nodiscard]] std::uint64_t usedMib() const noexcept;
    /** @brief Tells the memory that a new load may take. @return Mebibytes. */
    [[nodiscard]] std::uint64_t freeMib() const noexcept;
};

/** @brief One upstream. */
struct UpstreamLedger {
    std::string id;
    // Of the latest report; 0 before the first.
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    std::string dataCentre;
    bool checksFencing = false;
    // Its lease runs.
    bool live = false;
    bool leaving = false;
    std::vector<AcceleratorLedger> accelerators;

    /** @brief Finds an accelerator or adds it. @param id Its id. @return The accelerator. */
    AcceleratorLedger &accelerator(std::string_view id);
    /** @brief Tells whether it may get new loads. @return False when leaving, gone, or known only by an old report. */
    [[nodiscard]] bool isUsable() const noexcept;

    // The greatest incarnation that an intent names.
    std::uint64_t orderedIncarnation = 0;
};

/** @brief The ledger of all upstreams. */
class Ledger
{
public:
    /**
     * @brief Replaces all intents by those that are open in the log; reports are kept.
     * @param now The present time.
     * @param intents The open intents.
     */
    void reset(base::Millis now, std::span<const Order> intents);

    /**
     * @brief Takes an announcement and settles what it proves.
     * @param now The present time.
     * @param report The announcement; ignored when not newer than the last.
     */
    void report(base::Millis now, const membership::Announcement &report);

    /** @brief Notes that an upstream's lease has ended; its memory stays counted. @param upstream Its id. */
    void expire(std::string_view upstream);

    /** @brief Adds a proposed intent, which counts from now on. @param now The present time. @param order The intent.
     */
    void propose(base::Millis now, const Order &order);

    /** @brief Notes a committed intent. @param now The present time. @param id Its id. @return The record, or null. */
    OrderRecord *commit(base::Millis now, std::string_view id);

    /**
     * @brief Adds the hold of a consumed load.
     * @param now The present time.
     * @param load The id of the load, which is consumed.
     * @param fencing The fencing number of the hold.
     * @return The hold, to be proposed to the log.
     */
    Order cover(base::Millis now, std::string_view load, std::uint64_t fencing);

    /** @brief Drops an intent that was not committed, or whose close was. @param id Its id. */
    void drop(std::string_view id);

    /** @brief Notes that an upstream ran an order. @param now The present time. @param id The order's id. */
    void consume(base::Millis now, std::string_view id);

    /**
     * @brief Settles an order that has provably had no effect and never will.
     * @param now The present time.
     * @param id The order's id.
     * @param end How it ended.
     */
    void settle(base::Millis now, std::string_view id, OrderEnd end);

    /** @brief Lists the upstreams. @return All that are known, by id. */
    [[nodiscard]] std::map<std::string, UpstreamLedger, std::less<>> &upstreams() noexcept;
    [[nodiscard]] const std::map<std::string, UpstreamLedger, std::less<>> &upstreams() const noexcept;

    /** @brief Finds an intent. @param id Its id. @return The record, valid until the next change, or null. */
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
    // Where each intent in a slot is.
    std::map<std::string, Place, std::less<>> m_places;
};

} // namespace bamboomoor::placement
