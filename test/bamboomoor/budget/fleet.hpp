/**
 * A fleet of holders and authorities in simulated time, with a faulty network, drifting clocks and a replicated log. It
 * records every admission by true time.
 */
#pragma once

#include "bamboomoor/budget/authority.hpp"
#include "bamboomoor/budget/holder.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace bamboomoor::budget::test
{

/** @brief True time in microseconds. */
using Micros = std::int64_t;

/** @brief The injected faults; none by default. */
struct Faults {
    int lossPercent = 0;
    int repeatPercent = 0;
    Micros maxDelay = 1'500;
    // The maximum rate error of the clocks.
    int driftPermille = 0;
    int commitLossPercent = 0;
    // The longest time from the proposal of a ceiling to its commit.
    Micros maxCommit = 3'500;
    // Holders return their tokens after this time without a spend, in milliseconds.
    base::Millis idleTimeout{250};
};

/** @brief One admitted request. */
struct Use {
    Micros at = 0;
    // The estimate; after the settlement, the part of it that was used.
    Tokens tokens = 0;
    Micros settledAt = INT64_MAX;
    Tokens estimate = 0;
};

/** @brief A simulated fleet that serves one organisation. */
class Fleet
{
public:
    Fleet(std::uint32_t seed, int holders, const Faults &faults, const Limit &limit, int optionDrift);

    void run(Micros until);
    void request(int holder, Tokens estimate, Tokens actual, Micros duration);
    void kill(int holder);
    void freeze(int holder, Micros duration);
    // Drops every message from and to the holder.
    void cutOff(int holder, Micros duration);
    // Starts a new authority. If the old one keeps running, some holders reach only it for the time `split`.
    void takeOver(bool keepOldLeader, Micros split);
    void setLimit(const Limit &limit);
    [[nodiscard]] Micros now() const
    {
        return m_now;
    }

    std::vector<Use> uses;
    int refused = 0;
    // Refusals although a single bucket would have contained enough tokens.
    int wrongful = 0;
    Micros longestWait = 0;

private:
    struct SkewedClock {
        std::int64_t drift = 0;
        std::int64_t offset = 0;
        [[nodiscard]] base::Millis at(Micros t) const
        {
            return {(t + t * drift / 1000) / 1000 + offset};
        }
    };
    struct Pending {
        Tokens estimate = 0;
        Tokens actual = 0;
        Micros duration = 0;
        Micros arrival = 0;
    };
    struct Vm {
        SkewedClock clock;
        std::unique_ptr<Holder> holder;
        std::uint64_t incarnation = 0;
        Micros frozenUntil = 0;
        Micros cutOffUntil = 0;
        Micros splitUntil = 0;
        std::size_t leader = 0;
        std::map<std::uint64_t, Pending> pending;
    };
    struct Leader {
        SkewedClock clock;
        std::unique_ptr<Authority> authority;
        bool alive = true;
    };

    void after(Micros delay, std::function<void()> action);
    void atHolder(int n, std::uint64_t incarnation, const std::function<void(Vm &)> &action);
    void transmit(const std::function<void()> &action);
    void scheduleTick(int holder, std::uint64_t incarnation);
    void start(int n);
    void poll(int n);
    void decide(int n, const Admission &admission);
    void deliver(const TokenRequest &tokenRequest, int n, std::size_t leader);
    void propose(std::size_t leader);
    [[nodiscard]] double idealLevel(Micros settledBefore) const;
    [[nodiscard]] int percent();
    [[nodiscard]] SkewedClock makeClock();

    std::mt19937 m_random;
    Faults m_faults;
    Limit m_limit;
    int m_optionDrift;
    Micros m_now = 0;
    std::multimap<Micros, std::function<void()>> m_events;
    std::vector<Vm> m_vms;
    std::vector<Leader> m_leaders;
    std::map<std::string, CeilingEntry> m_log;
};

} // namespace bamboomoor::budget::test
