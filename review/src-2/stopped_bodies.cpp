/**
 * Clients outside the limits: many chunked bodies in very small chunks stop just short of their end and stay open. Ordinary
 * requesters on new channels must still get answers: a machine that says it is ready may not go without taking a new
 * channel for contact_ms while seven requesters or more try.
 */
#include "harness.hpp"

#include <sys/resource.h>

using namespace review;

namespace
{
// Bounds of sites/ancs-plume.toml, and of the rule RECOVER.
constexpr std::int64_t CONTACT_MS = 3'000;
constexpr int LEAST_REQUESTERS = 7;
constexpr std::int64_t MEMORY_MB = 260;
constexpr int CONTROLS = 3;
constexpr int WORKERS = 3;
constexpr int CROWD = 2'600;
constexpr int CROWD_PER_SECOND = 1'300;
constexpr int CHUNKS = 256;
constexpr int REQUESTERS = 10;

std::atomic<bool> stopping = false;
std::atomic<int> lastId = 0;

bool runRequest(Worker &worker, const Message &request, Connection &connection)
{
    sleepMs(20);
    return connection.write(answerText(200, worker.answerHeaders(request), std::string(800, 'r')));
}

struct Try {
    std::int64_t at;
    int requester;
    bool taken;
};

std::mutex triesMutex;
std::vector<Try> tries;

/** An ordinary requester: one request on a new channel every 250 ms. */
void requester(Deployment &deployment, int number)
{
    while (!stopping) {
        const std::int64_t at = now();
        const std::string id = "o" + std::to_string(++lastId);
        const Message reply = call(deployment.entry(0), "GET", "/roster/1",
            {{"Host", "site.example"}, {"X-Attempt-Id", id}, {"X-Deadline-Ms", "2500"}}, {}, 2'500);
        {
            const std::lock_guard lock(triesMutex);
            tries.push_back({at, number, reply.status() != 0});
        }
        RECORD("requester %d sent %s on a new channel and got %s", number, id.c_str(),
            reply.status() == 0 ? "a closed channel" : std::to_string(reply.status()).c_str());
        sleepUntil(at + 250);
    }
}
} // namespace

int main(int argc, char **argv)
{
    if (argc != 3) {
        return 2;
    }
    signal(SIGPIPE, SIG_IGN);
    Record::get().open(argv[2]);
    rlimit files{};
    getrlimit(RLIMIT_NOFILE, &files);
    files.rlim_cur = std::min<rlim_t>(files.rlim_max, 8'192);
    setrlimit(RLIMIT_NOFILE, &files);
    if (files.rlim_cur < 4'096) {
        RECORD("too few descriptors: %llu", static_cast<unsigned long long>(files.rlim_cur));
        return 2;
    }
    Deployment deployment(argv[1], CONTROLS, 1);
    deployment.entryExtra = "[memory]\nmachine_mib = " + std::to_string(MEMORY_MB) + "\n";
    deployment.startAll();
    std::vector<std::unique_ptr<Worker>> workers;
    for (int n = 0; n < WORKERS; ++n) {
        Worker::Options options;
        options.id = "w-" + std::to_string(n + 1);
        options.zone = Deployment::zoneOf(n);
        options.daemon = n;
        options.slots = 64;
        workers.push_back(std::make_unique<Worker>(deployment, n, options, runRequest));
    }
    const std::string manifest = manifestText(1,
        {routeText("roster", "idempotent", "registry", 4'000, 2), routeText("pair", "non_idempotent", "registry", 4'000, 1)},
        {"registry"});
    if (!deployment.replace(manifest, 20'000) || !deployment.awaitReady(20'000)) {
        return 2;
    }
    sleepMs(5'000);
    std::vector<std::thread> requesters;
    for (int n = 0; n < REQUESTERS; ++n) {
        requesters.emplace_back([&deployment, n] {
            requester(deployment, n + 1);
        });
    }
    std::atomic<int> unready = 0;
    std::thread platform([&] {
        while (!stopping) {
            const bool ready = deployment.isReady(0);
            unready += ready ? 0 : 1;
            RECORD("readyz of front-1: %s", ready ? "200" : "not 200");
            sleepMs(1'000);
        }
    });
    sleepMs(3'000);

    const std::int64_t crowdAt = now();
    RECORD("the crowd comes");
    std::vector<std::unique_ptr<Connection>> crowd;
    int opened = 0;
    for (int n = 0; n < CROWD; ++n) {
        auto connection = std::make_unique<Connection>();
        if (connection->connect(deployment.entry(0), 500)) {
            ++opened;
            std::string body;
            for (int k = 0; k < CHUNKS; ++k) {
                body += "10\r\n0123456789abcdef\r\n";
            }
            // Without the disruption the last chunk comes, and the client leaves with its answer.
            if (!withTrouble()) {
                body += "0\r\n\r\n";
            }
            connection->write("POST /pair/commit HTTP/1.1\r\nHost: site.example\r\nX-Attempt-Id: x" + std::to_string(n)
                + "\r\nX-Deadline-Ms: 4000\r\nTransfer-Encoding: chunked\r\n\r\n" + body);
            if (withTrouble()) {
                crowd.push_back(std::move(connection));
            } else {
                readMessage(*connection, 4'000, true);
            }
        }
        if (n % 13 == 12) {
            sleepUntil(crowdAt + (n + 1) * 1'000LL / CROWD_PER_SECOND);
        }
    }
    RECORD("the crowd has opened %d channels and stays", opened);
    sleepUntil(std::max(now(), crowdAt + 12'000));
    crowd.clear();
    RECORD("the crowd has gone");
    sleepMs(3'000);
    stopping = true;
    for (std::thread &it : requesters) {
        it.join();
    }
    platform.join();
    workers.clear();

    // The longest span without a taken channel in which enough requesters tried.
    std::sort(tries.begin(), tries.end(), [](const Try &lhs, const Try &rhs) {
        return lhs.at < rhs.at;
    });
    std::int64_t longest = 0;
    int before = 0;
    int after = 0;
    std::int64_t since = tries.empty() ? 0 : tries.front().at;
    std::vector<int> tried;
    for (const Try &it : tries) {
        before += it.taken && it.at < crowdAt ? 1 : 0;
        after += it.taken && it.at > crowdAt + 12'500 ? 1 : 0;
        if (it.taken) {
            since = it.at;
            tried.clear();
            continue;
        }
        if (std::find(tried.begin(), tried.end(), it.requester) == tried.end()) {
            tried.push_back(it.requester);
        }
        if (static_cast<int>(tried.size()) >= LEAST_REQUESTERS) {
            longest = std::max(longest, it.at - since);
        }
    }
    RECORD("result: no new channel was taken for %lld ms, readyz failed %d times; %d taken before, %d after",
        static_cast<long long>(longest), unready.load(), before, after);
    std::printf("no new channel taken for %lld ms, readyz failed %d times; %d taken before, %d after; %d tries\n",
        static_cast<long long>(longest), unready.load(), before, after, static_cast<int>(tries.size()));
    if (before < REQUESTERS) {
        return 2;
    }
    return longest > CONTACT_MS && unready < 2 ? 1 : 0;
}
