/**
 * Requesters read their answers slowly. What the entry holds for them counts toward its machine's memory: the platform
 * kills a process that uses more than memory_mb. Callers on kept channels must not lose their answers by that.
 */
#include "harness.hpp"

using namespace review;

namespace
{
// The front machines of sites/ancs-plume.toml.
constexpr std::int64_t MEMORY_MB = 260;
constexpr int CONTROLS = 3;
constexpr int WORKERS = 3;
constexpr std::size_t ANSWER_BYTES = 1'000'000;
constexpr int READERS = 400;
constexpr int READERS_PER_SECOND = 40;
// The time limit of letter-draft, the longest of the site.
constexpr std::int64_t PATIENCE_MS = 15'000;
constexpr int KEPT_CHANNELS = 8;
// The bound of the rule LOST.
constexpr int BEARABLE = 3;

std::atomic<bool> stopping = false;
// The platform goes on until the callers have ended.
std::atomic<bool> platformStopping = false;
std::atomic<int> lastId = 0;
std::atomic<int> served = 0;
std::atomic<int> slowServed = 0;
std::mutex mutex;
std::map<std::string, std::int64_t> runAt;

bool runRequest(Worker &worker, const Message &request, Connection &connection)
{
    const std::string id = header(request.headers, "X-Attempt-Id");
    {
        const std::lock_guard lock(mutex);
        runAt[id] = now();
    }
    RECORD("%s runs %s", worker.id().c_str(), id.c_str());
    const bool large = request.first.find("/class/") != std::string::npos;
    if (!large) {
        sleepMs(300);
    }
    const std::string answer = answerText(200, worker.answerHeaders(request), std::string(large ? ANSWER_BYTES : 800, 'r'));
    // No faster than a link of 1,000 Mbit/s.
    constexpr std::size_t PART = 62'500;
    for (std::size_t at = 0; at < answer.size(); at += PART) {
        if (!connection.write(answer.substr(at, PART), 10'000)) {
            return false;
        }
        if (at + PART < answer.size()) {
            std::this_thread::sleep_for(std::chrono::microseconds(500));
        }
    }
    return true;
}

std::int64_t residentBytes(pid_t pid)
{
    std::ifstream file("/proc/" + std::to_string(pid) + "/statm");
    std::int64_t size = 0;
    std::int64_t resident = 0;
    file >> size >> resident;
    return resident * sysconf(_SC_PAGESIZE);
}

/** Asks for a large answer and reads it at its own pace until its time limit. */
void readSlowly(const std::string &entry, bool slow)
{
    const std::string id = "s" + std::to_string(++lastId);
    Connection connection;
    if (!connection.connect(entry, 1'000, {}, slow ? 4'096 : 0)) {
        RECORD("requester of %s found no channel", id.c_str());
        return;
    }
    const std::int64_t until = now() + PATIENCE_MS;
    RECORD("requester sends %s", id.c_str());
    connection.write(requestText("GET", "/class/1",
        {{"Host", "site.example"}, {"X-Attempt-Id", id}, {"X-Deadline-Ms", std::to_string(PATIENCE_MS)}}, {}));
    std::size_t got = 0;
    while (now() < until && got < ANSWER_BYTES) {
        char bytes[65'536];
        pollfd polled{connection.fd(), POLLIN, 0};
        if (poll(&polled, 1, 500) > 0) {
            const ssize_t n = recv(connection.fd(), bytes, slow ? 2'048 : sizeof(bytes), 0);
            if (n <= 0) {
                break;
            }
            got += static_cast<std::size_t>(n);
        }
        if (slow) {
            sleepMs(100);
        }
    }
    slowServed += got > ANSWER_BYTES ? 1 : 0;
    RECORD("requester of %s has read %zu bytes", id.c_str(), got);
}
} // namespace

int main(int argc, char **argv)
{
    if (argc != 3) {
        return 2;
    }
    signal(SIGPIPE, SIG_IGN);
    Record::get().open(argv[2]);
    Deployment deployment(argv[1], CONTROLS, 1);
    // On a machine of the deployment the process finds this figure by itself.
    deployment.entryExtra = "[memory]\nmachine_mib = " + std::to_string(MEMORY_MB) + "\n";
    deployment.startAll();
    std::vector<std::unique_ptr<Worker>> workers;
    for (int n = 0; n < WORKERS; ++n) {
        Worker::Options options;
        options.id = "w-" + std::to_string(n + 1);
        options.zone = Deployment::zoneOf(n);
        options.daemon = n % CONTROLS;
        options.slots = 64;
        workers.push_back(std::make_unique<Worker>(deployment, n, options, runRequest));
    }
    const std::string manifest =
        manifestText(1, {routeText("roster", "idempotent", "registry", 4'000, 2), routeText("class", "idempotent", "registry", 15'000, 2)},
            {"registry"});
    if (!deployment.replace(manifest, 20'000) || !deployment.awaitReady(20'000)) {
        return 2;
    }
    sleepMs(4'000);

    int lost = 0;
    int ends = 0;
    std::int64_t most = 0;
    std::mutex lostMutex;
    // The platform.
    std::thread platform([&] {
        while (!platformStopping) {
            const pid_t pid = deployment.processes.pid("front-1");
            const std::int64_t bytes = pid > 0 ? residentBytes(pid) : 0;
            most = std::max(most, bytes);
            int status = 0;
            if (bytes > MEMORY_MB * 1'048'576) {
                deployment.processes.end("front-1");
                ++ends;
                RECORD("the platform kills front-1, which uses %lld bytes", static_cast<long long>(bytes));
                sleepMs(500);
                deployment.startEntry(0);
            } else if (pid > 0 && deployment.processes.hasEnded("front-1", status)) {
                ++ends;
                RECORD("front-1 has ended by itself, status %d", status);
                sleepMs(500);
                deployment.startEntry(0);
            }
            sleepMs(10);
        }
    });
    // Callers on kept channels.
    std::vector<std::thread> callers;
    for (int n = 0; n < KEPT_CHANNELS; ++n) {
        callers.emplace_back([&] {
            Connection connection;
            int onThis = 0;
            while (!stopping) {
                if (!connection.isOpen() && !connection.connect(deployment.entry(0), 1'000)) {
                    sleepMs(100);
                    continue;
                }
                const std::string id = "k" + std::to_string(++lastId);
                connection.write(requestText("GET", "/roster/1",
                    {{"Host", "site.example"}, {"X-Attempt-Id", id}, {"X-Deadline-Ms", "4000"}}, {}));
                const Message reply = readMessage(connection, 5'000, true);
                ++onThis;
                if (reply.whole && reply.status() != 0) {
                    served += reply.status() == 200 ? 1 : 0;
                    continue;
                }
                connection.close();
                const std::lock_guard lock(mutex);
                if (!reply.timedOut && onThis > 1 && runAt.contains(id)) {
                    const std::lock_guard count(lostMutex);
                    ++lost;
                    RECORD("LOST: the kept channel was closed without an answer to %s, which had been passed on",
                        id.c_str());
                } else {
                    RECORD("the channel ended before %s was passed on", id.c_str());
                }
                onThis = 0;
            }
        });
    }
    sleepMs(3'000);
    const int servedBefore = served;
    std::vector<std::thread> readers;
    for (int n = 0; n < READERS; ++n) {
        readers.emplace_back(readSlowly, deployment.entry(0), withTrouble());
        sleepMs(1'000 / READERS_PER_SECOND);
    }
    for (std::thread &it : readers) {
        it.join();
    }
    sleepMs(2'000);
    stopping = true;
    for (std::thread &it : callers) {
        it.join();
    }
    platformStopping = true;
    platform.join();
    workers.clear();
    RECORD("result: front-1 used %lld bytes at most and ended %d times; %d kept channels closed without an answer",
        static_cast<long long>(most), ends, lost);
    std::printf("at most %lld MiB, %d ends, %d kept channels closed without an answer, %d served\n",
        static_cast<long long>(most / 1'048'576), ends, lost, served.load());
    if (servedBefore < KEPT_CHANNELS) {
        RECORD("the deployment does not serve");
        return 2;
    }
    return lost > BEARABLE ? 1 : 0;
}
