/**
 * The command `bamboomoor serve`.
 */
#include "bamboomoor/daemon/serve.hpp"

#include "bamboomoor/base/processmemory.hpp"
#include "bamboomoor/daemon/daemon.hpp"

#include <glog/logging.h>
#include <popt.h>

#include <csignal>
#include <ctime>
#include <iostream>
#include <memory>

namespace bamboomoor::daemon
{

namespace
{

constexpr int DONE = 0;
constexpr int FAILED = 1;
constexpr int USAGE = 2;
constexpr long SIGNAL_POLL_NS = 50'000'000;

/** @brief The signals that begin a drain; blocked in all threads and read by the main one. */
sigset_t drainSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

void waitForDrain(const Daemon &daemon, const sigset_t &signals)
{
    const timespec poll{0, SIGNAL_POLL_NS};
    while (!daemon.drainRequested() && sigtimedwait(&signals, nullptr, &poll) < 0) { }
}

} // namespace

int runServe(int argc, const char **argv)
{
    char *path = nullptr;
    const poptOption options[] = {
        {"settings", 's', POPT_ARG_STRING, &path, 0, "The daemon's settings, in TOML", "FILE"},
        POPT_AUTOHELP POPT_TABLEEND,
    };
    const std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(
        poptGetContext("bamboomoor serve", argc, argv, options, 0), &poptFreeContext);
    const int ec = poptGetNextOpt(context.get());
    const std::unique_ptr<char, decltype(&free)> owned(path, &free);
    if (ec < -1) {
        std::cerr << "bamboomoor serve: " << poptBadOption(context.get(), 0) << ": " << poptStrerror(ec) << '\n';
        return USAGE;
    }
    if (path == nullptr || poptPeekArg(context.get()) != nullptr) {
        std::cerr << "bamboomoor serve: --settings FILE is needed, and nothing else\n";
        return USAGE;
    }
    auto settings = settings::loadSettings(path);
    if (!settings) {
        std::cerr << "bamboomoor serve: " << settings.error().message << '\n';
        return USAGE;
    }
    FLAGS_logtostderr = true;
    base::returnLargeBlocks();
    google::InitGoogleLogging("bamboomoor");
    const sigset_t signals = drainSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    signal(SIGPIPE, SIG_IGN);
    Daemon daemon(std::move(settings.value()));
    const auto started = daemon.start();
    if (!started) {
        std::cerr << "bamboomoor serve: " << started.error() << '\n';
        daemon.stop();
        return FAILED;
    }
    waitForDrain(daemon, signals);
    const bool whole = daemon.drain();
    daemon.stop();
    return whole ? DONE : FAILED;
}

} // namespace bamboomoor::daemon
