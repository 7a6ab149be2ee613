/**
 * The lost attempts that an analysis keeps as evidence, within a bound.
 *
 * A crash loses hundreds of attempts, so names are stored once, and nothing here takes time for each pair of attempts.
 */
#pragma once

#include "bamboomoor/base/clock.hpp"
#include "bamboomoor/quarantine/numbering.hpp"
#include "bamboomoor/standing/upstreamsignal.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace bamboomoor::quarantine
{

struct LostAttempt;

/** @brief Keeps lost attempts, with numbers for the names in them. Not thread-safe; moves, but does not copy. */
class LossStore
{
public:
    /** @brief A lost attempt; the names are numbers of names(), the upstream is one of runs(). */
    struct Record {
        base::Millis at;
        std::optional<base::Millis> sentAt;
        // 0 where a part has been cleared by a survival.
        std::vector<std::uint32_t> parts;
        std::uint32_t run = 0;
        std::uint32_t request = 0;
        // 0 if it has been cleared.
        std::uint32_t identity = 0;
        // The identity as it was reported.
        std::uint32_t reported = 0;
        // The upstream has crashed.
        bool confirmed = false;

        /** @brief Tells whether nothing is left that may have caused the loss. */
        [[nodiscard]] bool isCleared() const noexcept;
        /** @brief Tells whether a subject may have caused the loss. @param subject Its number. */
        [[nodiscard]] bool has(std::uint32_t subject) const noexcept;
    };

    /** @brief Creates an empty store. @param maxRecords The bound. */
    explicit LossStore(std::size_t maxRecords) noexcept
        : m_maxRecords(maxRecords)
    {
    }

    /**
     * @brief Adds an attempt, which counts as confirmed if another one at its upstream does. Drops an eighth if there
     * are too many: unconfirmed ones first, then those that leastInformative() chooses.
     * @param attempt The attempt.
     * @return False if it was there already.
     */
    bool add(const LostAttempt &attempt);

    /** @brief Records that an upstream has crashed. @param id Its id. @param before Only incarnations before this one.
     * @param since Only attempts that were lost since. @param until Only attempts that were lost until then. @return
     * True if attempts were confirmed. */
    bool confirm(const std::string &id, std::uint64_t before, base::Millis since, base::Millis until);

    /** @brief Tells whether an upstream is known to have crashed. @param run The upstream. */
    [[nodiscard]] bool isConfirmed(const standing::Run &run) const;

    /** @brief Removes unconfirmed losses at an upstream that has not crashed. @param run The upstream. @param before
     * Only attempts that were lost before this time. */
    void refute(const standing::Run &run, base::Millis before);

    /** @brief Clears a subject of losses. @param subject Its name. @param until The last loss of which. */
    void clear(const std::string &subject, base::Millis until);

    /** @brief Removes attempts. @param isWanted Chooses them. */
    void remove(const std::function<bool(const Record &)> &isWanted);

    /** @brief Lists the attempts by the time of the loss, oldest first. */
    [[nodiscard]] const std::deque<Record> &records() const noexcept
    {
        return m_records;
    }

    /** @brief Tells whether the upstream of an attempt is not known to have crashed. */
    [[nodiscard]] bool hasUnconfirmed() const noexcept
    {
        return m_unconfirmed > 0;
    }

    /** @brief Lists what may have caused losses at several upstreams. @param onlyConfirmed Ignores unconfirmed losses.
     * @return By the subject's number, whether it is in losses at several upstreams. */
    [[nodiscard]] std::vector<bool> atSeveral(bool onlyConfirmed) const;

    /** @brief Returns the numbers of parts, requests and identities. */
    [[nodiscard]] const Numbering<std::string> &names() const noexcept
    {
        return m_names;
    }

    /** @brief Returns the numbers of upstreams. */
    [[nodiscard]] const Numbering<standing::Run> &runs() const noexcept
    {
        return m_runs;
    }

private:
    // Upstream, request and identity.
    using Key = std::tuple<std::uint32_t, std::uint32_t, std::uint32_t>;

    void release(const Record &record);
    void shrink();

    std::size_t m_maxRecords;
    std::deque<Record> m_records;
    std::set<Key> m_known;
    // The upstreams of confirmed attempts.
    std::vector<std::size_t> m_confirmed;
    std::size_t m_unconfirmed = 0;
    Numbering<std::string> m_names;
    Numbering<standing::Run> m_runs;
};

} // namespace bamboomoor::quarantine
