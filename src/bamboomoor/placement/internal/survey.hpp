/**
 * Replica counts over the whole ledger, taken at the start of each planning cycle and updated during it.
 */
#pragma once

#include "bamboomoor/base/clock.hpp"
#include "bamboomoor/placement/ledger.hpp"
#include "bamboomoor/placement/message.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace bamboomoor::placement::internal
{

struct ModelRefHash {
    [[nodiscard]] std::size_t operator()(const ModelRef &ref) const noexcept;
};

/** @brief Upstream and model. */
using DrainKey = std::pair<std::string, ModelRef>;

/** @brief Progress of removing a model from an upstream. */
struct Drain {
    std::string accelerator;
    // True once all daemons have stopped routing to it.
    bool confirmed = false;
    // Time of the last StartDrain.
    base::Millis sentAt;
    // Time at which an unload was last proposed.
    base::Millis orderedAt{INT64_MIN};
};

/** @brief Drains by upstream and model. */
using Drains = std::map<DrainKey, Drain>;

/** @brief Replicas of one model or adapter. */
struct Replicas {
    // Null if the model is not in the catalogue.
    const CatalogueEntry *entry = nullptr;
    std::uint32_t target = 0;
    // Resident on a usable upstream and not being drained or unloaded.
    std::uint32_t live = 0;
    // Being loaded.
    std::uint32_t pending = 0;
    // Live and pending replicas by data centre.
    std::map<std::string_view, std::uint32_t> dataCentres;
    // Demand as a fraction of the capacity of the replicas.
    double pressure = 0;

    /** @brief Returns the number of live and pending replicas. */
    [[nodiscard]] std::uint32_t count() const noexcept
    {
        return live + pending;
    }
};

/** @brief Time-outs after which an order no longer delays others. */
struct Timeouts {
    // In milliseconds.
    base::Millis load;
    base::Millis unload;
};

/** @brief Returns whether an order still delays others, that is, whether its timeout has not passed. */
[[nodiscard]] bool isFresh(base::Millis now, const OrderRecord &record, const Timeouts &timeouts) noexcept;

/** @brief Returns whether a model is being loaded into a slot and the load has not timed out. */
[[nodiscard]] bool isPending(base::Millis now, const Slot &slot, const Timeouts &timeouts) noexcept;

/** @brief Replica counts of all models. */
class Survey
{
public:
    /**
     * @brief Counts the replicas in the ledger.
     * @param now The current time.
     * @param ledger The ledger, which must outlive the survey.
     * @param catalogue The models, which must outlive the survey.
     * @param drains The models being drained.
     * @param timeouts The timeouts of orders.
     */
    Survey(base::Millis now, const Ledger &ledger, const std::vector<CatalogueEntry> &catalogue, const Drains &drains,
        const Timeouts &timeouts);

    /** @brief Returns the counts of a model. @param ref The model. @return Its counts, added if missing; valid until
     * the next addition. */
    Replicas &of(const ModelRef &ref);

    /** @brief Returns the counts of a catalogue entry. @param n Index in the catalogue. */
    Replicas &at(std::size_t n)
    {
        return m_replicas[n];
    }

    // Loads of models and of adapters in flight.
    std::uint32_t modelLoads = 0;
    std::uint32_t adapterLoads = 0;
    // Memory of all usable accelerators, in MiB.
    std::uint64_t totalMib = 0;
    std::uint32_t usableUpstreams = 0;
    std::set<std::string_view> dataCentres;

private:
    void countSlot(base::Millis now, const UpstreamLedger &upstream, const ModelRef &ref, const Slot &slot,
        const Drains &drains, const Timeouts &timeouts);

    // Catalogue entries first, in catalogue order.
    std::vector<Replicas> m_replicas;
    std::unordered_map<ModelRef, std::size_t, ModelRefHash> m_index;
};

} // namespace bamboomoor::placement::internal
