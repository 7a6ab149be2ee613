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
constexpr Range TOKENS{1, MAX_TOKENS};
constexpr Range HINT{0, MAX_TOKENS};
constexpr Range MEMORY{1, MAX_MEMORY_MIB};
constexpr Range SPAN{1, MAX_SPAN_MS};

Limits readLimits(TableReader &in)
{
    Limits out;
    out.maxTokens = in.number("max_tokens", out.maxTokens, TOKENS);
    out.defaultTokens = in.number("default_tokens", out.defaultTokens, TOKENS);
    out.queueDeadline.count = in.number("queue_deadline_ms", out.queueDeadline.count, SPAN);
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

Model readModel(TableReader &in)
{
    Model out;
    out.name = in.text("name", Form::Name);
    out.memoryMib = in.number("memory_mib", MEMORY);
    out.minReplicas = in.number("min_replicas", out.minReplicas, {1, MAX_REPLICAS});
    out.resident = in.flag("resident", out.resident);
    out.tokensPerSecond = in.number("tokens_per_second", out.tokensPerSecond, HINT);
    out.concurrency = in.number("concurrency", out.concurrency, {0, MAX_COUNT});
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
