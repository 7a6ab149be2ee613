/**
 * The gate: decides for whom a request runs, by its key, its route or model and the state of this VM.
 */
#pragma once

#include "bamboomoor/admission/refusal.hpp"
#include "bamboomoor/base/outcome.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bamboomoor::admission
{

/** @brief What the configuration knows about a key. */
struct KeyEntry {
    std::string organisation;
    bool withdrawn = false;
};

/** @brief What the configuration knows about a route or a model. */
struct TargetEntry {
    // Runs without a key, for no organisation.
    bool open = false;
    // The organisations that may use it; empty for all.
    std::vector<std::string> organisations;
};

/** @brief The configuration in force, as the gate sees it. */
class Directory
{
public:
    virtual ~Directory() = default;

    /**
     * @brief Finds a key.
     * @param keyHash base::sha256 of the key.
     * @return Its entry, or nothing for a key that was never given.
     */
    [[nodiscard]] virtual std::optional<KeyEntry> findKey(std::string_view keyHash) const = 0;

    /**
     * @brief Finds a model or adapter by the name that callers use.
     * @param model The name.
     * @return Its entry, or nothing.
     */
    [[nodiscard]] virtual std::optional<TargetEntry> findModel(std::string_view model) const = 0;

    /**
     * @brief Finds a service route by its path prefix.
     * @param route The configured prefix.
     * @return Its entry, or nothing.
     */
    [[nodiscard]] virtual std::optional<TargetEntry> findRoute(std::string_view route) const = 0;

    /**
     * @brief Reads the version of the configuration in force here.
     * @return A number that only grows.
     */
    [[nodiscard]] virtual std::uint64_t version() const noexcept = 0;
};

/** @brief What a request is for. */
enum class TargetKind { Model, Route };

/** @brief The names of the target kinds. */
inline constexpr auto TARGET_KIND_NAMES = base::makeNames<TargetKind>("model", "route");

/** @brief What the gate needs to know of a request. */
struct Request {
    // As presented, without "Bearer"; empty for none.
    std::string key;
    TargetKind kind = TargetKind::Model;
    // The model's name or the route's prefix.
    std::string target;
    std::size_t bodyBytes = 0;
};

/** @brief The state of this VM that decides on requests. */
struct GateState {
    // The freshness lease holds.
    bool fresh = false;
    bool draining = false;
    std::size_t maxBodyBytes = 0;
};

/** @brief A request that may run. */
struct Admitted {
    // Empty on an open route.
    std::string organisation;
    // base::sha256 of the key, to check it again; empty on an open route.
    std::string keyHash;
    std::uint64_t version = 0;
};

/** @brief Decides on requests; keeps no state of its own. */
class Gate
{
public:
    /**
     * @brief Decides on a request when it arrives.
     * @param request The request.
     * @param state The state of this VM.
     * @param directory The configuration in force here.
     * @return For whom it runs, or why it does not.
     */
    [[nodiscard]] static base::Result<Admitted, Refusal> decide(
        const Request &request, const GateState &state, const Directory &directory);

    /**
     * @brief Decides again on an admitted request, before it is sent to an upstream and while it runs.
     * @param admitted What decide() returned.
     * @param fresh The freshness lease holds.
     * @param directory The configuration in force now.
     * @return Why it must not go on, or nothing.
     */
    [[nodiscard]] static std::optional<Refusal> recheck(
        const Admitted &admitted, bool fresh, const Directory &directory);
};

} // namespace bamboomoor::admission
