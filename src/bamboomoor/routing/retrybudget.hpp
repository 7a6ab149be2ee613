/**
 * Retry budgets and exponential backoff, which prevent retry storms when upstreams fail.
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

/** @brief Result of a request for a retry. */
enum class RetryBudgetResult { Allowed, OrganisationExhausted, UpstreamExhausted };

/** @brief Names of the results, used as metric labels. */
inline constexpr auto RETRY_BUDGET_RESULT_NAMES =
    base::makeNames<RetryBudgetResult>("allowed", "organisation_spent", "upstream_spent");

/** @brief Settings of the retry budgets. */
struct RetryBudgetOptions {
    // Retries that each first attempt adds to both budgets, as a fraction.
    double ratio = 0.1;
    // Retries per second that are added to each budget independently of requests.
    double minimumPerSecond = 1;
    // Maximum and initial number of retries in a budget.
    double capacity = 10;
    // Milliseconds after which an unused budget is removed.
    base::Millis retention{60'000};
};

/** @brief Token buckets of retries per organisation and per upstream. */
class RetryBudget
{
public:
    /** @brief Constructs full budgets. @param options The settings. */
    explicit RetryBudget(RetryBudgetOptions options = {});

    /**
     * @brief Records a first attempt, which adds to the budgets.
     * @param now The current time.
     * @param organisation The organisation's id.
     * @param upstream The upstream's id.
     */
    void request(base::Millis now, std::string_view organisation, std::string_view upstream);

    /**
     * @brief Takes one retry from both budgets or from neither.
     * @param now The current time.
     * @param organisation The organisation's id.
     * @param failedUpstream The upstream whose failure the retry follows.
     * @return Allowed, or the budget that is exhausted.
     */
    [[nodiscard]] RetryBudgetResult takeRetry(
        base::Millis now, std::string_view organisation, std::string_view failedUpstream);

    /**
     * @brief Removes budgets that have not been used within the retention period.
     * @param now The current time.
     */
    void prune(base::Millis now);

private:
    struct Bucket {
        // Number of retries, from 0 to the capacity.
        double level = 0;
        base::Millis at;
    };
    using Buckets = std::map<std::string, Bucket, std::less<>>;

    Bucket &refill(Buckets &buckets, base::Millis now, std::string_view name);

    RetryBudgetOptions m_options;
    Buckets m_organisations;
    Buckets m_upstreams;
};

/** @brief Settings of the backoff. */
struct BackoffOptions {
    // Mean first delay in milliseconds.
    base::Millis first{20};
    // Maximum delay in milliseconds.
    base::Millis limit{1'000};
};

/** @brief Exponential backoff with a random factor between 0.5 and 1.5. */
class Backoff
{
public:
    /** @brief Constructs the backoff. @param seed Seed of the random numbers. @param options The settings. */
    explicit Backoff(std::uint64_t seed, BackoffOptions options = {});

    /**
     * @brief Draws a delay.
     * @param failures Number of failed attempts of the request so far, at least 1.
     * @return Delay in milliseconds, at most the limit.
     */
    [[nodiscard]] base::Millis delay(std::uint32_t failures);

private:
    BackoffOptions m_options;
    std::mt19937_64 m_random;
};

} // namespace bamboomoor::routing
