/**
 * Base64 conversion by Abseil, whose decoder accepts only what its encoder would produce.
 */
#include "bamboomoor/state/base64.hpp"

#include <absl/strings/escaping.h>

namespace bamboomoor::state::internal
{

std::string toBase64(std::string_view bytes)
{
    return absl::Base64Escape({bytes.data(), bytes.size()});
}

std::optional<std::string> fromBase64(std::string_view text)
{
    std::string bytes;
    if (!absl::Base64Unescape({text.data(), text.size()}, &bytes)) {
        return std::nullopt;
    }
    return bytes;
}

} // namespace bamboomoor::state::internal
