/**
 * Formats and parses the ids of orders and holds.
 */
#include "bamboomoor/placement/order.hpp"

#include <charconv>
#include <system_error>

namespace bamboomoor::placement
{

namespace
{
constexpr std::string_view ORDER_PREFIX = "order-";
constexpr std::string_view HOLD_PREFIX = "hold-";
} // namespace

std::string orderIdOf(std::uint64_t fencing)
{
    return std::string(ORDER_PREFIX) + std::to_string(fencing);
}

std::string holdIdOf(std::uint64_t fencing, std::uint64_t load)
{
    return std::string(HOLD_PREFIX) + std::to_string(fencing) + "-" + std::to_string(load);
}

std::string loadOfHold(std::string_view id)
{
    return std::string(ORDER_PREFIX) + std::string(id.substr(id.rfind('-') + 1));
}

bool isHold(std::string_view id) noexcept
{
    return id.starts_with(HOLD_PREFIX);
}

std::uint64_t fencingOf(std::string_view id) noexcept
{
    if (!id.starts_with(ORDER_PREFIX)) {
        return 0;
    }
    id.remove_prefix(ORDER_PREFIX.size());
    std::uint64_t fencing = 0;
    const auto [end, ec] = std::from_chars(id.data(), id.data() + id.size(), fencing);
    return ec == std::errc{} && end == id.data() + id.size() ? fencing : 0;
}

} // namespace bamboomoor::placement
