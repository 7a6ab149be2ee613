/**
 * The settings of one daemon process, written in TOML and fixed while it runs.
 * What all daemons share is in the configuration document instead, see the config module.
 */
#pragma once

#include "bamboomoor/base/clock.hpp"
#include "bamboomoor/base/outcome.hpp"

#include <cstdint>
#include <filesystem>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bamboomoor::settings
{

/** @brief One voter of the control group. */
struct Voter {
    // The name of its VM; unique in the list.
    std::string name;
    // Where its peers reach it, "IP:PORT".
    std::string address;

    friend bool operator==(const Voter &, const Voter &) = default;
};

/** @brief Section [group]: a control group that finds itself; goes with [[seed]] instead of [[voter]]. */
struct GroupSettings {
    // Control addresses of some members, "IP:PORT"; their peer port is that of this daemon. Empty without a group.
    std::vector<std::string> seeds;
    // Voters wanted; twice the losses to be borne, and one.
    std::int64_t size = 5;

    friend bool operator==(const GroupSettings &, const GroupSettings &) = default;
};

/** @brief Section [relay]: how an entry relays requests to services. */
struct RelaySettings {
    // Attempts beyond the first that a service may get, in thousandths of the requests for it.
    std::int64_t retryPermille = 200;
    // The time over which retries are counted.
    base::Millis retryWindow{10'000};
    // The longest plain answer of an upstream, and all that are kept until they are whole.
    std::int64_t maxAnswerBytes = 4'194'304;
    std::int64_t maxHeldBytes = 33'554'432;
    // How long an entry serves by a version of which it knows that a later one is in force.
    base::Millis outdatedLimit{1'000};
    // True when an entry that is cut off from the control group goes on with what it knows.
    bool servesWhenCutOff = true;

    friend bool operator==(const RelaySettings &, const RelaySettings &) = default;
};

/** @brief Section [control]: the control group's timing. */
struct ControlSettings {
    // At least 3 heartbeats.
    base::Millis electionTimeout{900};
    base::Millis heartbeat{150};
    // How long a confirmed configuration counts as fresh, from the moment when it was asked for.
    base::Millis freshnessLease{2'000};

    friend bool operator==(const ControlSettings &, const ControlSettings &) = default;
};

/** @brief Section [upstreams]: how upstreams are watched. */
struct UpstreamSettings {
    base::Millis lease{3'000};
    // How long a control VM that has just started may lack upstreams that live; 0 for two leases.
    base::Millis warmUp;
    // The longest silence within one answer.
    base::Millis progressTimeout{10'000};
    // The upper bound of the time for which an upstream closes itself.
    base::Millis maxClosure{600'000};
    // The most requests of this entry at one engine.
    std::int64_t engineDepth = 16;

    friend bool operator==(const UpstreamSettings &, const UpstreamSettings &) = default;
};

/** @brief Section [entry]: what callers meet. */
struct EntrySettings {
    // The most requests that wait at once.
    std::int64_t queueLimit = 10'000;
    std::int64_t maxBodyBytes = 4'194'304;
    // How long readiness fails before the entry stops to accept; at most drainLimit.
    base::Millis drainNotice{5'000};
    // When a shutdown cuts what is left.
    base::Millis drainLimit{60'000};
    std::int64_t threads = 8;

    friend bool operator==(const EntrySettings &, const EntrySettings &) = default;
};

/** @brief Section [memory]: what the process may use. */
struct MemorySettings {
    // The memory of the machine, in MiB; 0 for what the machine reports.
    std::int64_t machineMib = 0;

    friend bool operator==(const MemorySettings &, const MemorySettings &) = default;
};

/** @brief Section [budget]: grants of tokens from the authority to entries. */
struct BudgetSettings {
    // How long an entry may spend from a grant, by its own clock.
    base::Millis grantLease{2'000};
    // The most by which any clock runs fast or slow, in thousandths; the budgets refill slower by as much.
    std::int64_t driftPermille = 10;
    // How long a committed ceiling lets the authority grant.
    base::Millis reserve{3'000};

    friend bool operator==(const BudgetSettings &, const BudgetSettings &) = default;
};

/** @brief Section [placement]: how models and adapters are loaded. */
struct PlacementSettings {
    std::int64_t loadsPerSecond = 2;
    std::int64_t loadsAtOnce = 16;
    std::int64_t adaptersInFlight = 130;
    // The time between two decisions.
    base::Millis decision{500};
    // The span over which the store's rate of loads is kept.
    base::Millis storeWindow{5'000};

    friend bool operator==(const PlacementSettings &, const PlacementSettings &) = default;
};

/** @brief All settings of one daemon process. */
struct Settings {
    // The VM's name, unique in the deployment.
    std::string vm;
    std::string dataCentre;
    std::string region;
    // All data centres of the deployment, as [[known_data_centre]]; empty if they are not listed.
    std::vector<std::string> dataCentres;
    // Where callers, operators and upstreams connect, "IP:PORT".
    std::string listen;
    // Where other daemons connect, "IP:PORT".
    std::string peerListen;
    // Where log and snapshots lie; nothing for a diskless entry, which is never a voter.
    std::optional<std::filesystem::path> dataFolder;
    // True only while a new control group is founded; needs a data folder and a place in the list of voters.
    bool bootstrap = false;
    // Where the balancer asks for readiness and where metrics are served, "IP:PORT"; empty for listen.
    std::string readinessListen;
    // Where an entry forwards requests of other entries, "IP:PORT"; empty if it does not.
    std::string forwardListen;
    // The control group; empty exactly where there are seeds.
    std::vector<Voter> voters;
    // The secret that operators present, as given; empty only where there are seeds.
    std::string operatorToken;
    GroupSettings group;
    RelaySettings relay;
    ControlSettings control;
    UpstreamSettings upstreams;
    EntrySettings entry;
    MemorySettings memory;
    BudgetSettings budget;
    PlacementSettings placement;

    friend bool operator==(const Settings &, const Settings &) = default;
};

/** @brief Why settings were not accepted. */
struct SettingsError {
    // One line that names the file, the key and what is allowed.
    std::string message;
};

/**
 * @brief Returns the memory of the machine as set, or as the machine reports it.
 * @param settings The settings.
 * @return Size in bytes.
 */
[[nodiscard]] std::size_t machineBytes(const MemorySettings &settings);

/**
 * @brief Parses and checks settings.
 * @param text The TOML text.
 * @param name The name of the text's source, for messages.
 * @return The settings, or the first mistake.
 */
[[nodiscard]] base::Result<Settings, SettingsError> parseSettings(std::string_view text, std::string_view name);

/**
 * @brief Reads, parses and checks a settings file.
 * @param path The file.
 * @return The settings, or the first mistake; a file that cannot be read is one.
 */
[[nodiscard]] base::Result<Settings, SettingsError> loadSettings(const std::filesystem::path &path);

} // namespace bamboomoor::settings
