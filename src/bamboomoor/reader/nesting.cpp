/**
 * Implements the scan for the depth of a TOML text.
 */
#include "bamboomoor/reader/nesting.hpp"

#include <algorithm>

namespace bamboomoor::reader
{

namespace
{

constexpr std::size_t DELIMITER = 3;
// A delimiter may follow two quotes that belong to the string.
constexpr std::size_t MAX_CLOSING_QUOTES = DELIMITER + 2;

std::size_t quotesAt(std::string_view text, std::size_t at, char quote) noexcept
{
    return std::min(text.find_first_not_of(quote, at), text.size()) - at;
}

/** @brief Returns where the string that begins at a quote ends; one on a single line ends with its line at the latest.
 */
std::size_t endOfString(std::string_view text, std::size_t at) noexcept
{
    const char quote = text[at];
    const bool spansLines = quotesAt(text, at, quote) >= DELIMITER;
    std::size_t n = at + (spansLines ? DELIMITER : 1);
    while (n < text.size()) {
        if (text[n] == '\\' && quote == '"') {
            n += 2;
        } else if (text[n] == quote) {
            const std::size_t quotes = spansLines ? quotesAt(text, n, quote) : 1;
            n += std::min(quotes, MAX_CLOSING_QUOTES);
            if (!spansLines || quotes >= DELIMITER) {
                return n;
            }
        } else if (text[n] == '\n' && !spansLines) {
            return n;
        } else {
            ++n;
        }
    }
    return text.size();
}

} // namespace

bool isTooDeep(std::string_view text) noexcept
{
    std::size_t open = 0;
    std::size_t dots = 0;
    std::size_t n = 0;
    while (n < text.size()) {
        const char c = text[n];
        if (c == '"' || c == '\'') {
            n = endOfString(text, n);
            continue;
        }
        if (c == '#') {
            n = std::min(text.find('\n', n), text.size());
            continue;
        }
        if (c == '.') {
            ++dots;
        } else if (std::string_view("=,[]{}\n").find(c) != std::string_view::npos) {
            dots = 0;
        }
        if (c == '[' || c == '{') {
            ++open;
        } else if ((c == ']' || c == '}') && open > 0) {
            --open;
        }
        if (dots >= MAX_LEVELS || open > MAX_LEVELS) {
            return true;
        }
        ++n;
    }
    return false;
}

} // namespace bamboomoor::reader
