/**
 * A count of replicas over the whole ledger, taken at each planning and kept up to date during it.
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

/** @brief A hash of model references. */
struct ModelRefHash {
    [[nodiscard]] std::size_t operator()(const ModelRef &ref) const noexcept;
};

/** @brief A model at an upstream. */
using DrainKey = std::pair<std::string, ModelRef>;

/** @brief A model that is being taken from an upstream. */
struct Drain {
    std::string accelerator;
    // True once no daemon routes there.
    bool confirmed = false;
    // When StartDrain was last sent.
    base::Millis sentAt;
    // When an unload was last proposed.
    base::Millis orderedAt{INT64_MIN};
};

/** @brief All drains. */
using Drains = std::map<DrainKey, Drain>;

/** @brief Replicas of one model or adapter. */
struct Replicas {
    // Null when the catalogue does not list it.
    const CatalogueEntry *entry = nullptr;
    std::uint32_t target = 0;
    // Resident at a live upstream that is neither leaving nor drained.
    std::uint32_t live = 0;
    // Being loaded.
    std::uint32_t pending = 0;
    // Live and pending replicas by data centre.
    std::map<std::string_view, std::uint32_t> dataCentres;
    // Demand per replica that a replica can serve.
    double pressure = 0;

    /** @brief Counts replicas. @return Live and pending ones. */
    [[nodiscard]] std::uint32_t count() const noexcept
    {
        return live + pending;
    }
};

/** @brief Times after which an order no longer holds back others. */
struct Timeouts {
    // In milliseconds.
    base::Millis load;
    base::Millis unload;
};

/** @brief Tells whether an order still holds back others. @return False once its timeout has passed. */
[[nodiscard]] bool isFresh(base::Millis now, const OrderRecord &record, const Timeouts &timeouts) noexcept;

/** @brief Tells whether a model is being loaded into a slot. @return False once the load's timeout has passed. */
[[nodiscard]] bool isPending(base::Millis now, const Slot &slot, const Timeouts &timeouts) noexcept;

/** @brief Counts of all replicas. */
class Survey
{
public:
    /**
     * @brief Counts.
     * @param now The present time.
     * @param ledger The ledger, which must outlive the survey.
     * @param catalogue The models, which must outlive the survey.
     * @param drains The models being taken away.
     * @param timeouts The timeouts of orders.
     */
    Survey(base::Millis now, const Ledger &ledger, const std::vector<CatalogueEntry> &catalogue, const Drains &drains,
        const Timeouts &timeouts);

    /** @brief Finds the replicas of a model. @param ref The model. @return Its replicas, added when new. */
    Replicas &of(const ModelRef &ref);

    /** @brief Lists the replicas of the catalogue's entry. @param n Its index. @return Its replicas. */
    Replicas &at(std::size_t n)
    {
        return m_replicas[n];
    }

    // Loads in flight of models, and of adapters.
    std::uint32_t modelLoads = 0;
    std::uint32_t adapterLoads = 0;
    // Memory of usable accelerators in mebibytes.
    std::uint64_t totalMib = 0;
    std::uint32_t usableUpstreams = 0;
    std::set<std::string_view> dataCentres;

private:
    void countSlot(base::Millis now, const UpstreamLedger &upstream, const ModelRef &ref, const Slot &slot,
        const Drains &drains, const Timeouts &timeouts);

    // The catalogue's entries first, in their order.
    std::vector<Replicas> m_replicas;
    std::unordered_map<ModelRef, std::size_t, ModelRefHash> m_index;
};

} // namespace bamboomoor::placement::internal
