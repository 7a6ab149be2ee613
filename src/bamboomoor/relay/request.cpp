/**
 * The identity of a request across its tries.
 */
#include "bamboomoor/relay/request.hpp"

#include "bamboomoor/base/digest.hpp"

#include <cstddef>
#include <string_view>

namespace bamboomoor::relay
{

namespace
{

// In hexadecimal digits.
constexpr std::size_t FINGERPRINT_LENGTH = 32;

} // namespace

std::string fingerprint(const Request &request, std::string_view caller)
{
    // Lengths keep fields apart, so that no two requests give the same bytes.
    std::string bytes;
    const auto add = [&bytes](std::string_view field) {
        bytes += std::to_string(field.size());
        bytes += ':';
        bytes += field;
    };
    add(request.method);
    add(request.host);
    add(request.path);
    add(request.query);
    add(caller);
    add(request.body);
    return base::sha256(bytes).substr(0, FINGERPRINT_LENGTH);
}

} // namespace bamboomoor::relay
