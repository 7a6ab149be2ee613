/**
 * Implements the process of a daemon.
 */
#include "bamboomoor/gateway/process.hpp"

#include "bamboomoor/base/eventlog.hpp"
#include "bamboomoor/base/processmemory.hpp"
#include "bamboomoor/gateway/controldaemon.hpp"
#include "bamboomoor/gateway/entrydaemon.hpp"
#include "bamboomoor/gateway/identity.hpp"
#include "bamboomoor/gateway/logsink.hpp"

#include <glog/logging.h>
#include <popt.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <ctime>
#include <fstream>
#include <iostream>
#include <iterator>
#include <memory>
#include <optional>
#include <string_view>
#include <utility>

namespace bamboomoor::gateway
{

namespace
{

constexpr int DONE = 0;
constexpr int FAILED = 1;
constexpr int USAGE = 2;
constexpr std::string_view ENTRY = "entry";
// Polling interval of the settings file, which may change without a signal.
constexpr timespec SETTINGS_POLL{1, 0};
// Pause before a data folder that could not be written is tried again.
constexpr timespec DISK_RETRY{0, 200'000'000};
constexpr std::size_t CONTROL_BODY_BYTES = 4'194'304;
constexpr unsigned CONTROL_CONNECTIONS = 1'500;

std::string hostOf(const std::string &address)
{
    return address.substr(0, address.rfind(':'));
}

std::string portOf(const std::string &address)
{
    return address.substr(address.rfind(':') + 1);
}

sigset_t watchedSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    return signals;
}

std::string readFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

/** @brief Reloads the settings file when it has changed. */
class SettingsWatch
{
public:
    SettingsWatch(std::string path, Process &process, base::EventLog &log)
        : m_path(std::move(path))
        , m_process(process)
        , m_log(log)
        , m_text(readFile(m_path))
    {
    }

    void look(bool signalled)
    {
        std::string text = readFile(m_path);
        if (text.empty() || text == m_text) {
            if (signalled) {
                m_log.write(base::LogLine("reloaded").add("changed", 0));
            }
            return;
        }
        m_text = std::move(text);
        const auto settings = settings::parseSettings(m_text, m_path);
        if (!settings) {
            m_log.write(base::LogLine("reload_refused").add("reason", settings.error().message));
            return;
        }
        m_process.reload(settings.value());
        m_log.write(base::LogLine("reloaded").add("changed", 1).add("signal", signalled ? 1 : 0));
    }

private:
    const std::string m_path;
    Process &m_process;
    base::EventLog &m_log;
    std::string m_text;
};

void runUntilStopped(const sigset_t &signals, SettingsWatch &watch)
{
    while (true) {
        const int received = sigtimedwait(&signals, nullptr, &SETTINGS_POLL);
        if (received == SIGTERM || received == SIGINT) {
            return;
        }
        watch.look(received == SIGHUP);
    }
}

base::Result<std::unique_ptr<Process>, std::string> makeProcess(
    bool entry, settings::Settings settings, std::string identity, const Dialects &dialects, base::EventLog &log)
{
    if (settings.group.seeds.empty()) {
        return base::failure(std::string("seed: is missing; must name at least one [[seed]] with an address"));
    }
    if (entry) {
        if (settings.readinessListen.empty()) {
            return base::failure(std::string("readiness_listen: is missing; must be an address"));
        }
        return std::unique_ptr<Process>(std::make_unique<EntryDaemon>(std::move(settings), dialects, log));
    }
    if (!settings.dataFolder) {
        return base::failure(std::string("data_folder: is missing; a control VM must have one"));
    }
    return std::unique_ptr<Process>(
        std::make_unique<ControlDaemon>(std::move(settings), std::move(identity), dialects, log));
}

/**
 * @brief Reads the identity of the data folder, or makes one. A full disk is tried again until it has room: a process
 * that ended instead would have to be started by hand.
 * @return The identity, or nothing if a signal to stop came first; fails if the folder cannot be used.
 */
base::Result<std::optional<std::string>, IdentityError> awaitIdentity(
    const settings::Settings &settings, const sigset_t &signals, base::EventLog &log)
{
    const auto seeds = seedNames(settings);
    const bool seeded =
        std::find(seeds.begin(), seeds.end(), consensus::ADDRESS_MARK + settings.peerListen) != seeds.end();
    const std::string folder = settings.dataFolder->string();
    bool isLogged = false;
    while (true) {
        auto identity = readIdentity(folder, settings.bootstrap && seeded, settings.peerListen);
        if (identity) {
            return std::optional(std::move(identity.value()));
        }
        if (!identity.error().isTransient) {
            return base::failure(std::move(identity.error()));
        }
        if (!std::exchange(isLogged, true)) {
            log.write(base::LogLine("start_delayed").add("reason", "data_folder: " + identity.error().message));
        }
        const int received = sigtimedwait(&signals, nullptr, &DISK_RETRY);
        if (received == SIGTERM || received == SIGINT) {
            return std::optional<std::string>();
        }
    }
}

int run(bool entry, const std::string &path, const Dialects &dialects)
{
    base::EventLog log;
    const LogSink sink(log);
    const sigset_t signals = watchedSignals();
    auto settings = settings::loadSettings(path);
    if (!settings) {
        log.write(base::LogLine("not_started").add("reason", settings.error().message));
        return USAGE;
    }
    std::string identity;
    if (!entry && settings.value().dataFolder) {
        auto found = awaitIdentity(settings.value(), signals, log);
        if (!found) {
            log.write(base::LogLine("not_started").add("reason", path + ": data_folder: " + found.error().message));
            return USAGE;
        }
        if (!found.value()) {
            return DONE;
        }
        identity = *std::move(found.value());
    }
    auto process = makeProcess(entry, std::move(settings.value()), std::move(identity), dialects, log);
    if (!process) {
        log.write(base::LogLine("not_started").add("reason", path + ": " + process.error()));
        return USAGE;
    }
    const auto started = process.value()->start();
    if (!started) {
        log.write(base::LogLine("not_started").add("reason", started.error()));
        process.value()->stop();
        return FAILED;
    }
    SettingsWatch watch(path, *process.value(), log);
    runUntilStopped(signals, watch);
    const bool whole = process.value()->drain();
    process.value()->stop();
    return whole ? DONE : FAILED;
}

} // namespace

