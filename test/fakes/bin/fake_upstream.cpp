/**
 * The fake_upstream program: hosts stand-ins until SIGTERM or SIGINT, then leaves properly and prints its counters.
 */
#include "fakes/fleet.hpp"

#include <csignal>
#include <cstdio>

int main(int argc, char **argv)
{
    using namespace bamboomoor;
    // Blocked before any thread starts, so that every thread inherits it and sigwait receives them.
    sigset_t signals{};
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    fakes::Fleet fleet(fakes::parseFleetOptions(argc, const_cast<const char **>(argv)));
    const auto started = fleet.start();
    if (started.has_error()) {
        std::fprintf(stderr, "fake_upstream: %s\n", started.error().message.c_str());
        return 1;
    }
    for (const std::string &it : started.value()) {
        std::printf("listening %s\n", it.c_str());
    }
    std::fflush(stdout);
    int received = 0;
    sigwait(&signals, &received);
    const bool answered = fleet.leaveAndStop({30'000});
    std::printf("%s\n", fleet.stats().dump().c_str());
    return answered ? 0 : 1;
}
