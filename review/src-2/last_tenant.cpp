/**
 * The operator takes the last tenant out of the manifest. From config_ms after the confirmation no request of a route that
 * is not public may run: there is no key any more that a manifest holds.
 */
#include "harness.hpp"

using namespace review;

namespace
{
// Bounds of sites/ancs-plume.toml.
constexpr std::int64_t CONFIG_MS = 2'000;
constexpr int CONTROLS = 5;
constexpr int ENTRIES = 3;
constexpr int WORKERS = 3;
constexpr const char *TENANT_KEY = "n2ctnfzs989anu6wsjnb";
// A key that no manifest holds at any time.
constexpr const char *STRANGE_KEY = "never0in0any0manifest";

std::mutex mutex;
// The id of each request that has run, and its X-Tenant.
std::map<std::string, std::string> runs;
std::atomic<int> lastId = 0;

bool runRequest(Worker &worker, const Message &request, Connection &connection)
{
    const std::string id = header(request.headers, "X-Attempt-Id");
    const std::string tenant = header(request.headers, "X-Tenant");
    {
        const std::lock_guard lock(mutex);
        runs[id] = tenant;
    }
    RECORD("%s runs %s, X-Tenant '%s'", worker.id().c_str(), id.c_str(), tenant.c_str());
    return connection.write(answerText(200, worker.answerHeaders(request), std::string(800, 'p')));
}

struct Result {
    std::string id;
    int status;
    bool ran;
};

Result ask(Deployment &deployment, int entry, const char *key)
{
    Result result{"p" + std::to_string(++lastId), 0, false};
    Headers headers{{"Host", "site.example"}, {"X-Attempt-Id", result.id}, {"X-Deadline-Ms", "4000"}};
    if (key != nullptr) {
        headers.emplace_back("Authorization", std::string("Bearer ") + key);
    }
    const Message reply = call(deployment.entry(entry), "POST", "/pair/commit", headers, "{\"pair\":1}", 4'500);
    result.status = reply.status();
    const std::lock_guard lock(mutex);
    result.ran = runs.contains(result.id);
    RECORD("requester sent %s to front-%d with %s and got %d", result.id.c_str(), entry + 1,
        key == nullptr ? "no key" : key, result.status);
    return result;
}

std::string manifest(int version, bool withTenant)
{
    std::string route = routeText("pair", "non_idempotent", "registry", 4'000, 1);
    route.replace(route.find("\"public\":true"), 13, "\"public\":false");
    std::string text = manifestText(version, {route}, {"registry"});
    text.pop_back();
    text += ",\"tenants\":[";
    if (withTenant) {
        text += std::string("{\"name\":\"hule930\",\"api_keys\":[\"") + TENANT_KEY
            + "\"],\"priority\":1,\"unit\":\"tokens\",\"plain_tokens\":200,\"rate_per_s\":73479,\"burst\":73479}";
    }
    return text + "]}";
}
} // namespace

int main(int argc, char **argv)
{
    if (argc != 3) {
        return 2;
    }
    signal(SIGPIPE, SIG_IGN);
    Record::get().open(argv[2]);
    Deployment deployment(argv[1], CONTROLS, ENTRIES);
    deployment.startAll();
    std::vector<std::unique_ptr<Worker>> workers;
    for (int n = 0; n < WORKERS; ++n) {
        Worker::Options options;
        options.id = "w-" + std::to_string(n + 1);
        options.zone = Deployment::zoneOf(n);
        options.daemon = n;
        workers.push_back(std::make_unique<Worker>(deployment, n, options, runRequest));
    }
    if (!deployment.replace(manifest(1, true), 20'000) || !deployment.awaitReady(20'000)) {
        return 2;
    }
    sleepMs(8'000);
    for (int n = 0; n < ENTRIES; ++n) {
        const Result own = ask(deployment, n, TENANT_KEY);
        const Result strange = ask(deployment, n, STRANGE_KEY);
        const Result none = ask(deployment, n, nullptr);
        if (own.status != 200 || strange.status != 401 || none.status != 401) {
            RECORD("the deployment does not keep keys before the change");
            return 2;
        }
    }
    if (!deployment.replace(manifest(2, !withTrouble()), 10'000)) {
        return 2;
    }
    // Longer than config_ms, and than contact_ms.
    sleepMs(CONFIG_MS + 2'000);
    // ROUTE: a key that no manifest ever held. CONFIG: the dropped key. Neither names requests without a key: they are told only.
    int route = 0;
    int config = 0;
    int keyless = 0;
    int refused = 0;
    for (int n = 0; n < ENTRIES; ++n) {
        const Result own = ask(deployment, n, TENANT_KEY);
        const Result strange = ask(deployment, n, STRANGE_KEY);
        const Result none = ask(deployment, n, nullptr);
        route += strange.ran ? 1 : 0;
        config += own.ran && withTrouble() ? 1 : 0;
        refused += own.status != 200 && !withTrouble() ? 1 : 0;
        keyless += none.ran ? 1 : 0;
        if (strange.ran) {
            RECORD("BROKEN, ROUTE: %s has run with a key that no manifest ever held", strange.id.c_str());
        }
        if (own.ran && withTrouble()) {
            RECORD("BROKEN, CONFIG: %s has run with the dropped key", own.id.c_str());
        }
    }
    RECORD("result: ran with a strange key %d, with the dropped key %d, with no key %d (not judged)", route, config, keyless);
    std::printf("ran with a strange key %d, with the dropped key %d, with no key %d (not judged)\n", route, config, keyless);
    if (refused > 0) {
        RECORD("the tenant that stayed is not served");
        return 2;
    }
    return route > 0 || config > 0 ? 1 : 0;
}
