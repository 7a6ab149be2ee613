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

void printModel(Printer &out, const Model &it)
{
    out.table("[[model]]");
    out.text("name", it.name);
    out.number("memory_mib", it.memoryMib);
    out.number("min_replicas", it.minReplicas);
    out.flag("resident", it.resident);
    out.number("tokens_per_second", it.tokensPerSecond);
    out.number("concurrency", it.concurrency);
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
    for (const auto &it : document.organisations) {
        printOrganisation(out, it);
    }
    for (const auto &it : document.routes) {
        printRoute(out, it);
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
