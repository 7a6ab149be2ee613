/**
 * Orders against the memory of accelerators.
 */
#include "fakes/ledger.hpp"

#include <algorithm>
#include <cstdio>
#include <utility>

namespace bamboomoor::fakes
{

namespace
{

// Outcomes that an announcement carries.
constexpr std::size_t MAX_LATEST = 32;

bool isSame(const Resident &lhs, const Resident &rhs) noexcept
{
    return lhs.model == rhs.model && lhs.adapter == rhs.adapter && lhs.version == rhs.version;
}

} // namespace

std::int64_t Accelerator::usedMib() const noexcept
{
    std::int64_t used = 0;
    for (const Resident &it : residents) {
        used += it.memoryMib;
    }
    return used;
}

Ledger::Ledger(std::vector<Accelerator> accelerators, bool checksFencing)
    : m_accelerators(std::move(accelerators))
    , m_checksFencing(checksFencing)
{
}

OrderOutcome Ledger::begin(const Order &order)
{
    const auto known = m_outcomes.find(order.id.dump());
    if (known != m_outcomes.end()) {
        ++m_counts.repeated;
        return {false, known->second.done ? "repeated" : known->second.reason};
    }
    OrderOutcome outcome = judge(order);
    m_outcomes[order.id.dump()] = outcome;
    if (!outcome.done) {
        ++m_counts.refused;
        record(order.id, outcome);
    }
    return outcome;
}

OrderOutcome Ledger::judge(const Order &order)
{
    if (m_checksFencing && order.fencing < m_highestFencing) {
        ++m_counts.oldFencing;
        return {false, "old_fencing"};
    }
    m_highestFencing = std::max(m_highestFencing, order.fencing);
    const auto accelerator = std::find_if(m_accelerators.begin(), m_accelerators.end(), [&](const Accelerator &it) {
        return it.id == order.accelerator;
    });
    if (accelerator == m_accelerators.end()) {
        return {false, "unknown_accelerator"};
    }
    auto &residents = accelerator->residents;
    const bool present = std::any_of(residents.begin(), residents.end(), [&](const Resident &it) {
        return isSame(it, order.resident);
    });
    if (!order.load) {
        return {present, present ? "" : "not_resident"};
    }
    if (present) {
        return {false, "already_resident"};
    }
    if (accelerator->usedMib() + order.resident.memoryMib > accelerator->memoryMib) {
        ++m_counts.overCommitted;
        std::fprintf(stderr, "OVERCOMMIT: order %s on %s: %lld + %lld of %lld MiB\n", order.id.dump().c_str(),
            accelerator->id.c_str(), static_cast<long long>(accelerator->usedMib()),
            static_cast<long long>(order.resident.memoryMib), static_cast<long long>(accelerator->memoryMib));
        return {false, "no_memory"};
    }
    residents.push_back(order.resident);
    residents.back().loading = true;
    return {true, {}};
}

void Ledger::finish(const Order &order)
{
    // A restart in between has forgotten the order.
    if (!m_outcomes.contains(order.id.dump())) {
        return;
    }
    for (Accelerator &accelerator : m_accelerators) {
        if (accelerator.id != order.accelerator) {
            continue;
        }
        if (!order.load) {
            std::erase_if(accelerator.residents, [&](const Resident &it) {
                return isSame(it, order.resident);
            });
        }
        for (Resident &it : accelerator.residents) {
            it.loading = it.loading && !isSame(it, order.resident);
        }
    }
    ++m_counts.done;
    record(order.id, {true, {}});
}

void Ledger::record(const nlohmann::json &id, const OrderOutcome &outcome)
{
    m_latest.push_back({{"order_id", id}, {"outcome", outcome.done ? "done" : "refused"}});
    if (m_latest.size() > MAX_LATEST) {
        m_latest.pop_front();
    }
}

void Ledger::clear()
{
    for (Accelerator &it : m_accelerators) {
        it.residents.clear();
    }
    m_outcomes.clear();
    m_latest.clear();
    m_highestFencing = 0;
}

bool Ledger::serves(const std::string &name) const
{
    const auto answers = [&name](const Resident &it) {
        return !it.loading && (it.model == name || it.adapter == name || it.model + ":" + it.adapter == name);
    };
    return std::any_of(m_accelerators.begin(), m_accelerators.end(), [&](const Accelerator &it) {
        return std::any_of(it.residents.begin(), it.residents.end(), answers);
    });
}

nlohmann::json Ledger::accelerators() const
{
    auto list = nlohmann::json::array();
    for (const Accelerator &accelerator : m_accelerators) {
        auto residents = nlohmann::json::array();
        for (const Resident &it : accelerator.residents) {
            if (!it.loading) {
                residents.push_back({{"model", it.model}, {"adapter", it.adapter}, {"version", it.version},
                    {"memory_mib", it.memoryMib}});
            }
        }
        list.push_back({{"id", accelerator.id}, {"memory_mib", accelerator.memoryMib}, {"resident", residents}});
    }
    return list;
}

nlohmann::json Ledger::outcomes() const
{
    auto list = nlohmann::json::array();
    for (const nlohmann::json &it : m_latest) {
        list.push_back(it);
    }
    return list;
}

} // namespace bamboomoor::fakes
