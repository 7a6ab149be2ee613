/**
 * Strict reading of TOML tables.
 */
#include "bamboomoor/reader/tablereader.hpp"

#include "bamboomoor/base/nametable.hpp"
#include "bamboomoor/reader/nesting.hpp"

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <utility>

namespace bamboomoor::reader
{
namespace
{

constexpr std::size_t MAX_NAME_BYTES = 128;
constexpr std::size_t SHA256_DIGITS = 64;
constexpr int MAX_PORT = 65535;

// What a text of each form is, in the order of the enum.
constexpr auto FORM_WORDS = base::makeNames<Form>("a text", "a text of at least one character",
    "a name of 1 to 128 letters, digits and . _ - : / @ +",
    "an address such as \"192.0.2.1:8080\" or \"[2001:db8::1]:8080\" with a port from 1 to 65535",
    "a SHA-256 digest of 64 lower-case hexadecimal digits");

bool isLetterOrDigit(char c) noexcept
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
}

bool isNameCharacter(char c) noexcept
{
    return isLetterOrDigit(c) || std::string_view("._-:/@+").find(c) != std::string_view::npos;
}

bool isHexadecimal(char c) noexcept
{
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
}

bool isPort(std::string_view text) noexcept
{
    int port = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), port);
    return ec == std::errc() && end == text.data() + text.size() && port >= 1 && port <= MAX_PORT;
}

bool isAddress(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos || !isPort(text.substr(colon + 1))) {
        return false;
    }
    const std::string host(text.substr(0, colon));
    // inet_pton() reads up to the first NUL only.
    if (host.find('\0') != std::string::npos) {
        return false;
    }
    std::array<unsigned char, sizeof(in6_addr)> buf{};
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        return inet_pton(AF_INET6, host.substr(1, host.size() - 2).c_str(), buf.data()) == 1;
    }
    return inet_pton(AF_INET, host.c_str(), buf.data()) == 1;
}

std::string rangeWords(Range range)
{
    const std::string least = std::to_string(range.least);
    if (range.most == INT64_MAX) {
        return "must be an integer of at least " + least;
    }
    return "must be an integer from " + least + " to " + std::to_string(range.most);
}

std::string join(const std::vector<std::string> &words)
{
    std::string text;
    for (const std::string &word : words) {
        text += text.empty() ? "" : ", ";
        text += word;
    }
    return text;
}

} // namespace

bool hasForm(std::string_view text, Form form)
{
    switch (form) {
    case Form::Any:
        return true;
    case Form::Filled:
        return !text.empty();
    case Form::Name:
        return !text.empty() && text.size() <= MAX_NAME_BYTES && std::all_of(text.begin(), text.end(), isNameCharacter);
    case Form::Address:
        return isAddress(text);
    case Form::Sha256:
        return text.size() == SHA256_DIGITS && std::all_of(text.begin(), text.end(), isHexadecimal);
    }
    return false;
}

base::Result<toml::table, Problem> parseToml(std::string_view text)
{
    if (isTooDeep(text)) {
        return base::failure(Problem{.place = "the whole text", .message = "is nested too deeply"});
    }
    try {
        return toml::parse(text);
    } catch (const toml::parse_error &error) {
        const auto &begin = error.source().begin;
        std::string place = "line " + std::to_string(begin.line) + ", column " + std::to_string(begin.column);
        std::string message(error.description());
        std::replace(message.begin(), message.end(), '\n', ' ');
        return base::failure(Problem{.place = std::move(place), .message = std::move(message)});
    }
}

TableReader::TableReader(const toml::table &table, std::string place, std::optional<Problem> &problem)
    : m_table(table)
    , m_place(std::move(place))
    , m_problem(problem)
{
}

std::string TableReader::text(std::string_view key, Form form)
{
    auto found = optionalText(key, form);
    if (!found.has_value()) {
        fail(key, "is missing; must be " + std::string(FORM_WORDS.name(form)));
    }
    return std::move(found).value_or("");
}

std::optional<std::string> TableReader::optionalText(std::string_view key, Form form)
{
    const toml::node *node = find(key);
    if (node == nullptr) {
        return std::nullopt;
    }
    auto value = node->value_exact<std::string>();
    if (!value.has_value() || !hasForm(*value, form)) {
        fail(key, "must be " + std::string(FORM_WORDS.name(form)));
        return "";
    }
    return value;
}

