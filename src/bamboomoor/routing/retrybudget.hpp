/**
 * Budgets and delays of retries, so that a fault cannot multiply the load.
 */
#pragma once

#include "bamboomoor/base/clock.hpp"
#include "bamboomoor/base/nametable.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <string_view>

namespace bamboomoor::routing
{

/** @brief Whether a retry is within the budgets. */
enum class BudgetVerdict { Allowed, OrganisationSpent, UpstreamSpent };

/** @brief Names of the verdicts, for counters. */
inline constexpr auto BUDGET_VERDICT_NAMES =
    base::makeNames<BudgetVerdict>("allowed", "organisation_spent", "upstream_spent");

/** @brief Settings of the retry budgets. */
struct RetryBudgetOptions {
    // Retries that each first attempt adds to both budgets.
    double ratio = 0.1;
    // Retries per second that each budget gains without requests.
    double minimumPerSecond = 1;
    // The most retries that a budget saves up; also what it starts with.
    double capacity = 10;
    // Milliseconds after which an unused budget is forgotten.
    base::Millis retention{60'000};
};

/** @brief Token buckets of retries per organisation and per upstream. */
class RetryBudget
{
public:
    /** @brief Makes full budgets. @param options Their settings. */
    explicit RetryBudget(RetryBudgetOptions options = {});

    /**
     * @brief Counts a first attempt.
     * @param now The present time.
     * @param organisation The organisation's id.
     * @param upstream The upstream's id.
     */
    void request(base::Millis now, std::string_view organisation, std::string_view upstream);

    /**
     * @brief Takes a retry from both budgets, or from neither.
     * @param now The present time.
     * @param organisation The organisation's id.
     * @param failedUpstream The upstream whose failure the retry follows.
     * @return Allowed, or which budget is spent.
     */
    [[nodiscard]] BudgetVerdict takeRetry(
        base::Millis now, std::string_view organisation, std::string_view failedUpstream);

    /**
     * @brief Forgets budgets that were not used for the retention.
     * @param now The present time.
     */
    void prune(base::Millis now);

private:
    struct Bucket {
        // In retries; from 0 to the capacity.
        double level = 0;
        base::Millis at;
    };
    using Buckets = std::map<std::string, Bucket, std::less<>>;

    Bucket &refill(Buckets &buckets, base::Millis now, std::string_view name);

    RetryBudgetOptions m_options;
    Buckets m_organisations;
    Buckets m_upstreams;
};

/** @brief Settings of the delays between attempts. */
struct BackoffOptions {
    // Mean of the first delay in milliseconds.
    base::Millis first{20};
    // The longest delay in milliseconds.
    base::Millis limit{1'000};
};

/** @brief Delays that double with each attempt, spread at random between half and one and a half times. */
class Backoff
{
public:
    /** @brief Makes the delays. @param seed Seed of the random numbers. @param options Their settings. */
    explicit Backoff(std::uint64_t seed, BackoffOptions options = {});

    /**
     * @brief Draws a delay.
     * @param failures Failed attempts of the request so far, at least 1.
     * @return Milliseconds, not above the limit.
     */
    [[nodiscard]] base::Millis delay(std::uint32_t failures);

private:
    BackoffOptions m_options;
    std::mt19937_64 m_random;
};

} // namespace bamboomoor::routing
