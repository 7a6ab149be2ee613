/**
 * The upstreams that have withdrawn themselves. What a withdrawal is confirmed for must outlast every process: an entry
 * that learns of the upstream from a late announcement would send requests to it.
 */
#pragma once

#include "bamboomoor/state/limits.hpp"
#include "bamboomoor/state/outcome.hpp"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace bamboomoor::state
{

/** @brief The latest withdrawal of an upstream. */
struct Withdrawal {
    // The process that has withdrawn; all earlier ones of the upstream are gone as well.
    std::uint64_t incarnation = 0;
    // The time of the request, in milliseconds since the Unix epoch.
    std::int64_t wallMillis = 0;
    // The log index of the command.
    std::uint64_t index = 0;

    friend bool operator==(const Withdrawal &, const Withdrawal &) = default;
};

/** @brief The withdrawals of the last minutes. */
class WithdrawalTable
{
public:
    /** @brief Creates an empty table. @param limits The bounds, the same on every replica. */
    explicit WithdrawalTable(const Limits &limits = {}) noexcept
        : m_maxWithdrawals(limits.withdrawals)
        , m_maxNameBytes(limits.withdrawalNameBytes)
        , m_retentionMillis(limits.withdrawalRetentionMillis)
    {
    }

    /**
     * @brief Records a withdrawal, and drops those that are older than the retention or exceed the bound.
     * @param index The log index of the command.
     * @param command The withdrawal; one of an earlier incarnation changes nothing.
     * @return 1 if the upstream is withdrawn now, 0 if its name is too long.
     */
    CountOutcome apply(std::uint64_t index, const RecordWithdrawal &command);

    /**
     * @brief Tells whether a process of an upstream has withdrawn.
     * @param upstream The upstream's id.
     * @param incarnation The process.
     * @return True if this incarnation or a later one has withdrawn.
     */
    [[nodiscard]] bool contains(std::string_view upstream, std::uint64_t incarnation) const;

    /** @brief Returns the latest withdrawals by id. */
    [[nodiscard]] const std::map<std::string, Withdrawal, std::less<>> &withdrawals() const noexcept
    {
        return m_withdrawals;
    }

    /** @brief Returns the log index of the last recorded withdrawal; 0 before the first. */
    [[nodiscard]] std::uint64_t revision() const noexcept
    {
        return m_revision;
    }

    /** @brief Serialises the table. @return The JSON form, as part of a snapshot. */
    [[nodiscard]] nlohmann::json save() const;

    /**
     * @brief Loads the result of save().
     * @param json The JSON form; throws nlohmann::json::exception if it is invalid.
     */
    void load(const nlohmann::json &json);

private:
    void dropOld(std::int64_t wallMillis);

    std::size_t m_maxWithdrawals;
    std::size_t m_maxNameBytes;
    std::int64_t m_retentionMillis;
    std::map<std::string, Withdrawal, std::less<>> m_withdrawals;
    // The greatest index of a withdrawal in the table, as that one is never dropped.
    std::uint64_t m_revision = 0;
};

} // namespace bamboomoor::state