std::int64_t TableReader::number(std::string_view key, Range range)
{
    if (!m_table.contains(key)) {
        fail(key, "is missing; " + rangeWords(range));
    }
    return number(key, range.least, range);
}

std::int64_t TableReader::number(std::string_view key, std::int64_t otherwise, Range range)
{
    const toml::node *node = find(key);
    if (node == nullptr) {
        return otherwise;
    }
    const auto value = node->value_exact<std::int64_t>();
    if (!value.has_value() || *value < range.least || *value > range.most) {
        fail(key, rangeWords(range));
        return otherwise;
    }
    return *value;
}

std::int64_t TableReader::seconds(std::string_view key, std::int64_t otherwise, Range range)
{
    return thousandths(key, otherwise, range,
        "must be seconds, from " + std::to_string(range.least) + " to " + std::to_string(range.most) + " ms");
}

std::int64_t TableReader::share(std::string_view key, std::int64_t otherwise)
{
    return thousandths(key, otherwise, {0, 1'000}, "must be a share from 0 to 1");
}

std::int64_t TableReader::thousandths(
    std::string_view key, std::int64_t otherwise, Range range, const std::string &rule)
{
    constexpr double THOUSAND = 1'000.0;
    const toml::node *node = find(key);
    if (node == nullptr) {
        return otherwise;
    }
    // Also takes an integer, as it converts without loss.
    const std::optional<double> value = node->value<double>();
    const double count = value.value_or(-1) * THOUSAND;
    if (!(count >= static_cast<double>(range.least) && count <= static_cast<double>(range.most))) {
        fail(key, rule);
        return otherwise;
    }
    return std::llround(count);
}

bool TableReader::flag(std::string_view key, bool otherwise)
{
    const toml::node *node = find(key);
    if (node == nullptr) {
        return otherwise;
    }
    const auto value = node->value_exact<bool>();
    if (!value.has_value()) {
        fail(key, "must be true or false");
    }
    return value.value_or(otherwise);
}

void TableReader::table(std::string_view key, const std::function<void(TableReader &)> &read)
{
    static const toml::table empty;
    const toml::node *node = find(key);
    const toml::table *inner = node == nullptr ? &empty : node->as_table();
    if (inner == nullptr) {
        fail(key, "must be a table, [" + std::string(key) + "]");
        return;
    }
    const std::string prefix = m_place.empty() ? "" : m_place + ".";
    TableReader reader(*inner, prefix + std::string(key), m_problem);
    read(reader);
    reader.finish();
}

void TableReader::tables(std::string_view key, const std::function<void(TableReader &)> &read)
{
    const toml::node *node = find(key);
    if (node == nullptr) {
        return;
    }
    const toml::array *array = node->as_array();
    const bool onlyTables = array != nullptr && std::all_of(array->begin(), array->end(), [](const toml::node &it) {
        return it.is_table();
    });
    if (!onlyTables) {
        fail(key, "must be an array of tables, [[" + std::string(key) + "]]");
        return;
    }
    const std::string prefix = m_place.empty() ? "" : m_place + ".";
    for (std::size_t n = 0; n < array->size(); ++n) {
        const std::string place = prefix + std::string(key) + "[" + std::to_string(n) + "]";
        TableReader reader(*array->get(n)->as_table(), place, m_problem);
        read(reader);
        reader.finish();
    }
}

void TableReader::finish()
{
    for (const auto &[key, node] : m_table) {
        if (std::find(m_known.begin(), m_known.end(), key.str()) == m_known.end()) {
            fail(key.str(), "is not a known key; allowed here: " + join(m_known));
            return;
        }
    }
}

void TableReader::fail(std::string_view key, std::string message)
{
    if (m_problem.has_value()) {
        return;
    }
    std::string place = m_place;
    place += place.empty() || key.empty() ? "" : ".";
    place += key;
    // Keys come from the text and may hold line breaks; the report is one line.
    std::replace_if(
        place.begin(), place.end(),
        [](char c) {
            return static_cast<unsigned char>(c) < 0x20U;
        },
        '?');
    m_problem = Problem{.place = std::move(place), .message = std::move(message)};
}

const toml::node *TableReader::find(std::string_view key)
{
    m_known.emplace_back(key);
    return m_table.get(key);
}

} // namespace bamboomoor::reader
