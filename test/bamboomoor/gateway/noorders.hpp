/**
 * Orders to workers for tests that have none.
 */
#pragma once

#include "bamboomoor/gateway/dialect.hpp"

#include <optional>
#include <string_view>

namespace gateway_test
{

using namespace bamboomoor;

/** @brief Of an infrastructure without workers. */
struct NoOrders : gateway::OrderDialect {
    [[nodiscard]] http::Call order(
        const placement::ResidencyOrder & /*order*/, const gateway::OrderSender & /*sender*/) const override
    {
        return {};
    }

    [[nodiscard]] placement::ResidencyOrderResult readOrder(int /*status*/) const override
    {
        return placement::ResidencyOrderResult::Unknown;
    }

    [[nodiscard]] http::Call inspect(const placement::Inspection & /*inspection*/) const override
    {
        return {};
    }

    [[nodiscard]] std::optional<placement::InspectionResult> readInspection(
        int /*status*/, std::string_view /*body*/) const override
    {
        return std::nullopt;
    }

    [[nodiscard]] bool isOtherProcess(int /*status*/) const noexcept override
    {
        return false;
    }
};

} // namespace gateway_test
