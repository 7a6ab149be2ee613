/**
 * What an infrastructure's adapter provides: the translation between its messages and the product's typed values.
 * A dialect decides nothing, retries nothing and keeps no state; all methods may be called from any thread.
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
     * @param request The request as it came.
     * @return The request to relay, or the answer to one that cannot be read.
     */
    [[nodiscard]] virtual base::Result<relay::Request, http::Response> read(http::Request request) const = 0;

    /**
     * @brief Words an answer of the entry itself.
     * @param refused Why.
     * @param requestId The caller's id of the request, empty when it has none.
     * @return Status, headers and body; the status says "not run" only where refused does.
     */
    [[nodiscard]] virtual http::Response refusal(const relay::Refused &refused, const std::string &requestId) const = 0;
};

/** @brief Translates between the relay and upstreams. */
class UpstreamDialect
{
public:
    virtual ~UpstreamDialect() = default;

    /**
     * @brief Writes a request to an upstream.
     * @param attempt Where and how.
     * @param request The caller's request.
     * @return The call, without time limits.
     */
    [[nodiscard]] virtual http::Call call(const relay::Attempt &attempt, const relay::Request &request) const = 0;

    /**
     * @brief Reads the head of an answer.
     * @param status The HTTP status.
     * @param headers The header lines.
     * @param requestId The id of the request that the call carried.
     * @return What the head says.
     */
    [[nodiscard]] virtual relay::AnswerHead readHead(
        int status, http::Headers headers, const std::string &requestId) const = 0;
};

/** @brief An upstream announces itself. */
struct AnnounceCall {
    membership::Announcement announcement;
};

/** @brief An upstream says that it goes, without what else it would announce. */
struct WithdrawCall {
    std::string id;
};

/** @brief An operator puts a document in force. */
struct ReplaceCall {
    std::uint64_t version = 0;
    config::Document document;
    // The bytes as sent, to be given back.
    std::string source;
};

/** @brief An operator reads the document in force. */
struct ReadCall {
};

/** @brief A call that cannot be read or names nothing. */
struct BadCall {
    http::Response answer;
    // One line for the log.
    std::string reason;
};

/** @brief Any call to a control VM. */
using ControlCall = std::variant<AnnounceCall, WithdrawCall, ReplaceCall, ReadCall, BadCall>;

/** @brief Translates the calls of operators and upstreams to a control VM. */
class ControlDialect
{
public:
    virtual ~ControlDialect() = default;

    /** @brief Reads a call. @param request The request. @return What is asked. */
    [[nodiscard]] virtual ControlCall read(const http::Request &request) const = 0;

    /** @brief Words that a call was carried out. @return The answer. */
    [[nodiscard]] virtual http::Response done() const = 0;

    /** @brief Gives a document back. @param source The bytes as sent. @return The answer. */
    [[nodiscard]] virtual http::Response document(const std::string &source) const = 0;

    /** @brief Words that a document is not accepted. @param reason Why, on one line. @return The answer. */
    [[nodiscard]] virtual http::Response invalid(const std::string &reason) const = 0;

    /** @brief Words that the call may be sent to another VM, or again. @param reason Why. @return The answer. */
    [[nodiscard]] virtual http::Response unavailable(const std::string &reason) const = 0;
};

/** @brief Who gives an order. */
struct OrderSender {
    // The control VM.
    std::string holder;
    // Greater at every later leader.
    std::uint64_t fencing = 0;
};

/** @brief Translates orders to workers. */
class OrderDialect
{
public:
    virtual ~OrderDialect() = default;

    /**
     * @brief Writes an order.
     * @param order The order.
     * @param sender Who gives it.
     * @return The call, without time limits.
     */
    [[nodiscard]] virtual http::Call order(const placement::ResidencyOrder &order, const OrderSender &sender) const = 0;

    /** @brief Reads the answer to an order. @param status Its HTTP status. @return What became of the order. */
    [[nodiscard]] virtual placement::OrderVerdict readOrder(int status) const = 0;

    /** @brief Writes the question for what a worker holds. @param inspection The worker. @return The call. */
    [[nodiscard]] virtual http::Call inspect(const placement::Inspection &inspection) const = 0;

    /**
     * @brief Reads what a worker holds.
     * @param status The HTTP status.
     * @param body The body.
     * @return The find, or nothing for an answer that cannot be read.
     */
    [[nodiscard]] virtual std::optional<placement::Inspected> readInspection(
        int status, std::string_view body) const = 0;
};

/** @brief All dialects of one infrastructure. */
struct Dialects {
    std::unique_ptr<CallerDialect> callers;
    std::unique_ptr<UpstreamDialect> upstreams;
    std::unique_ptr<ControlDialect> control;
    std::unique_ptr<OrderDialect> orders;
};

} // namespace bamboomoor::gateway
