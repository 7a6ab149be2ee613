/**
 * The configuration that this daemon holds, and until when it may be taken as the one in force.
 */
#pragma once

#include "bamboomoor/base/clock.hpp"
#include "bamboomoor/config/document.hpp"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <algorithm>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

namespace bamboomoor::entry
{

/** @brief One version of the configuration with what is looked up in it; never changes. */
struct Configuration {
    std::uint64_t version = 0;
    std::string digest;
    std::string author;
    std::int64_t wallMillis = 0;
    config::Document document;
    // The organisation's name by the digest of the key.
    std::unordered_map<std::string, std::string> organisationByKey;
};

/**
 * @brief Makes a configuration ready for use.
 * @param version Its version.
 * @param digest Its digest.
 * @param document Its document.
 * @return The configuration, with its index of keys.
 */
[[nodiscard]] inline std::shared_ptr<Configuration> makeConfiguration(
    std::uint64_t version, std::string digest, config::Document document)
{
    auto made = std::make_shared<Configuration>();
    made->version = version;
    made->digest = std::move(digest);
    made->document = std::move(document);
    for (const config::Organisation &organisation : made->document.organisations) {
        for (const config::Key &key : organisation.keys) {
            made->organisationByKey.emplace(key.hash, organisation.name);
        }
    }
    return made;
}

/** @brief The data centres whose upstreams get no requests; never changes. */
struct Evacuations {
    // Grows with each change; 0 before the first.
    std::uint64_t revision = 0;
    std::set<std::string> dataCentres;
};

/** @brief The configuration with its freshness lease, and the evacuations, shared by the threads of an entry. */
class InForce
{
public:
    /**
     * @brief Takes a newer version.
     * @param configuration The version; one that is not newer is ignored, as versions only grow.
     */
    void install(std::shared_ptr<const Configuration> configuration)
    {
        const absl::MutexLock lock(&m_mutex);
        if (!m_configuration || configuration->version > m_configuration->version) {
            m_configuration = std::move(configuration);
        }
        if (m_configuration->version >= m_laterVersion) {
            m_outdatedSince.reset();
        }
    }

    /**
     * @brief Notes that a later version than the one held is in force.
     * @param version The later version.
     * @param now The time; the first of several such notes counts until that version is held.
     */
    void noteLater(std::uint64_t version, base::Millis now)
    {
        const absl::MutexLock lock(&m_mutex);
        if (m_configuration && version > m_configuration->version) {
            m_laterVersion = std::max(m_laterVersion, version);
            m_outdatedSince = m_outdatedSince.value_or(now);
        }
    }

    /**
     * @brief Tells since when a later version than the one held is known.
     * @return A point of time; nothing if no later one is known.
     */
    [[nodiscard]] std::optional<base::Millis> outdatedSince() const
    {
        const absl::MutexLock lock(&m_mutex);
        return m_outdatedSince;
    }

    /**
     * @brief Extends the lease of the version held.
     * @param version The version that was confirmed; another one extends nothing.
     * @param until The end of the lease; an earlier end than the present one is ignored.
     */
    void extend(std::uint64_t version, base::Millis until)
    {
        const absl::MutexLock lock(&m_mutex);
        if (m_configuration && m_configuration->version == version && until > m_freshUntil) {
            m_freshUntil = until;
        }
    }

    /**
     * @brief Reads the version held.
     * @return The version, or null before the first.
     */
    [[nodiscard]] std::shared_ptr<const Configuration> current() const
    {
        const absl::MutexLock lock(&m_mutex);
        return m_configuration;
    }

    /**
     * @brief Tells until when the version held is fresh.
     * @return A point of time in milliseconds; 0 before the first confirmation.
     */
    [[nodiscard]] base::Millis freshUntil() const
    {
        const absl::MutexLock lock(&m_mutex);
        return m_freshUntil;
    }

    /**
     * @brief Takes newer evacuations.
     * @param evacuations The evacuations; those of a lower or the same revision are ignored.
     * @return True if they were taken.
     */
    bool evacuate(std::shared_ptr<const Evacuations> evacuations)
    {
        const absl::MutexLock lock(&m_mutex);
        if (evacuations->revision <= m_evacuations->revision) {
            return false;
        }
        m_evacuations = std::move(evacuations);
        return true;
    }

    /** @brief Reads the evacuations. @return The newest that were taken; none before the first. */
    [[nodiscard]] std::shared_ptr<const Evacuations> evacuations() const
    {
        const absl::MutexLock lock(&m_mutex);
        return m_evacuations;
    }

private:
    mutable absl::Mutex m_mutex;
    std::shared_ptr<const Configuration> m_configuration ABSL_GUARDED_BY(m_mutex);
    std::shared_ptr<const Evacuations> m_evacuations ABSL_GUARDED_BY(m_mutex) = std::make_shared<Evacuations>();
    // Refers to m_configuration: a newer version was confirmed no later than it was installed.
    base::Millis m_freshUntil ABSL_GUARDED_BY(m_mutex);
    // The latest version that was noted; held if m_outdatedSince is empty.
    std::uint64_t m_laterVersion ABSL_GUARDED_BY(m_mutex) = 0;
    std::optional<base::Millis> m_outdatedSince ABSL_GUARDED_BY(m_mutex);
};

} // namespace bamboomoor::entry
