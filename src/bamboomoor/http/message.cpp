/**
 * Look-ups in header lists.
 */
#include "bamboomoor/http/message.hpp"

#include <algorithm>

namespace bamboomoor::http
{

namespace
{

char lower(char letter) noexcept
{
    return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter;
}

} // namespace

bool equalsIgnoringCase(std::string_view lhs, std::string_view rhs) noexcept
{
    return std::equal(lhs.begin(), lhs.end(), rhs.begin(), rhs.end(), [](char a, char b) {
        return lower(a) == lower(b);
    });
}

std::string_view trimmed(std::string_view text) noexcept
{
    static constexpr std::string_view SPACES = " \t\r\n";
    const std::size_t from = std::min(text.find_first_not_of(SPACES), text.size());
    text.remove_prefix(from);
    return text.substr(0, text.find_last_not_of(SPACES) + 1);
}

std::string lowered(std::string_view text)
{
    std::string result(text);
    std::transform(result.begin(), result.end(), result.begin(), lower);
    return result;
}

const Header *findHeader(const Headers &headers, std::string_view name) noexcept
{
    for (const Header &it : headers) {
        if (equalsIgnoringCase(it.name, name)) {
            return &it;
        }
    }
    return nullptr;
}

std::string_view headerValue(const Headers &headers, std::string_view name) noexcept
{
    const Header *header = findHeader(headers, name);
    return header == nullptr ? std::string_view() : std::string_view(header->value);
}

} // namespace bamboomoor::http
