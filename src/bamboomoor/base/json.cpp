/**
 * Implements the parsing of untrusted JSON.
 */
#include "bamboomoor/base/json.hpp"

namespace bamboomoor::base
{

bool isNestedDeeper(std::string_view text, std::size_t depth) noexcept
{
    std::size_t open = 0;
    bool quoted = false;
    for (std::size_t n = 0; n < text.size(); ++n) {
        const char c = text[n];
        if (quoted) {
            n += c == '\\' ? 1 : 0;
            quoted = c != '"';
        } else if (c == '"') {
            quoted = true;
        } else if (c == '[' || c == '{') {
            if (++open > depth) {
                return true;
            }
        } else if ((c == ']' || c == '}') && open > 0) {
            --open;
        }
    }
    return false;
}

nlohmann::json parseJson(std::string_view text)
{
    if (isNestedDeeper(text, MAX_JSON_DEPTH)) {
        return nlohmann::json::value_t::discarded;
    }
    return nlohmann::json::parse(text, nullptr, false);
}

} // namespace bamboomoor::base
