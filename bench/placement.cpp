/**
 * Compares the target policies on one synthetic demand, and measures the planning time by size.
 *
 * The stand-in for the site is deliberately plain: each replica serves its rate whatever else its accelerator holds,
 * orders take the time of their bytes, a worker restarts every half hour, and one data centre is lost for ten minutes.
 */
#include "bamboomoor/base/clock.hpp"
#include "bamboomoor/base/overloaded.hpp"
#include "bamboomoor/placement/planner.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <deque>
#include <random>
#include <string>
#include <string_view>

namespace
{

using namespace bamboomoor;
using namespace bamboomoor::placement;

constexpr std::uint64_t ACCELERATOR_MIB = 81'920;
constexpr std::uint64_t ADAPTER_MIB = 400;
constexpr double REPLICA_RATE = 4;
constexpr std::size_t ACCELERATORS = 4;
constexpr std::uint64_t LOAD_MIB_PER_SECOND = 1'024;
constexpr std::size_t CONFIRMATIONS = 64;

struct Pending {
    Order order;
    base::Millis at;
};

struct Worker {
    membership::Announcement announcement;
    base::Millis downUntil;
};

struct Score {
    double asked = 0;
    double served = 0;
    std::uint64_t loads = 0;
    std::uint64_t outages = 0;
    std::int64_t longestSeconds = 0;
    std::int64_t outageSeconds = 0;
};

class Site
{
public:
    Site(PolicyKind kind, std::size_t workers, std::size_t models, std::size_t adaptersPerModel)
        : m_planner(makeTargetPolicy(kind))
        , m_random(7)
    {
        for (std::size_t n = 0; n < workers; ++n) {
            Worker worker;
            worker.announcement.id = "w" + std::to_string(n);
            worker.announcement.incarnation = 1;
            worker.announcement.dataCentre = std::string(1, static_cast<char>('a' + n % 3));
            worker.announcement.checksFencing = n % 2 == 0;
            for (std::size_t i = 0; i < ACCELERATORS; ++i) {
                worker.announcement.accelerators.push_back({std::to_string(i), ACCELERATOR_MIB, {}});
            }
            m_workers.push_back(worker);
        }
        for (std::size_t n = 0; n < models; ++n) {
            const std::string name = "m" + std::to_string(n);
            const std::uint64_t size = 16'384 + n * 7'919 % 45'000;
            m_catalogue.entries.push_back({{name, "", "1"}, size, 1, REPLICA_RATE});
            for (std::size_t i = 0; i < adaptersPerModel; ++i) {
                m_catalogue.entries.push_back({{name, "a" + std::to_string(i), "1"}, ADAPTER_MIB, 1, REPLICA_RATE});
            }
            m_levels.push_back(std::exp(std::normal_distribution<double>(0.6, 0.9)(m_random)));
        }
        feed(m_catalogue);
        feed(BecomeLeader{1, {}, 0});
    }

