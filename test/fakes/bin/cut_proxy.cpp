/**
 * The cut_proxy program: `cut_proxy CONTROL LISTEN=TARGET...`, each an IP:PORT; runs until SIGTERM or SIGINT.
 */
#include "fakes/cutproxy.hpp"

#include <csignal>
#include <cstdio>
#include <string>

int main(int argc, char **argv)
{
    using namespace bamboomoor;
    sigset_t signals{};
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::vector<fakes::ProxyRoute> routes;
    for (int n = 2; n < argc; ++n) {
        const std::string text = argv[n];
        const std::size_t mark = text.find('=');
        if (mark != std::string::npos) {
            routes.push_back({text.substr(0, mark), text.substr(mark + 1)});
        }
    }
    if (routes.empty()) {
        std::fprintf(stderr, "usage: cut_proxy CONTROL LISTEN=TARGET...\n");
        return 2;
    }
    fakes::CutProxy proxy;
    const auto started = proxy.start(routes);
    http::Server control(proxy);
    const auto controlled = control.start(argv[1]);
    if (started.has_error() || controlled.has_error()) {
        const auto &error = started.has_error() ? started.error() : controlled.error();
        std::fprintf(stderr, "cut_proxy: %s\n", error.message.c_str());
        return 1;
    }
    for (const std::string &it : started.value()) {
        std::printf("listening %s\n", it.c_str());
    }
    std::fflush(stdout);
    int received = 0;
    sigwait(&signals, &received);
    return 0;
}
