/**
 * What a run measured: answers by status and code, times, and the part of requests that met the target.
 */
#pragma once

#include "bamboomoor/base/clock.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

namespace bamboomoor::load
{

/** @brief The target's time to the first token, in milliseconds. */
inline constexpr base::Millis FIRST_TOKEN_TARGET{1'900};
/** @brief The target's time between two tokens, in milliseconds. */
inline constexpr base::Millis TOKEN_GAP_TARGET{45};

/** @brief One request after its end. */
struct Sample {
    std::string organisation = {};
    // 0 when there was no answer.
    int status = 0;
    // The error's code, or how the call ended; "ok" for a whole answer.
    std::string code = {};
    bool whole = false;
    base::Millis firstToken;
    base::Millis total;
    std::int64_t tokens = 0;
    // Times between tokens, in milliseconds; of streams only.
    std::vector<std::int64_t> gaps = {};
};

/** @brief The measures of one organisation, or of all. */
struct Measures {
    std::int64_t requests = 0;
    std::int64_t whole = 0;
    // Whole answers whose first token and mean gap are within the target.
    std::int64_t attained = 0;
    std::int64_t tokens = 0;
    std::map<std::string, std::int64_t> codes = {};
    std::map<int, std::int64_t> statuses = {};
    std::vector<std::int64_t> firstTokens = {};
    std::vector<std::int64_t> gaps = {};
};

/**
 * @brief Reads a percentile by nearest rank.
 * @param values The values; sorted by the call.
 * @param percent From 0 to 100.
 * @return The value, or 0 when there is none.
 */
[[nodiscard]] std::int64_t percentile(std::vector<std::int64_t> &values, double percent);

/** @brief Collects samples; not for several threads at once. */
class Report
{
public:
    /**
     * @brief Adds a request.
     * @param sample The request.
     */
    void add(const Sample &sample);

    /** @brief Counts a request that was not sent, because too many were open. */
    void addNotSent() noexcept
    {
        ++m_notSent;
    }

    /**
     * @brief Writes the report as JSON.
     * @return An object with `all`, `organisations` and `not_sent`.
     */
    [[nodiscard]] nlohmann::json toJson() const;

    /**
     * @brief Writes the report for people.
     * @return Lines, one for all and one for each organisation.
     */
    [[nodiscard]] std::string toText() const;

private:
    Measures m_all;
    std::map<std::string, Measures> m_organisations;
    std::int64_t m_notSent = 0;
};

} // namespace bamboomoor::load
