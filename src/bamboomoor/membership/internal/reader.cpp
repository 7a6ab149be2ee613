/**
 * Implements the field reader: checks the type and range of each field.
 */
#include "bamboomoor/membership/internal/reader.hpp"

#include <arpa/inet.h>

#include <array>
#include <charconv>

namespace bamboomoor::membership::internal
{

namespace
{
constexpr std::size_t NAME_LIMIT_BYTES = 256;

bool isPort(std::string_view text)
{
    unsigned port = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), port);
    return ec == std::errc{} && end == text.data() + text.size() && port > 0 && port <= UINT16_MAX;
}

bool isAddress(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos || !isPort(text.substr(colon + 1))) {
        return false;
    }
    std::string host(text.substr(0, colon));
    // inet_pton() reads up to the first NUL only.
    if (host.find('\0') != std::string::npos) {
        return false;
    }
    std::array<unsigned char, sizeof(in6_addr)> buf{};
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
        return inet_pton(AF_INET6, host.c_str(), buf.data()) == 1;
    }
    return inet_pton(AF_INET, host.c_str(), buf.data()) == 1;
}
} // namespace

Reader::Reader(const nlohmann::json &value, std::string path, std::optional<ParseError> &error)
    : m_value(value)
    , m_path(std::move(path))
    , m_error(error)
{
    if (!value.is_object() && !m_error) {
        m_error = ParseError{ParseErrorKind::WrongType, m_path};
    }
}

bool Reader::has(const char *field) const
{
    return m_value.is_object() && m_value.contains(field);
}

std::string Reader::text(const char *field)
{
    const nlohmann::json *found = get(field);
    if (found == nullptr) {
        return {};
    }
    if (!found->is_string()) {
        fail(ParseErrorKind::WrongType, field);
        return {};
    }
    auto text = found->get<std::string>();
    if (text.size() > NAME_LIMIT_BYTES) {
        fail(ParseErrorKind::BadValue, field);
    }
    return text;
}

std::string Reader::name(const char *field)
{
    std::string value = text(field);
    if (value.empty()) {
        fail(ParseErrorKind::BadValue, field);
    }
    return value;
}

std::vector<std::string> Reader::names(const char *field)
{
    std::vector<std::string> names;
    const nlohmann::json *found = get(field);
    if (found == nullptr) {
        return names;
    }
    if (!found->is_array()) {
        fail(ParseErrorKind::WrongType, field);
        return names;
    }
    for (const nlohmann::json &it : *found) {
        if (!it.is_string() || it.get_ref<const std::string &>().empty()
            || it.get_ref<const std::string &>().size() > NAME_LIMIT_BYTES) {
            fail(ParseErrorKind::BadValue, field);
            return {};
        }
        names.push_back(it.get<std::string>());
    }
    return names;
}

std::string Reader::address(const char *field)
{
    std::string value = text(field);
    if (!isAddress(value)) {
        fail(ParseErrorKind::BadValue, field);
    }
    return value;
}

std::uint64_t Reader::number(const char *field)
{
    const nlohmann::json *found = get(field);
    if (found == nullptr) {
        return 0;
    }
    if (!found->is_number_integer()) {
        fail(ParseErrorKind::WrongType, field);
        return 0;
    }
    if (!found->is_number_unsigned()) {
        fail(ParseErrorKind::BadValue, field);
        return 0;
    }
    return found->get<std::uint64_t>();
}

base::Millis Reader::millis(const char *field)
{
    const std::uint64_t count = number(field);
    // Far below the maximum, so that adding it to a time does not overflow.
    if (count > UINT32_MAX) {
        fail(ParseErrorKind::BadValue, field);
        return {};
    }
    return {static_cast<std::int64_t>(count)};
}

bool Reader::flag(const char *field)
{
    const nlohmann::json *found = get(field);
    if (found == nullptr) {
        return false;
    }
    if (!found->is_boolean()) {
        fail(ParseErrorKind::WrongType, field);
        return false;
    }
    return found->get<bool>();
}

const nlohmann::json *Reader::get(const char *field)
{
    if (m_error) {
        return nullptr;
    }
    const auto it = m_value.find(field);
    if (it == m_value.end()) {
        fail(ParseErrorKind::MissingField, field);
        return nullptr;
    }
    return &*it;
}

std::string Reader::pathOf(std::string_view field) const
{
    return m_path.empty() ? std::string(field) : m_path + "." + std::string(field);
}

void Reader::fail(ParseErrorKind kind, std::string_view field)
{
    if (!m_error) {
        m_error = ParseError{kind, pathOf(field)};
    }
}

} // namespace bamboomoor::membership::internal