    void second()
    {
        m_now += base::Millis{1'000};
        runOrders();
        for (Worker &it : m_workers) {
            if (it.downUntil <= m_now) {
                ++it.announcement.sequence;
                feed(Report{it.announcement});
            }
        }
        feed(Tick{});
        while (!m_inputs.empty()) {
            const Input input = m_inputs.front();
            m_inputs.pop_front();
            feed(input);
        }
    }

    // Demand per model: its level times a tenfold ramp of its own phase.
    void demand(Score *score)
    {
        Demand demand;
        const double minutes = static_cast<double>(m_now.count) / 60'000;
        for (std::size_t n = 0; n < m_levels.size(); ++n) {
            const double rate = m_levels[n] * rampAt(minutes + static_cast<double>(n) * 37);
            const std::string name = "m" + std::to_string(n);
            demand.samples.push_back({{name, "", "1"}, rate, 0});
            if (score != nullptr) {
                score->asked += rate;
                score->served += std::min(rate, REPLICA_RATE * static_cast<double>(replicas({name, "", "1"})));
            }
        }
        for (const CatalogueEntry &it : m_catalogue.entries) {
            if (!it.ref.adapter.empty()) {
                demand.samples.push_back({it.ref, m_levels[0] / 100, 0});
            }
        }
        feed(demand);
    }

    void noteOutages(Score &score)
    {
        for (const CatalogueEntry &it : m_catalogue.entries) {
            std::int64_t &seconds = m_outages[it.ref];
            if (replicas(it.ref) > 0) {
                seconds = 0;
                continue;
            }
            score.outages += seconds == 0 ? 1 : 0;
            ++seconds;
            ++score.outageSeconds;
            score.longestSeconds = std::max(score.longestSeconds, seconds);
        }
    }

    void restart(std::size_t n, std::int64_t seconds)
    {
        Worker &worker = m_workers[n % m_workers.size()];
        ++worker.announcement.incarnation;
        worker.announcement.sequence = 0;
        worker.announcement.lastOrders.clear();
        for (membership::Accelerator &it : worker.announcement.accelerators) {
            it.resident.clear();
        }
        worker.downUntil = m_now + base::Millis{seconds * 1'000};
        feed(UpstreamExpired{worker.announcement.id});
    }

    void failDataCentre(std::size_t n, std::int64_t seconds)
    {
        for (std::size_t i = n; i < m_workers.size(); i += 3) {
            restart(i, seconds);
        }
    }

    // Fills the accelerators without orders.
    void fill()
    {
        std::size_t next = 0;
        for (Worker &worker : m_workers) {
            for (membership::Accelerator &it : worker.announcement.accelerators) {
                const CatalogueEntry &entry = m_catalogue.entries[next++ % m_catalogue.entries.size()];
                it.resident.push_back({entry.ref.model, "", entry.ref.version, entry.memoryMib});
            }
        }
    }

    std::uint64_t loads = 0;

private:
    static double rampAt(double minutes)
    {
        // Tenfold within ten minutes, held for twenty, and back, every three hours.
        const double phase = std::fmod(minutes, 180);
        if (phase < 10) {
            return 1 + 9 * phase / 10;
        }
        if (phase < 30) {
            return 10;
        }
        return phase < 40 ? 10 - 9 * (phase - 30) / 10 : 1;
    }

    [[nodiscard]] std::size_t replicas(const ModelRef &ref) const
    {
        std::size_t n = 0;
        for (const Worker &worker : m_workers) {
            for (const membership::Accelerator &it : worker.announcement.accelerators) {
                n += worker.downUntil <= m_now && find(it, ref) != it.resident.end() ? 1 : 0;
            }
        }
        return n;
    }

    static std::vector<membership::Resident>::const_iterator find(
        const membership::Accelerator &accelerator, const ModelRef &ref)
    {
        return std::find_if(
            accelerator.resident.begin(), accelerator.resident.end(), [&ref](const membership::Resident &it) {
                return it.model == ref.model && it.adapter == ref.adapter && it.version == ref.version;
            });
    }

    void feed(const Input &input)
    {
        for (const Output &it : m_planner.step(m_now, input)) {
            std::visit(base::Overloaded{
                           [this](const ProposeIntent &out) {
                               m_inputs.push_back(IntentCommitted{out.order.id});
                           },
                           [this](const SendOrder &out) {
                               const auto seconds = out.order.kind == OrderKind::Load
                                   ? static_cast<std::int64_t>(1 + out.order.memoryMib / LOAD_MIB_PER_SECOND)
                                   : 1;
                               m_orders.push_back({out.order, m_now + base::Millis{seconds * 1'000}});
                           },
                           [this](const ProposeClose &out) {
                               m_inputs.push_back(CloseCommitted{out.orderId});
                           },
                           [this](const StartDrain &out) {
                               m_inputs.push_back(DrainConfirmed{out.ref, out.upstream});
                           },
                           [](const auto &) {},
                       },
                it);
        }
    }

    void runOrders()
    {
        std::vector<Pending> later;
        for (const Pending &it : m_orders) {
            if (it.at > m_now) {
                later.push_back(it);
            } else {
                run(it.order);
            }
        }
        m_orders = std::move(later);
    }

    void run(const Order &order)
    {
        Worker &worker = m_workers[std::stoul(order.upstream.substr(1))];
        if (worker.announcement.incarnation != order.incarnation) {
            return;
        }
        membership::Accelerator &accelerator = worker.announcement.accelerators[std::stoul(order.accelerator)];
        const auto it = find(accelerator, order.ref);
        if (order.kind == OrderKind::Load && it == accelerator.resident.end()) {
            ++loads;
            accelerator.resident.push_back({order.ref.model, order.ref.adapter, order.ref.version, order.memoryMib});
        } else if (order.kind == OrderKind::Unload && it != accelerator.resident.end()) {
            accelerator.resident.erase(it);
        }
        auto &confirmed = worker.announcement.lastOrders;
        confirmed.push_back({order.id, membership::OrderResult::Done});
        if (confirmed.size() > CONFIRMATIONS) {
            confirmed.erase(confirmed.begin());
        }
    }

    base::Millis m_now{1'000};
    Planner m_planner;
    std::mt19937_64 m_random;
    Catalogue m_catalogue;
    std::vector<double> m_levels;
    std::vector<Worker> m_workers;
    std::vector<Pending> m_orders;
    std::deque<Input> m_inputs;
    std::map<ModelRef, std::int64_t> m_outages;
};

// Compares one policy, or all for an empty name.
void comparePolicies(std::string_view only)
{
    constexpr std::int64_t WARM_UP = 1'200;
    constexpr std::int64_t SECONDS = WARM_UP + std::int64_t{6} * 3'600;
    std::printf(
        "%-14s %10s %12s %8s %12s %12s\n", "policy", "attainment", "moves/hour", "outages", "longest s", "outage s");
    for (const PolicyKind kind : {PolicyKind::DemandAware, PolicyKind::StaticSpread, PolicyKind::GreedyDemand}) {
        if (!only.empty() && only != POLICY_KIND_NAMES.name(kind)) {
            continue;
        }
        Site site(kind, 18, 30, 3);
        Score score;
        for (std::int64_t n = 0; n < SECONDS; ++n) {
            if (n == WARM_UP) {
                site.loads = 0;
            }
            if (n > WARM_UP && n % 1'800 == 0) {
                site.restart(static_cast<std::size_t>(n / 1'800 * 5), 60);
            }
            if (n == SECONDS / 2) {
                site.failDataCentre(1, 600);
            }
            site.demand(n > WARM_UP ? &score : nullptr);
            site.second();
            if (n > WARM_UP) {
                site.noteOutages(score);
            }
        }
        const double hours = static_cast<double>(SECONDS - WARM_UP) / 3'600;
        std::printf("%-14s %10.4f %12.1f %8llu %12lld %12lld\n", std::string(POLICY_KIND_NAMES.name(kind)).c_str(),
            score.served / score.asked, static_cast<double>(site.loads) / hours,
            static_cast<unsigned long long>(score.outages), static_cast<long long>(score.longestSeconds),
            static_cast<long long>(score.outageSeconds));
    }
}

void measurePlanning()
{
    const base::SteadyClock clock;
    constexpr int ROUNDS = 20;
    std::printf("%12s %8s %22s\n", "accelerators", "models", "ms per second of time");
    for (const std::size_t workers : {180U, 600U, 1'800U}) {
        Site site(PolicyKind::DemandAware, workers, 210, 0);
        site.fill();
        for (int n = 0; n < 5; ++n) {
            site.demand(nullptr);
            site.second();
        }
        const base::Millis start = clock.now();
        for (int n = 0; n < ROUNDS; ++n) {
            site.demand(nullptr);
            site.second();
        }
        const base::Millis span = clock.now() - start;
        std::printf("%12zu %8d %22.1f\n", workers * ACCELERATORS, 210, static_cast<double>(span.count) / ROUNDS);
    }
}

} // namespace

int main(int argc, char **argv)
{
    comparePolicies(argc > 1 ? argv[1] : "");
    measurePlanning();
    return 0;
}
