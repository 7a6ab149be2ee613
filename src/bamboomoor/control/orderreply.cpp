/**
 * Implements the reading of replies to orders.
 */
#include "bamboomoor/control/orderreply.hpp"

#include "bamboomoor/base/json.hpp"

#include <string>

namespace bamboomoor::control
{

namespace
{

constexpr int OK = 200;
constexpr int CONFLICT = 409;

} // namespace

placement::TransportResult readOrderReply(int status, std::string_view body)
{
    const nlohmann::json json = base::parseJson(body);
    const auto field = json.is_object() ? json.find("outcome") : json.end();
    const bool named = json.is_object() && field != json.end() && field->is_string();
    const std::string outcome = named ? field->get<std::string>() : std::string();
    if (status == OK && outcome == "done") {
        return placement::TransportResult::Done;
    }
    const bool refused = status == CONFLICT && outcome == "refused";
    return refused ? placement::TransportResult::Refused : placement::TransportResult::Unknown;
}

} // namespace bamboomoor::control