std::vector<std::string> seedNames(const settings::Settings &settings)
{
    std::vector<std::string> names;
    for (const std::string &it : settings.group.seeds) {
        names.push_back(consensus::ADDRESS_MARK + hostOf(it) + ':' + portOf(settings.peerListen));
    }
    return names;
}

std::uint64_t incarnation()
{
    static const auto number = static_cast<std::uint64_t>(base::wallClock().count);
    return number;
}

std::vector<control::VoterAddress> seedAddresses(const settings::Settings &settings)
{
    std::vector<control::VoterAddress> addresses;
    for (const std::string &it : seedNames(settings)) {
        addresses.push_back({it, control::addressIn(it)});
    }
    return addresses;
}

membership::RegistryOptions registryOptions(const settings::Settings &settings)
{
    membership::RegistryOptions options;
    options.lease = settings.upstreams.lease;
    options.epoch = incarnation();
    return options;
}

http::MemoryPlan memoryPlan(const settings::Settings &settings, http::MemoryRole role)
{
    const std::size_t maxBodyBytes =
        role == http::MemoryRole::Entry ? static_cast<std::size_t>(settings.entry.maxBodyBytes) : CONTROL_BODY_BYTES;
    return http::planMemory(settings::machineBytes(settings.memory), maxBodyBytes, role);
}

std::shared_ptr<http::RequestMemory> requestMemory(const http::MemoryPlan &plan)
{
    return std::make_shared<http::RequestMemory>(http::RequestMemoryOptions{plan.bodyBytes});
}

http::ServerOptions controlServerOptions(const settings::Settings &settings)
{
    const http::MemoryPlan plan = memoryPlan(settings, http::MemoryRole::Control);
    http::ServerOptions options;
    options.memory = requestMemory(plan);
    options.maxUnfinishedHeads = plan.unfinishedHeads;
    options.maxBodyBytes = CONTROL_BODY_BYTES;
    options.maxConnections = CONTROL_CONNECTIONS;
    options.threads = 1;
    return options;
}

int runProcess(int argc, const char **argv, const Dialects &dialects)
{
    const std::string command = argv[0];
    char *path = nullptr;
    const poptOption options[] = {
        {"settings", 's', POPT_ARG_STRING, &path, 0, "The daemon's settings, in TOML", "FILE"},
        POPT_AUTOHELP POPT_TABLEEND,
    };
    const std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(
        poptGetContext(("bamboomoor " + command).c_str(), argc, argv, options, 0), &poptFreeContext);
    const int ec = poptGetNextOpt(context.get());
    const std::unique_ptr<char, decltype(&free)> owned(path, &free);
    if (ec < -1) {
        std::cerr << "bamboomoor " << command << ": " << poptBadOption(context.get(), 0) << ": " << poptStrerror(ec)
                  << '\n';
        return USAGE;
    }
    if (path == nullptr || poptPeekArg(context.get()) != nullptr) {
        std::cerr << "bamboomoor " << command << ": --settings FILE is needed, and nothing else\n";
        return USAGE;
    }
    base::returnLargeBlocks();
    google::InitGoogleLogging("bamboomoor");
    // Blocked before any thread starts, so that only the main thread receives these signals.
    const sigset_t signals = watchedSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    signal(SIGPIPE, SIG_IGN);
    return run(command == ENTRY, path, dialects);
}

} // namespace bamboomoor::gateway
