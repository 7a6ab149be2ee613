/**
 * Implements the directory of forwarding entries.
 */
#include "bamboomoor/gateway/entrydirectory.hpp"

#include <algorithm>
#include <cstddef>
#include <functional>
#include <utility>

namespace bamboomoor::gateway
{

void EntryDirectory::set(base::Millis now, ForwardingEntry entry)
{
    std::erase_if(m_reports, [&](const auto &it) {
        return now - it.second.at > m_lifetime;
    });
    std::string vm = entry.vm;
    m_reports.insert_or_assign(std::move(vm), Report{now, std::move(entry)});
}

std::vector<std::string> EntryDirectory::peersOf(base::Millis now, const std::string &vm, std::size_t count) const
{
    const auto own = m_reports.find(vm);
    const std::string dataCentre = own == m_reports.end() ? std::string() : own->second.entry.dataCentre;
    std::string key = vm + '\n';
    const std::size_t prefix = key.size();
    // Rendezvous hashing: an entry's peers change little when others come and go.
    std::vector<std::pair<std::size_t, const ForwardingEntry *>> near;
    std::vector<std::pair<std::size_t, const ForwardingEntry *>> far;
    for (const auto &[name, report] : m_reports) {
        if (name == vm || report.entry.address.empty() || now - report.at > m_lifetime) {
            continue;
        }
        auto &group = report.entry.dataCentre == dataCentre ? near : far;
        key.resize(prefix);
        key += name;
        group.emplace_back(std::hash<std::string>()(key), &report.entry);
    }
    const std::size_t fromFar = std::min(far.size(), std::max(count / 2, count - std::min(count, near.size())));
    const std::size_t fromNear = std::min(near.size(), count - fromFar);
    std::partial_sort(near.begin(), near.begin() + static_cast<std::ptrdiff_t>(fromNear), near.end());
    std::partial_sort(far.begin(), far.begin() + static_cast<std::ptrdiff_t>(fromFar), far.end());
    std::vector<std::string> peers;
    for (std::size_t n = 0; n < fromNear; ++n) {
        peers.push_back(near[n].second->address);
    }
    for (std::size_t n = 0; n < fromFar; ++n) {
        peers.push_back(far[n].second->address);
    }
    return peers;
}

} // namespace bamboomoor::gateway
