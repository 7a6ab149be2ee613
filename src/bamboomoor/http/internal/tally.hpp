/**
 * The counters of a server, shared by its threads.
 */
#pragma once

#include <atomic>
#include <cstdint>

namespace bamboomoor::http::internal
{

/** @brief The changing form of ServerCounters, whose members have the same meaning. */
struct Tally {
    std::atomic<std::uint64_t> connections = 0;
    std::atomic<std::uint64_t> openConnections = 0;
    std::atomic<std::uint64_t> requests = 0;
    std::atomic<std::uint64_t> openRequests = 0;
    std::atomic<std::uint64_t> headerTooLarge = 0;
    std::atomic<std::uint64_t> bodyTooLarge = 0;
    std::atomic<std::uint64_t> overHeldBodies = 0;
    std::atomic<std::uint64_t> evictedBodies = 0;
    std::atomic<std::uint64_t> evictedHeads = 0;
    std::atomic<std::uint64_t> malformed = 0;
    std::atomic<std::uint64_t> slowSender = 0;
    std::atomic<std::uint64_t> slowReader = 0;
    std::atomic<std::uint64_t> callersGone = 0;
    std::atomic<std::uint64_t> withoutRequest = 0;
    std::atomic<std::uint64_t> evictedConnections = 0;
    std::atomic<std::uint64_t> overConnections = 0;
};

} // namespace bamboomoor::http::internal
