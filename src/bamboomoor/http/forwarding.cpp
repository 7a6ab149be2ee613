/**
 * The lists of what is dropped on the way to an upstream.
 */
#include "bamboomoor/http/forwarding.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>
#include <system_error>
#include <vector>

namespace bamboomoor::http
{

namespace
{

// Keys, hop-by-hop lines, lines that the sending library sets itself, and the organisation's name.
constexpr std::array<std::string_view, 26> DROPPED_HEADERS{
    "authorization",
    "x-authorization",
    "x-api-key",
    "api-key",
    "apikey",
    "x-api-token",
    "x-auth-token",
    "x-access-token",
    "cookie",
    "cookie2",
    "proxy-authorization",
    "proxy-authenticate",
    "proxy-connection",
    "connection",
    "keep-alive",
    "te",
    "trailer",
    "trailers",
    "transfer-encoding",
    "upgrade",
    "host",
    "content-length",
    "expect",
    "http2-settings",
    "x-organisation",
    "x-organization",
};
constexpr std::array<std::string_view, 2> DROPPED_PREFIXES{"x-bamboomoor-", "x-org-"};
constexpr std::array<std::string_view, 10> KEY_PARAMETERS{
    "key",
    "api_key",
    "apikey",
    "api-key",
    "x-api-key",
    "access_token",
    "access-token",
    "token",
    "auth_token",
    "authorization",
};

// Underscores stand for hyphens: some servers read both alike.
std::string normalise(std::string_view name)
{
    std::string text = lowered(trimmed(name));
    std::replace(text.begin(), text.end(), '_', '-');
    return text;
}

std::vector<std::string> nominations(const Headers &headers)
{
    std::vector<std::string> names;
    for (const Header &it : headers) {
        if (!equalsIgnoringCase(it.name, "connection") && !equalsIgnoringCase(it.name, "proxy-connection")) {
            continue;
        }
        std::size_t from = 0;
        while (from <= it.value.size()) {
            const std::size_t to = std::min(it.value.find(',', from), it.value.size());
            names.push_back(normalise(std::string_view(it.value).substr(from, to - from)));
            from = to + 1;
        }
    }
    return names;
}

bool isDropped(const std::string &name, const std::vector<std::string> &nominated)
{
    const auto hasPrefix = [&name](std::string_view prefix) {
        return name.starts_with(prefix);
    };
    return std::find(DROPPED_HEADERS.begin(), DROPPED_HEADERS.end(), name) != DROPPED_HEADERS.end()
        || std::any_of(DROPPED_PREFIXES.begin(), DROPPED_PREFIXES.end(), hasPrefix)
        || std::find(nominated.begin(), nominated.end(), name) != nominated.end();
}

std::optional<char> hexadecimal(std::string_view digits) noexcept
{
    unsigned value = 0;
    const auto [end, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), value, 16);
    if (digits.size() != 2 || ec != std::errc() || end != digits.data() + digits.size()) {
        return std::nullopt;
    }
    return static_cast<char>(value);
}

std::string decode(std::string_view text)
{
    std::string decoded;
    for (std::size_t n = 0; n < text.size(); ++n) {
        const std::optional<char> letter = text[n] == '%' ? hexadecimal(text.substr(n + 1, 2)) : std::nullopt;
        decoded += letter.value_or(text[n] == '+' ? ' ' : text[n]);
        n += letter.has_value() ? 2 : 0;
    }
    return decoded;
}

bool carriesKey(std::string_view parameter)
{
    const std::string name = lowered(decode(parameter.substr(0, parameter.find('='))));
    return std::find(KEY_PARAMETERS.begin(), KEY_PARAMETERS.end(), trimmed(name)) != KEY_PARAMETERS.end();
}

} // namespace

Headers forwardHeaders(const Headers &headers)
{
    const std::vector<std::string> nominated = nominations(headers);
    Headers forwarded;
    for (const Header &it : headers) {
        if (!isDropped(normalise(it.name), nominated)) {
            forwarded.push_back(it);
        }
    }
    return forwarded;
}

std::string stripQuery(std::string_view query)
{
    std::string kept;
    bool first = true;
    std::size_t from = 0;
    while (from <= query.size()) {
        const std::size_t to = std::min(query.find_first_of("&;", from), query.size());
        const std::string_view parameter = query.substr(from, to - from);
        if (!carriesKey(parameter)) {
            kept += first ? std::string_view() : query.substr(from - 1, 1);
            kept += parameter;
            first = false;
        }
        from = to + 1;
    }
    return kept;
}

} // namespace bamboomoor::http
