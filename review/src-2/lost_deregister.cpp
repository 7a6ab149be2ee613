/**
 * A worker says that it is gone, and a control daemon confirms this. Requests that are sent after drain_ms, by entries in
 * touch, must not reach the worker. The disruption:
 * killed: the daemon is killed right after it has confirmed.
 * added: a core machine has been added to the system, and it is the one that confirms.
 */
#include "harness.hpp"

using namespace review;

namespace
{
// Bounds of sites/ancs-plume.toml.
constexpr std::int64_t DRAIN_MS = 2'000;
constexpr std::int64_t CONTACT_MS = 3'000;
// Allowance for the clock readings of this program.
constexpr std::int64_t SLACK_MS = 50;
constexpr int CONTROLS = 5;
constexpr int ENTRIES = 3;
constexpr int WORKERS = 3;

struct Arrival {
    std::int64_t at;
    std::string id;
};

std::mutex arrivalsMutex;
std::vector<Arrival> arrivals;
std::atomic<int> lastId = 0;
std::atomic<int> served = 0;

bool runRequest(Worker &worker, const Message &request, Connection &connection)
{
    const std::string id = header(request.headers, "X-Attempt-Id");
    {
        const std::lock_guard lock(arrivalsMutex);
        if (worker.id() == "w-1") {
            arrivals.push_back({now(), id});
        }
    }
    RECORD("%s runs %s%s", worker.id().c_str(), id.c_str(), worker.leaving() ? " (it has said that it is gone)" : "");
    sleepMs(20);
    return connection.write(answerText(200, worker.answerHeaders(request), std::string(800, 'r')));
}

/** One lesson begins: each zone's entry gets some requests for the roster within 200 ms. */
void lesson(Deployment &deployment, int perEntry)
{
    std::vector<std::thread> clients;
    for (int n = 0; n < ENTRIES; ++n) {
        for (int k = 0; k < perEntry; ++k) {
            clients.emplace_back([&deployment, n, k] {
                sleepMs(k * 200 / 4);
                const std::string id = "a" + std::to_string(++lastId);
                RECORD("requester sends %s to front-%d", id.c_str(), n + 1);
                const Message reply = call(deployment.entry(n), "GET", "/roster/1",
                    {{"Host", "site.example"}, {"X-Attempt-Id", id}, {"X-Deadline-Ms", "4000"}}, {}, 4'500);
                RECORD("requester got %d for %s from %s", reply.status(), id.c_str(),
                    header(reply.headers, "X-Server-Signature").c_str());
                served += reply.status() == 200 ? 1 : 0;
            });
        }
    }
    for (std::thread &it : clients) {
        it.join();
    }
}
} // namespace

int main(int argc, char **argv)
{
    if (argc != 4) {
        return 2;
    }
    const bool killed = std::string(argv[3]) == "killed" && withTrouble();
    const bool added = std::string(argv[3]) == "added" && withTrouble();
    signal(SIGPIPE, SIG_IGN);
    Record::get().open(argv[2]);
    Deployment deployment(argv[1], CONTROLS, ENTRIES);
    deployment.startAll();
    // The daemon that the leaver calls at the end; the seeds do not name it.
    int last = 3;
    std::vector<std::unique_ptr<Worker>> workers;
    for (int n = 0; n < WORKERS; ++n) {
        Worker::Options options;
        options.id = "w-" + std::to_string(n + 1);
        options.zone = Deployment::zoneOf(n);
        // Worker 1 calls core-4, which the seeds do not name.
        options.daemon = n == 0 ? 3 : n;
        workers.push_back(std::make_unique<Worker>(deployment, n, options, runRequest));
    }
    const std::string manifest = manifestText(1, {routeText("roster", "idempotent", "registry", 4'000, 2)}, {"registry"});
    if (!deployment.replace(manifest, 20'000) || !deployment.awaitReady(20'000)) {
        return 2;
    }
    sleepMs(4'000);
    if (added) {
        deployment.controlMachines.push_back({"core-6", Deployment::ip(61, 6), Deployment::zoneOf(2)});
        last = 5;
        deployment.startControl(last, false);
        RECORD("core-6 is added");
    }
    // Longer than contact_ms and than the list of the daemons lags.
    sleepMs(8'000);
    served = 0;
    lesson(deployment, 4);
    if (served < ENTRIES * 4 / 2) {
        RECORD("the deployment does not serve");
        return 2;
    }
    sleepMs(1'000);

    // Between two heartbeats, as a worker that leaves does.
    Worker &leaver = *workers[0];
    const std::int64_t before = leaver.lastHeartbeatAt();
    while (leaver.lastHeartbeatAt() == before) {
        sleepMs(5);
    }
    sleepMs(500);
    leaver.stopHeartbeats();
    leaver.setLeaving();
    const Message reply = call(deployment.control(last), "POST", "/Instances.Deregister/" + leaver.id(),
        {{"Content-Type", "application/json"}}, "{\"born\":" + std::to_string(leaver.born()) + "}", 1'000);
    const std::int64_t confirmedAt = now();
    std::int64_t calmFrom = confirmedAt;
    if (reply.status() != 200) {
        RECORD("core-%d did not confirm the deregistration: %d", last + 1, reply.status());
        return 2;
    }
    RECORD("core-%d has confirmed that w-1 is gone", last + 1);
    if (killed) {
        deployment.processes.end("core-4");
        RECORD("core-4 is killed");
        sleepMs(300);
        deployment.startControl(3, false);
        calmFrom = now() + CONTACT_MS;
        RECORD("core-4 is started");
    }
    const std::int64_t judgedFrom = std::max(confirmedAt + DRAIN_MS, calmFrom) + SLACK_MS;
    sleepUntil(judgedFrom + 100);
    const std::int64_t sentFrom = now();
    lesson(deployment, 4);
    sleepMs(300);
    lesson(deployment, 4);
    // It serves for some seconds more and exits.
    sleepUntil(confirmedAt + 10'000);
    leaver.stop();

    int late = 0;
    {
        const std::lock_guard lock(arrivalsMutex);
        for (const Arrival &it : arrivals) {
            if (it.at >= sentFrom) {
                ++late;
                RECORD("BROKEN: %s reached w-1 %lld ms after its deregistration was confirmed", it.id.c_str(),
                    static_cast<long long>(it.at - confirmedAt));
            }
        }
    }
    RECORD("result: %d requests reached w-1 later than drain_ms, sent by entries in touch", late);
    std::printf("%d requests reached the deregistered worker later than drain_ms\n", late);
    return late > 0 ? 1 : 0;
}
