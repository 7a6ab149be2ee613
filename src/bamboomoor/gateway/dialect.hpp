/**
 * Declares the interfaces that the adapter of an infrastructure implements to translate between its messages and the
 * typed values of this project. Implementations are stateless and thread-safe; they make no decisions and never retry.
 */
#pragma once

#include "bamboomoor/base/outcome.hpp"
#include "bamboomoor/config/document.hpp"
#include "bamboomoor/http/client.hpp"
#include "bamboomoor/http/message.hpp"
#include "bamboomoor/membership/announcement.hpp"
#include "bamboomoor/placement/residency.hpp"
#include "bamboomoor/relay/core.hpp"
#include "bamboomoor/relay/request.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace bamboomoor::gateway
{

/** @brief Translates between callers and the relay. */
class CallerDialect
{
public:
    virtual ~CallerDialect() = default;

    /**
     * @brief Reads a caller's request.
     * @param request The request as received.
     * @return The request to relay, or the error response to a malformed one.
     */
    [[nodiscard]] virtual base::Result<relay::Request, http::Response> read(http::Request request) const = 0;

    /**
     * @brief Builds a response that the entry generates itself.
     * @param refused The reason.
     * @param requestId The caller's ID of the request; empty if it has none.
     * @return Status, headers and body; the status says "not run" only if `refused` does.
     */
    [[nodiscard]] virtual http::Response refusal(
        const relay::LocalReply &refused, const std::string &requestId) const = 0;
};

/** @brief Translates between the relay and upstreams. */
class UpstreamDialect
{
public:
    virtual ~UpstreamDialect() = default;

    /**
     * @brief Builds the call for an attempt at an upstream.
     * @param attempt The attempt: its upstream and how to call it.
     * @param request The caller's request.
     * @return The call, without timeouts.
     */
    [[nodiscard]] virtual http::Call call(const relay::Attempt &attempt, const relay::Request &request) const = 0;

    /**
     * @brief Parses the head of a response.
     * @param status The HTTP status.
     * @param headers The header lines.
     * @param requestId The request ID that was sent with the call.
     * @return The parsed head.
     */
    [[nodiscard]] virtual relay::ResponseHead readHead(
        int status, http::Headers headers, const std::string &requestId) const = 0;
};

/** @brief An upstream announces itself. */
struct AnnounceCall {
    membership::Announcement announcement;
};

/** @brief An upstream withdraws itself; carries no full announcement. */
struct WithdrawCall {
    std::string id;
    // The process that withdraws; the latest known one of the upstream if it is not stated.
    std::optional<std::uint64_t> incarnation = {};
};

/** @brief An operator replaces the active configuration document. */
struct ReplaceCall {
    std::uint64_t version = 0;
    config::Document document;
    // The original bytes, which a read returns.
    std::string source;
};

/** @brief An operator reads the active configuration document. */
struct ReadCall {
};

/** @brief An operator begins or ends the evacuation of a data centre. */
struct EvacuateCall {
    std::string dataCentre;
    bool evacuated = false;
};

/** @brief A malformed call or one to an unknown resource. */
struct BadCall {
    http::Response answer;
    // A one-line reason for the log.
    std::string reason;
};

/** @brief Any call to a control VM. */
using ControlCall = std::variant<AnnounceCall, WithdrawCall, ReplaceCall, ReadCall, EvacuateCall, BadCall>;

/** @brief Translates the calls of operators and upstreams to a control VM. */
class ControlDialect
{
public:
    virtual ~ControlDialect() = default;

    /** @brief Parses a call. @param request The request. @return The parsed call. */
    [[nodiscard]] virtual ControlCall read(const http::Request &request) const = 0;

    /** @brief Builds the response to a successful call. */
    [[nodiscard]] virtual http::Response done() const = 0;

    /** @brief Builds the response to a read. @param source The original bytes of the document. @return The response. */
    [[nodiscard]] virtual http::Response document(const std::string &source) const = 0;

    /** @brief Builds the response to an invalid change. @param reason A one-line reason. @return The response. */
    [[nodiscard]] virtual http::Response invalid(const std::string &reason) const = 0;

    /** @brief Builds a response that asks to retry here or on another VM. @param reason The reason. @return The
     * response.
     */
    [[nodiscard]] virtual http::Response unavailable(const std::string &reason) const = 0;
};

/** @brief The sender of an order. */
struct OrderSender {
    // The control VM.
    std::string holder;
    // Fencing token; grows with every new leader.
    std::uint64_t fencing = 0;
};

/** @brief Translates orders to workers. */
class OrderDialect
{
public:
    virtual ~OrderDialect() = default;

    /**
     * @brief Builds the call for an order.
     * @param order The order.
     * @param sender The sender.
     * @return The call, without timeouts.
     */
    [[nodiscard]] virtual http::Call order(const placement::ResidencyOrder &order, const OrderSender &sender) const = 0;

    /** @brief Parses the response to an order. @param status Its HTTP status. @return The result of the order. */
    [[nodiscard]] virtual placement::ResidencyOrderResult readOrder(int status) const = 0;

    /** @brief Builds the call that queries what a worker has loaded. @param inspection The worker. @return The call. */
    [[nodiscard]] virtual http::Call inspect(const placement::Inspection &inspection) const = 0;

    /**
     * @brief Parses the response of a worker that reports what it has loaded.
     * @param status The HTTP status.
     * @param body The body.
     * @return The result, or nullopt if the response cannot be parsed.
     */
    [[nodiscard]] virtual std::optional<placement::InspectionResult> readInspection(
        int status, std::string_view body) const = 0;

    /** @brief Tells whether the response to an inspection comes from another process, which has the worker's address
     * now. @param status The HTTP status. */
    [[nodiscard]] virtual bool isOtherProcess(int status) const noexcept = 0;
};

/** @brief All dialects of one infrastructure. */
struct Dialects {
    std::unique_ptr<CallerDialect> callers;
    std::unique_ptr<UpstreamDialect> upstreams;
    std::unique_ptr<ControlDialect> control;
    std::unique_ptr<OrderDialect> orders;
};

} // namespace bamboomoor::gateway
