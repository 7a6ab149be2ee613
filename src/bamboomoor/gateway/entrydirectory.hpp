/**
 * The entries that forward requests of others, as the leader of the control group knows them from their reports.
 */
#pragma once

#include "bamboomoor/base/clock.hpp"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace bamboomoor::gateway
{

/** @brief The report of one entry. */
struct ForwardingEntry {
    std::string vm;
    std::string dataCentre;
    // "IP:PORT"; empty while it does not forward.
    std::string address;
};

/** @brief Selects the entries that each entry is told of. */
class EntryDirectory
{
public:
    /** @brief Creates an empty directory. @param lifetime Lifetime of a report. */
    explicit EntryDirectory(base::Millis lifetime) noexcept
        : m_lifetime(lifetime)
    {
    }

    /** @brief Replaces an entry's report. @param now The current time. @param entry The report. */
    void set(base::Millis now, ForwardingEntry entry);

    /**
     * @brief Selects peers of an entry, half of them in its own data centre as far as there are any; different entries
     * get different ones.
     * @param now The current time.
     * @param vm The entry.
     * @param count The most peers.
     * @return Their addresses.
     */
    [[nodiscard]] std::vector<std::string> peersOf(base::Millis now, const std::string &vm, std::size_t count) const;

private:
    struct Report {
        base::Millis at;
        ForwardingEntry entry;
    };

    base::Millis m_lifetime;
    std::map<std::string, Report> m_reports;
};

} // namespace bamboomoor::gateway
