/**
 * The accelerators of a stand-in engine: what is resident, and what orders do to it.
 */
#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace bamboomoor::fakes
{

/** @brief What occupies memory of an accelerator. */
struct Resident {
    std::string model = {};
    std::string adapter = {};
    std::string version = {};
    std::int64_t memoryMib = 0;
    // Takes memory, but does not answer yet.
    bool loading = false;
};

/** @brief One accelerator. */
struct Accelerator {
    std::string id = {};
    std::int64_t memoryMib = 0;
    std::vector<Resident> residents = {};

    /**
     * @brief Sums the memory taken.
     * @return MiB, over memoryMib when it is overcommitted.
     */
    [[nodiscard]] std::int64_t usedMib() const noexcept;
};

/** @brief An order as it arrives. */
struct Order {
    // As it was written, text or number.
    nlohmann::json id = {};
    std::int64_t fencing = 0;
    bool load = true;
    std::string accelerator = {};
    Resident resident = {};
};

/** @brief What happened to the orders of an engine. */
struct OrderCounts {
    std::int64_t done = 0;
    std::int64_t refused = 0;
    std::int64_t repeated = 0;
    std::int64_t oldFencing = 0;
    // Loads that would have taken more memory than there is: the invariant that the system must keep.
    std::int64_t overCommitted = 0;
};

/** @brief The answer to an order. */
struct OrderOutcome {
    bool done = false;
    std::string reason = {};
};

/** @brief The memory and the orders of one engine; used under its owner's mutex. */
class Ledger
{
public:
    /**
     * @brief Makes a ledger.
     * @param accelerators The accelerators with what is resident.
     * @param checksFencing Whether an order with an old fencing number is refused.
     */
    Ledger(std::vector<Accelerator> accelerators, bool checksFencing);

    /**
     * @brief Begins an order: refuses it, or takes the memory of a load.
     * @param order The order.
     * @return Refused, or done when finish() is to be called at its end.
     */
    [[nodiscard]] OrderOutcome begin(const Order &order);

    /**
     * @brief Puts a begun order into effect.
     * @param order The order.
     */
    void finish(const Order &order);

    /** @brief Forgets all that is resident and all orders, as a restart does. */
    void clear();

    /**
     * @brief Tells whether a model answers.
     * @param name A model, an adapter, or MODEL:ADAPTER.
     * @return True when it is resident and loaded.
     */
    [[nodiscard]] bool serves(const std::string &name) const;

    /**
     * @brief Writes the accelerators for an announcement.
     * @return A JSON array.
     */
    [[nodiscard]] nlohmann::json accelerators() const;

    /**
     * @brief Writes the outcomes of the latest orders for an announcement.
     * @return A JSON array.
     */
    [[nodiscard]] nlohmann::json outcomes() const;

    /**
     * @brief Reads the counters.
     * @return The counters.
     */
    [[nodiscard]] const OrderCounts &counts() const noexcept
    {
        return m_counts;
    }

private:
    [[nodiscard]] OrderOutcome judge(const Order &order);
    void record(const nlohmann::json &id, const OrderOutcome &outcome);

    std::vector<Accelerator> m_accelerators;
    const bool m_checksFencing;
    std::int64_t m_highestFencing = 0;
    // By the id's JSON text; pending orders are in it as done.
    std::map<std::string, OrderOutcome> m_outcomes;
    // Finished ones, the latest last.
    std::deque<nlohmann::json> m_latest;
    OrderCounts m_counts;
};

} // namespace bamboomoor::fakes
