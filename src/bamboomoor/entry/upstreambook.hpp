/**
 * The upstreams that this daemon knows, shared by its threads.
 */
#pragma once

#include "bamboomoor/base/clock.hpp"
#include "bamboomoor/entry/target.hpp"
#include "bamboomoor/lineage/origin.hpp"
#include "bamboomoor/membership/registry.hpp"
#include "bamboomoor/routing/policy.hpp"
#include "bamboomoor/standing/roomtracker.hpp"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace bamboomoor::entry
{

/** @brief A replica that gets no new work because its unloading is planned. */
struct DrainingReplica {
    std::string upstream;
    std::string model;
    std::string adapter;
    std::string version;

    friend auto operator<=>(const DrainingReplica &, const DrainingReplica &) = default;
};

/** @brief Where an upstream runs. */
struct UpstreamPlace {
    // "IP:PORT".
    std::string address;
    std::uint64_t incarnation = 0;
    // The version of its software; empty if it is not reported.
    std::string software = {};
    std::string dataCentre = {};
};

/** @brief A registry of upstreams behind a lock. */
class UpstreamBook
{
public:
    /**
     * @brief Makes an empty book.
     * @param options The registry's settings.
     */
    explicit UpstreamBook(membership::RegistryOptions options) noexcept
        : m_registry(options)
    {
    }

    /**
     * @brief Takes an announcement.
     * @param now The time of receipt.
     * @param announcement The announcement.
     * @return What became of it.
     */
    membership::AnnounceOutcome announce(base::Millis now, membership::Announcement announcement);

    /** @copydoc membership::Registry::withdraw */
    void withdraw(base::Millis now, const std::string &id, std::uint64_t incarnation);

    /**
     * @brief Finds the latest known process of an upstream, also one whose lease has ended.
     * @param id The upstream.
     * @return Its incarnation, or nothing when it is not known any more.
     */
    [[nodiscard]] std::optional<std::uint64_t> lastIncarnationOf(const std::string &id) const;

    /** @copydoc membership::Registry::expire */
    std::vector<std::string> expire(base::Millis now);

    /** @copydoc membership::Registry::changesSince */
    [[nodiscard]] membership::Delta changesSince(
        base::Millis now, membership::Position since, std::size_t most = 0) const;
    /** @copydoc membership::Registry::position */
    [[nodiscard]] membership::Position position() const;

    /** @copydoc membership::Registry::merge */
    membership::MergeResult merge(base::Millis asOf, const membership::Delta &delta);

    /**
     * @brief Lists the upstreams that can serve a target and take new work.
     * @param now The present time.
     * @param target The target.
     * @return Candidates by ascending id.
     */
    [[nodiscard]] std::vector<routing::Candidate> candidates(base::Millis now, const Target &target) const;

    /**
     * @brief Finds where an upstream listens.
     * @param now The present time.
     * @param id The upstream.
     * @return "IP:PORT", or nothing when it is not known.
     */
    [[nodiscard]] std::optional<std::string> addressOf(base::Millis now, const std::string &id) const;

    /**
     * @brief Finds where an upstream listens, or listened before its lease ended.
     * @param id The upstream.
     * @return "IP:PORT", or nothing when it is not known any more.
     */
    [[nodiscard]] std::optional<std::string> lastAddressOf(const std::string &id) const;

    /**
     * @brief Finds where and as which incarnation an upstream runs.
     * @param now The present time.
     * @param id The upstream.
     * @return Its place, or nothing when it is not known.
     */
    [[nodiscard]] std::optional<UpstreamPlace> placeOf(base::Millis now, const std::string &id) const;

    /**
     * @brief Copies all live upstreams.
     * @param now The present time.
     * @return Entries by ascending id.
     */
    [[nodiscard]] std::vector<membership::Entry> list(base::Millis now) const;

    /**
     * @brief Lists the processes whose address a later one has announced, also those whose lease has ended.
     * @param now The present time.
     * @return Their ids and incarnations, by ascending id.
     */
    [[nodiscard]] std::vector<standing::Run> replaced(base::Millis now) const;

    /**
     * @brief Lists the processes of all live upstreams.
     * @param now The present time.
     * @return Their ids and incarnations, by ascending id.
     */
    [[nodiscard]] std::vector<standing::ListedRun> runs(base::Millis now) const;

    /**
     * @brief Reads the replicas that get no new work.
     * @return All of them.
     */
    [[nodiscard]] std::set<DrainingReplica> draining() const;

    /**
     * @brief Replaces the replicas that get no new work.
     * @param draining All of them.
     */
    void setDraining(std::set<DrainingReplica> draining);

    /**
     * @brief Reads the software versions that the control group has recorded.
     * @return The versions by service.
     */
    [[nodiscard]] lineage::SoftwareVersions software() const;

    /**
     * @brief Replaces the recorded software versions.
     * @param versions All of them.
     */
    void setSoftware(lineage::SoftwareVersions versions);

private:
    [[nodiscard]] bool serves(const membership::Announcement &announcement, const Target &target) const
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

    mutable absl::Mutex m_mutex;
    membership::Registry m_registry ABSL_GUARDED_BY(m_mutex);
    std::set<DrainingReplica> m_draining ABSL_GUARDED_BY(m_mutex);
    lineage::SoftwareVersions m_software ABSL_GUARDED_BY(m_mutex);
};

} // namespace bamboomoor::entry
