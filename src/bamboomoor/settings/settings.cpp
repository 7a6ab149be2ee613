/**
 * Reading and checking the settings of one daemon process.
 */
#include "bamboomoor/settings/settings.hpp"

#include "bamboomoor/base/processmemory.hpp"
#include "bamboomoor/reader/tablereader.hpp"

#include <algorithm>
#include <fstream>
#include <iterator>
#include <set>
#include <utility>

namespace bamboomoor::settings
{
namespace
{

using reader::Form;
using reader::Range;
using reader::TableReader;

constexpr std::int64_t MAX_SPAN_MS = 86'400'000;
constexpr std::int64_t MAX_COUNT = 1'000'000;
constexpr std::int64_t MAX_THREADS = 1'024;
constexpr std::int64_t MAX_BODY_BYTES = 1'073'741'824;
constexpr std::int64_t MAX_MEMORY_MIB = 16'777'216;
constexpr std::int64_t MAX_DRIFT_PERMILLE = 100;
constexpr std::int64_t MIN_FRESHNESS_MS = 100;
// A change of configuration must be in force everywhere within 3 seconds.
constexpr std::int64_t MAX_FRESHNESS_MS = 2'500;
constexpr std::int64_t HEARTBEATS_PER_ELECTION = 3;
constexpr std::int64_t MAX_GROUP = 9;
constexpr std::int64_t MAX_PERMILLE = 1'000;

void readSpan(TableReader &in, std::string_view key, base::Millis &span, Range range = {1, MAX_SPAN_MS})
{
    span = base::Millis{in.number(key, span.count, range)};
}

void readCount(TableReader &in, std::string_view key, std::int64_t &count, Range range = {1, MAX_COUNT})
{
    count = in.number(key, count, range);
}

void readControl(TableReader &in, ControlSettings &out)
{
    readSpan(in, "election_timeout_ms", out.electionTimeout);
    readSpan(in, "heartbeat_ms", out.heartbeat);
    readSpan(in, "freshness_lease_ms", out.freshnessLease, {MIN_FRESHNESS_MS, MAX_FRESHNESS_MS});
    if (out.electionTimeout < out.heartbeat * HEARTBEATS_PER_ELECTION) {
        in.fail("election_timeout_ms", "must be at least 3 times heartbeat_ms");
    }
}

void readUpstreams(TableReader &in, UpstreamSettings &out)
{
    readSpan(in, "lease_ms", out.lease);
    readSpan(in, "warm_up_ms", out.warmUp, {0, MAX_SPAN_MS});
    readSpan(in, "progress_timeout_ms", out.progressTimeout);
    readSpan(in, "max_closure_ms", out.maxClosure);
    readCount(in, "engine_depth", out.engineDepth);
}

void readEntry(TableReader &in, EntrySettings &out)
{
    readCount(in, "queue_limit", out.queueLimit);
    readCount(in, "max_body_bytes", out.maxBodyBytes, {1, MAX_BODY_BYTES});
    readSpan(in, "drain_notice_ms", out.drainNotice, {0, MAX_SPAN_MS});
    readSpan(in, "drain_limit_ms", out.drainLimit);
    readCount(in, "threads", out.threads, {1, MAX_THREADS});
    if (out.drainNotice > out.drainLimit) {
        in.fail("drain_notice_ms", "must be at most drain_limit_ms");
    }
}

void readBudget(TableReader &in, BudgetSettings &out)
{
    readSpan(in, "grant_lease_ms", out.grantLease);
    readCount(in, "drift_permille", out.driftPermille, {1, MAX_DRIFT_PERMILLE});
    readSpan(in, "reserve_ms", out.reserve);
}

void readPlacement(TableReader &in, PlacementSettings &out)
{
    readCount(in, "loads_per_second", out.loadsPerSecond);
    readCount(in, "loads_at_once", out.loadsAtOnce);
    readCount(in, "adapters_in_flight", out.adaptersInFlight);
    readSpan(in, "decision_ms", out.decision);
    out.storeWindow = base::Millis{in.seconds("store_window_s", out.storeWindow.count, {1, MAX_SPAN_MS})};
}

void readVoters(TableReader &in, std::vector<Voter> &out)
{
    std::set<std::string> names;
    std::set<std::string> addresses;
    in.tables("voter", [&](TableReader &row) {
        Voter voter{.name = row.text("name", Form::Name), .address = row.text("address", Form::Address)};
        if (!names.insert(voter.name).second) {
            row.fail("name", "must be unique among the voters");
        }
        if (!addresses.insert(voter.address).second) {
            row.fail("address", "must be unique among the voters");
        }
        out.push_back(std::move(voter));
    });
}

void readGroup(TableReader &in, GroupSettings &out)
{
    in.tables("seed", [&out](TableReader &row) {
        out.seeds.push_back(row.text("address", Form::Address));
    });
    in.table("group", [&out](TableReader &it) {
        readCount(it, "size", out.size, {1, MAX_GROUP});
    });
}

void readRelay(TableReader &in, RelaySettings &out)
{
    out.retryPermille = in.share("retry_ratio", out.retryPermille);
    out.retryWindow = base::Millis{in.seconds("retry_window_s", out.retryWindow.count, {1, MAX_SPAN_MS})};
    readCount(in, "max_answer_bytes", out.maxAnswerBytes, {1, MAX_BODY_BYTES});
    readCount(in, "max_held_bytes", out.maxHeldBytes, {1, MAX_BODY_BYTES});
    readSpan(in, "outdated_limit_ms", out.outdatedLimit, {0, MAX_SPAN_MS});
    out.servesWhenCutOff = in.flag("serves_when_cut_off", out.servesWhenCutOff);
}

// Checks what one key alone does not show.
void checkTogether(TableReader &in, const Settings &settings)
{
    if (settings.voters.empty() == settings.group.seeds.empty()) {
        in.fail("voter", "is missing; must name at least one [[voter]] with name and address, or a [[seed]] instead");
    }
    if (settings.group.seeds.empty() && settings.operatorToken.empty()) {
        in.fail("operator_token", "is missing; must be a text that is not empty");
    }
    const bool isVoter = std::any_of(settings.voters.begin(), settings.voters.end(), [&](const Voter &it) {
        return it.name == settings.vm;
    });
    if (isVoter && !settings.dataFolder.has_value()) {
        in.fail("data_folder", "is missing; a VM that is a [[voter]] must have one");
    }
    if (settings.bootstrap && !isVoter && settings.group.seeds.empty()) {
        in.fail("bootstrap", "must be false on a VM that is no [[voter]]");
    }
    if (settings.listen == settings.peerListen) {
        in.fail("peer_listen", "must differ from listen");
    }
}

Settings readAll(TableReader &in)
{
    Settings out;
    out.vm = in.text("vm", Form::Name);
    out.dataCentre = in.text("data_centre", Form::Name);
    out.region = in.text("region", Form::Name);
    out.listen = in.text("listen", Form::Address);
    out.peerListen = in.text("peer_listen", Form::Address);
    out.dataFolder = in.optionalText("data_folder", Form::Filled);
    out.bootstrap = in.flag("bootstrap", false);
    out.readinessListen = in.optionalText("readiness_listen", Form::Address).value_or("");
    out.forwardListen = in.optionalText("forward_listen", Form::Address).value_or("");
    out.operatorToken = in.optionalText("operator_token", Form::Filled).value_or("");
    in.tables("known_data_centre", [&out](TableReader &row) {
        out.dataCentres.push_back(row.text("name", Form::Name));
    });
    readVoters(in, out.voters);
    readGroup(in, out.group);
    in.table("relay", [&out](TableReader &it) {
        readRelay(it, out.relay);
    });
    in.table("control", [&out](TableReader &it) {
        readControl(it, out.control);
    });
    in.table("memory", [&out](TableReader &it) {
        readCount(it, "machine_mib", out.memory.machineMib, {0, MAX_MEMORY_MIB});
    });
    in.table("upstreams", [&out](TableReader &it) {
        readUpstreams(it, out.upstreams);
    });
    in.table("entry", [&out](TableReader &it) {
        readEntry(it, out.entry);
    });
    in.table("budget", [&out](TableReader &it) {
        readBudget(it, out.budget);
    });
    in.table("placement", [&out](TableReader &it) {
        readPlacement(it, out.placement);
    });
    in.finish();
    checkTogether(in, out);
    return out;
}

SettingsError explain(std::string_view name, const reader::Problem &problem)
{
    return {.message = std::string(name) + ": " + problem.place + ": " + problem.message};
}

} // namespace

std::size_t machineBytes(const MemorySettings &settings)
{
    constexpr std::size_t MIB = 1'048'576;
    return settings.machineMib > 0 ? static_cast<std::size_t>(settings.machineMib) * MIB : base::machineBytes();
}

base::Result<Settings, SettingsError> parseSettings(std::string_view text, std::string_view name)
{
    const auto table = reader::parseToml(text);
    if (table.has_error()) {
        return base::failure(explain(name, table.error()));
    }
    std::optional<reader::Problem> problem;
    TableReader in(table.value(), "", problem);
    Settings settings = readAll(in);
    if (problem.has_value()) {
        return base::failure(explain(name, *problem));
    }
    return settings;
}

base::Result<Settings, SettingsError> loadSettings(const std::filesystem::path &path)
{
    std::ifstream file(path, std::ios::binary);
    const std::string text{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
    if (!file.good() && !file.eof()) {
        return base::failure(SettingsError{.message = path.string() + ": the file cannot be read"});
    }
    return parseSettings(text, path.string());
}

} // namespace bamboomoor::settings
