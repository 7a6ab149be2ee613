/**
 * The identity of a request across its tries.
 */
#include "bamboomoor/relay/request.hpp"

#include "bamboomoor/base/digest.hpp"
#include "bamboomoor/quarantine/partlimits.hpp"

#include <string_view>

namespace bamboomoor::relay
{

std::string fingerprint(const Request &request, std::string_view caller)
{
    return base::sha256({request.method, request.host, request.path, request.query, caller, request.body})
        .substr(0, quarantine::FINGERPRINT_LENGTH);
}

} // namespace bamboomoor::relay
