/**
 * Parsing of configuration documents.
 */
#include "bamboomoor/config/parse.hpp"

#include "bamboomoor/base/digest.hpp"
#include "bamboomoor/reader/tablereader.hpp"

#include <utility>

namespace bamboomoor::config
{
namespace
{

using reader::Form;
using reader::Range;
using reader::TableReader;

constexpr std::int64_t MAX_TOKENS = 1'000'000'000'000;
constexpr std::int64_t MAX_MEMORY_MIB = 1'073'741'824;
constexpr std::int64_t MAX_COUNT = 1'000'000;
constexpr std::int64_t MAX_REPLICAS = 10'000;
constexpr std::int64_t MAX_SPAN_MS = 2'592'000'000;
constexpr std::int64_t NO_PRIORITY = -1;
constexpr Range TOKENS{1, MAX_TOKENS};
constexpr Range HINT{0, MAX_TOKENS};
constexpr Range MEMORY{1, MAX_MEMORY_MIB};
constexpr Range SPAN{1, MAX_SPAN_MS};
constexpr Range COUNT{1, MAX_COUNT};
constexpr Range RANK{0, MAX_COUNT};

Limits readLimits(TableReader &in)
{
    Limits out;
    out.maxTokens = in.number("max_tokens", out.maxTokens, TOKENS);
    out.defaultTokens = in.number("default_tokens", out.defaultTokens, TOKENS);
    out.queueDeadline.count = in.number("queue_deadline_ms", out.queueDeadline.count, SPAN);
    out.maxHeaderBytes = in.number("max_header_bytes", out.maxHeaderBytes, COUNT);
    out.maxBodyBytes = in.number("max_body_bytes", out.maxBodyBytes, MEMORY);
    out.headerTimeout.count = in.number("header_timeout_ms", out.headerTimeout.count, SPAN);
    out.idleTimeout.count = in.number("idle_timeout_ms", out.idleTimeout.count, SPAN);
    if (out.defaultTokens > out.maxTokens) {
        in.fail("default_tokens", "must be at most max_tokens");
    }
    return out;
}

Organisation readOrganisation(TableReader &in)
{
    Organisation out;
    out.name = in.text("name", Form::Name);
    out.rate = in.number("rate", TOKENS);
    out.burst = in.number("burst", TOKENS);
    out.unlimited = in.flag("unlimited", out.unlimited);
    const std::int64_t priority = in.number("priority", NO_PRIORITY, {NO_PRIORITY, MAX_COUNT});
    out.priority = priority == NO_PRIORITY ? std::nullopt : std::optional(priority);
    out.plainTokens = in.number("plain_tokens", out.plainTokens, TOKENS);
    in.tables("key", [&out](TableReader &row) {
        std::string id = row.text("id", Form::Name);
        std::string hash = row.text("hash", Form::Sha256);
        const bool added = row.flag("added", false);
        out.keys.push_back({.id = std::move(id), .hash = std::move(hash), .added = added});
    });
    return out;
}

Route readRoute(TableReader &in)
{
    Route out;
    out.prefix = in.text("prefix", Form::Name);
    if (!out.prefix.starts_with('/')) {
        in.fail("prefix", "must start with a slash");
    }
    const std::string kind = in.optionalText("kind", Form::Any).value_or("service");
    if (kind != "service") {
        in.fail("kind", "must be \"service\"");
    }
    out.upstream = in.text("upstream", Form::Name);
    out.open = in.flag("open", out.open);
    out.idempotent = in.flag("idempotent", out.idempotent);
    out.retention.count = in.number("retention_ms", out.retention.count, SPAN);
    out.tokens = in.number("tokens", out.tokens, HINT);
    return out;
}

Relay readRelay(TableReader &in)
{
    Relay out;
    out.name = in.text("name", Form::Filled);
    out.host = in.text("host", Form::Filled);
    out.prefix = in.text("prefix", Form::Filled);
    if (!out.prefix.starts_with('/') || !out.prefix.ends_with('/')) {
        in.fail("prefix", "must start and end with a slash");
    }
    const auto repeat = REPEAT_NAMES.find(in.text("repeat", Form::Filled));
    if (!repeat) {
        in.fail("repeat", "must be one of " + REPEAT_NAMES.list());
    }
    out.repeat = repeat.value_or(out.repeat);
    out.resumable = in.flag("resumable", out.resumable);
    out.timeout.count = in.number("timeout_ms", out.timeout.count, SPAN);
    out.objective.count = in.number("objective_ms", out.objective.count, SPAN);
    out.pauseObjective.count = in.number("pause_objective_ms", out.pauseObjective.count, {0, MAX_SPAN_MS});
    out.attempts = in.number("attempts", out.attempts, COUNT);
    out.priority = in.number("priority", out.priority, RANK);
    out.open = in.flag("open", out.open);
    out.sticky = in.flag("sticky", out.sticky);
    in.tables("share", [&out](TableReader &row) {
        std::string service = row.text("service", Form::Filled);
        out.shares.push_back({.service = std::move(service), .weight = row.number("weight", 1, RANK)});
    });
    return out;
}

Service readService(TableReader &in)
{
    Service out;
    out.name = in.text("name", Form::Filled);
    out.maxConnections = in.number("max_connections", out.maxConnections, RANK);
    out.coldRateMilli = in.number("cold_requests_per_second_milli", out.coldRateMilli, HINT);
    out.coldSpan.count = in.number("cold_ms", out.coldSpan.count, {0, MAX_SPAN_MS});
    in.tables("engine", [&out](TableReader &row) {
        Engine engine;
        engine.slots = row.number("slots", COUNT);
        engine.cacheTokens = row.number("cache_tokens", HINT);
        engine.memoryMib = row.number("memory_mib", MEMORY);
        engine.adapterPlaces = row.number("adapter_places", RANK);
        engine.loadsPerSecondMilli = row.number("loads_per_second_milli", HINT);
        out.engine = engine;
    });
    return out;
}

Model readModel(TableReader &in)
{
    Model out;
    out.name = in.text("name", Form::Name);
    out.memoryMib = in.number("memory_mib", MEMORY);
    out.minReplicas = in.number("min_replicas", out.minReplicas, {1, MAX_REPLICAS});
    out.resident = in.flag("resident", out.resident);
    out.tokensPerSecond = in.number("tokens_per_second", out.tokensPerSecond, HINT);
    out.concurrency = in.number("concurrency", out.concurrency, {0, MAX_COUNT});
    out.service = in.optionalText("service", Form::Filled).value_or("");
    out.numberedAdapters = in.number("numbered_adapters", out.numberedAdapters, RANK);
    out.adapterMemoryMib = in.number("adapter_memory_mib", out.adapterMemoryMib, {0, MAX_MEMORY_MIB});
    out.loadTime.count = in.number("load_ms", out.loadTime.count, {0, MAX_SPAN_MS});
    return out;
}

Adapter readAdapter(TableReader &in)
{
    Adapter out;
    out.name = in.text("name", Form::Name);
    out.model = in.text("model", Form::Name);
    out.memoryMib = in.number("memory_mib", MEMORY);
    out.resident = in.flag("resident", out.resident);
    return out;
}

Version readVersion(TableReader &in)
{
    Version out;
    out.model = in.text("model", Form::Name);
    out.version = in.text("version", Form::Name);
    out.resident = in.flag("resident", out.resident);
    return out;
}

AcceleratorPool readPool(TableReader &in)
{
    AcceleratorPool out;
    out.dataCentre = in.text("data_centre", Form::Name);
    out.count = in.number("count", {1, MAX_COUNT});
    out.memoryMib = in.number("memory_mib", MEMORY);
    return out;
}

template<class Part, class Read>
void readParts(TableReader &in, std::string_view key, std::vector<Part> &out, Read read)
{
    in.tables(key, [&out, read](TableReader &row) {
        out.push_back(read(row));
    });
}

} // namespace

base::Result<Document, ConfigError> parse(std::string_view text)
{
    const auto table = reader::parseToml(text);
    if (table.has_error()) {
        return base::failure(ConfigError{.place = table.error().place, .message = table.error().message});
    }
    std::optional<reader::Problem> problem;
    TableReader in(table.value(), "", problem);
    Document out;
    in.table("limits", [&out](TableReader &it) {
        out.limits = readLimits(it);
    });
    readParts(in, "organisation", out.organisations, readOrganisation);
    readParts(in, "route", out.routes, readRoute);
    readParts(in, "relay", out.relays, readRelay);
    readParts(in, "service", out.services, readService);
    readParts(in, "model", out.models, readModel);
    readParts(in, "adapter", out.adapters, readAdapter);
    readParts(in, "version", out.versions, readVersion);
    readParts(in, "accelerator_pool", out.pools, readPool);
    in.finish();
    if (problem.has_value()) {
        return base::failure(ConfigError{.place = problem->place, .message = problem->message});
    }
    return out;
}

std::string digest(const Document &document)
{
    return base::sha256(print(document));
}

} // namespace bamboomoor::config
