/**
 * Simulated cluster for the placement tests: upstreams with their true state, a log, a network of orders, and two
 * planners.
 */
#pragma once

#include "bamboomoor/placement/planner.hpp"

#include <array>
#include <deque>
#include <set>
#include <string>

namespace bamboomoor::placement::test
{

inline constexpr std::size_t PLANNERS = 2;
inline constexpr std::size_t UPSTREAMS = 5;
inline constexpr std::uint64_t CAPACITY_MIB = 100;

struct TrueAccelerator {
    std::map<ModelRef, std::uint64_t> resident;
};

struct TrueUpstream {
    std::string id;
    bool up = true;
    bool checksFencing = false;
    std::uint64_t incarnation = 1;
    std::uint64_t sequence = 0;
    std::uint64_t highestFencing = 0;
    std::array<TrueAccelerator, 2> accelerators;
    std::deque<membership::OrderOutcome> lastOrders;
    std::set<std::string> ran;
    // All announcements so far.
    std::vector<membership::Announcement> history;
};

struct Message {
    Order order;
    std::size_t sender = 0;
};

class World
{
public:
    /** @brief Constructs empty upstreams and the default catalogue. */
    World();

    /** @brief Replaces the models. @param catalogue The models. */
    void setCatalogue(const Catalogue &catalogue);

    /** @brief Returns a catalogue whose models fill most of the memory. */
    [[nodiscard]] static Catalogue defaultCatalogue();

    /** @brief Applies one fuzzed step. @param code Any number. */
    void apply(std::uint32_t code);

    /** @brief Ends all faults and advances time. @param codes Determine which orders are still executed.
     * @param ticks Duration in half seconds. */
    void settle(std::uint32_t codes, int ticks);

    // First violation found; empty for none.
    std::string violation;

    /** @brief Returns the names of the models without a live replica. */
    [[nodiscard]] std::vector<std::string> unreachable() const;

    std::array<TrueUpstream, UPSTREAMS> upstreams;

private:
    void feed(std::size_t planner, const Input &input);
    void handle(std::size_t planner, const Output &output);
    void commit(std::size_t planner, const Order &order);
    void announce(TrueUpstream &upstream);
    void deliverReport(std::size_t planner, TrueUpstream &upstream, std::uint32_t choice);
    void deliverOrder(std::uint32_t choice, bool doubled);
    membership::OrderResult run(TrueUpstream &upstream, const Order &order);
    void checkMemory(const TrueUpstream &upstream);
    void restart(TrueUpstream &upstream, bool keepsResidents);
    void elect(std::size_t planner);
    void demand(std::uint32_t code);
    void pump(std::size_t planner);

    Catalogue m_catalogue;
    base::Millis m_now{100'000};
    std::array<Planner, PLANNERS> m_planners;
    // Log events and replies not yet delivered to each planner, in order.
    std::array<std::deque<Input>, PLANNERS> m_events;
    std::size_t m_leader = 0;
    std::uint64_t m_term = 0;
    std::map<std::string, Order> m_open;
    std::uint64_t m_lastFencing = 0;
    std::vector<Message> m_network;
    std::set<std::string> m_committed;
    std::set<std::string> m_sent;
};

} // namespace bamboomoor::placement::test
