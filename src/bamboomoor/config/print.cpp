/**
 * The canonical TOML form of configuration documents: every key is written, in a fixed order.
 */
#include "bamboomoor/config/parse.hpp"

#include <utility>

namespace bamboomoor::config
{
namespace
{

constexpr unsigned char FIRST_PRINTABLE = 0x20;
constexpr unsigned char DELETE = 0x7F;

// Writes tables and keys, one a line.
class Printer
{
public:
    void table(std::string_view header)
    {
        m_text += m_text.empty() ? "" : "\n";
        m_text += header;
        m_text += "\n";
    }

    void text(std::string_view key, std::string_view value)
    {
        m_text += key;
        m_text += " = \"";
        for (const char c : value) {
            escape(c);
        }
        m_text += "\"\n";
    }

    void number(std::string_view key, std::int64_t value)
    {
        m_text += key;
        m_text += " = " + std::to_string(value) + "\n";
    }

    void flag(std::string_view key, bool value)
    {
        m_text += key;
        m_text += value ? " = true\n" : " = false\n";
    }

    [[nodiscard]] std::string take()
    {
        return std::move(m_text);
    }

private:
    void escape(char c)
    {
        static constexpr std::string_view DIGITS = "0123456789ABCDEF";
        const auto byte = static_cast<unsigned char>(c);
        if (c == '"' || c == '\\') {
            m_text += '\\';
            m_text += c;
        } else if (byte < FIRST_PRINTABLE || byte == DELETE) {
            m_text += "\\u00";
            m_text += DIGITS[byte >> 4U];
            m_text += DIGITS[byte & 15U];
        } else {
            m_text += c;
        }
    }

    std::string m_text;
};

void printOrganisation(Printer &out, const Organisation &it)
{
    out.table("[[organisation]]");
    out.text("name", it.name);
    out.number("rate", it.rate);
    out.number("burst", it.burst);
    out.flag("unlimited", it.unlimited);
    if (it.priority) {
        out.number("priority", *it.priority);
    }
    out.number("plain_tokens", it.plainTokens);
    for (const Key &key : it.keys) {
        out.table("[[organisation.key]]");
        out.text("id", key.id);
        out.text("hash", key.hash);
        out.flag("added", key.added);
    }
}

void printRoute(Printer &out, const Route &it)
{
    out.table("[[route]]");
    out.text("prefix", it.prefix);
    out.text("kind", "service");
    out.text("upstream", it.upstream);
    out.flag("open", it.open);
    out.flag("idempotent", it.idempotent);
    out.number("retention_ms", it.retention.count);
    out.number("tokens", it.tokens);
}

void printRelay(Printer &out, const Relay &it)
{
    out.table("[[relay]]");
    out.text("name", it.name);
    out.text("host", it.host);
    out.text("prefix", it.prefix);
    out.text("repeat", REPEAT_NAMES.name(it.repeat));
    out.flag("resumable", it.resumable);
    out.number("timeout_ms", it.timeout.count);
    out.number("objective_ms", it.objective.count);
    out.number("pause_objective_ms", it.pauseObjective.count);
    out.number("attempts", it.attempts);
    out.number("priority", it.priority);
    out.flag("open", it.open);
    out.flag("sticky", it.sticky);
    for (const Share &share : it.shares) {
        out.table("[[relay.share]]");
        out.text("service", share.service);
        out.number("weight", share.weight);
    }
}

void printService(Printer &out, const Service &it)
{
    out.table("[[service]]");
    out.text("name", it.name);
    out.number("max_connections", it.maxConnections);
    if (it.coldRateMilli > 0) {
        out.number("cold_requests_per_second_milli", it.coldRateMilli);
    }
    if (it.coldSpan > base::Millis{}) {
        out.number("cold_ms", it.coldSpan.count);
    }
    if (it.engine) {
        out.table("[[service.engine]]");
        out.number("slots", it.engine->slots);
        out.number("cache_tokens", it.engine->cacheTokens);
        out.number("memory_mib", it.engine->memoryMib);
        out.number("adapter_places", it.engine->adapterPlaces);
        out.number("loads_per_second_milli", it.engine->loadsPerSecondMilli);
    }
}

void printModel(Printer &out, const Model &it)
{
    out.table("[[model]]");
    out.text("name", it.name);
    out.number("memory_mib", it.memoryMib);
    out.number("min_replicas", it.minReplicas);
    out.flag("resident", it.resident);
    out.number("tokens_per_second", it.tokensPerSecond);
    out.number("concurrency", it.concurrency);
    if (!it.service.empty()) {
        out.text("service", it.service);
        out.number("numbered_adapters", it.numberedAdapters);
        out.number("adapter_memory_mib", it.adapterMemoryMib);
        out.number("load_ms", it.loadTime.count);
    }
}

void printAdapter(Printer &out, const Adapter &it)
{
    out.table("[[adapter]]");
    out.text("name", it.name);
    out.text("model", it.model);
    out.number("memory_mib", it.memoryMib);
    out.flag("resident", it.resident);
}

void printVersion(Printer &out, const Version &it)
{
    out.table("[[version]]");
    out.text("model", it.model);
    out.text("version", it.version);
    out.flag("resident", it.resident);
}

void printPool(Printer &out, const AcceleratorPool &it)
{
    out.table("[[accelerator_pool]]");
    out.text("data_centre", it.dataCentre);
    out.number("count", it.count);
    out.number("memory_mib", it.memoryMib);
}

} // namespace

std::string print(const Document &document)
{
    Printer out;
    out.table("[limits]");
    out.number("max_tokens", document.limits.maxTokens);
    out.number("default_tokens", document.limits.defaultTokens);
    out.number("queue_deadline_ms", document.limits.queueDeadline.count);
    out.number("max_header_bytes", document.limits.maxHeaderBytes);
    out.number("max_body_bytes", document.limits.maxBodyBytes);
    out.number("header_timeout_ms", document.limits.headerTimeout.count);
    out.number("idle_timeout_ms", document.limits.idleTimeout.count);
    for (const auto &it : document.organisations) {
        printOrganisation(out, it);
    }
    for (const auto &it : document.routes) {
        printRoute(out, it);
    }
    for (const auto &it : document.relays) {
        printRelay(out, it);
    }
    for (const auto &it : document.services) {
        printService(out, it);
    }
    for (const auto &it : document.models) {
        printModel(out, it);
    }
    for (const auto &it : document.adapters) {
        printAdapter(out, it);
    }
    for (const auto &it : document.versions) {
        printVersion(out, it);
    }
    for (const auto &it : document.pools) {
        printPool(out, it);
    }
    return out.take();
}

} // namespace bamboomoor::config
