/**
 * Dispatch of commands, and snapshots.
 */
#include "bamboomoor/state/machine.hpp"

#include "bamboomoor/base/digest.hpp"
#include "bamboomoor/base/overloaded.hpp"
#include "bamboomoor/state/json.hpp"

#include <cassert>
#include <exception>
#include <vector>

namespace bamboomoor::state
{
namespace
{

// Must be incremented when the layout of snapshots changes.
constexpr int SNAPSHOT_FORMAT = 1;
constexpr std::string_view CLAIMS_KEY = "claims";
constexpr std::string_view CONFIGURATION_KEY = "configuration";
constexpr std::string_view FORMAT_KEY = "format";
constexpr std::string_view LAST_INDEX_KEY = "lastIndex";
constexpr std::string_view LEADER_LOG_KEY = "leaderLog";
constexpr std::string_view QUARANTINES_KEY = "quarantines";
constexpr std::string_view SOFTWARE_KEY = "software";
constexpr std::string_view EVACUATIONS_KEY = "evacuations";
constexpr std::string_view WITHDRAWALS_KEY = "withdrawals";
// Bytes of a snapshot beside claims and history.
constexpr std::size_t SNAPSHOT_SLACK = 1'048'576;

/** @brief Appends the key of the next member of a JSON object. @return The text, for the value to be appended. */
std::string &appendMember(std::string &out, std::string_view key)
{
    out += out.empty() ? "{\"" : ",\"";
    out += key;
    return out += "\":";
}

} // namespace

Machine::Machine(const Limits &limits)
    : m_configuration(limits)
    , m_claims(limits)
    , m_quarantines(limits)
    , m_software(limits)
    , m_evacuations(limits)
    , m_withdrawals(limits)
{
}

Outcome Machine::apply(std::uint64_t index, std::string_view command)
{
    assert(index > m_lastIndex);
    m_lastIndex = index;
    const auto decoded = decode(command);
    if (decoded.has_error()) {
        return Malformed{.message = decoded.error().message};
    }
    return applyCommand(index, decoded.value());
}

std::optional<Outcome> Machine::decided(std::string_view command) const
{
    const auto decoded = decode(command);
    if (decoded.has_error()) {
        return std::nullopt;
    }
    const auto asOutcome = [](auto outcome) {
        return outcome ? std::optional<Outcome>(*std::move(outcome)) : std::nullopt;
    };
    return std::visit(base::Overloaded{
                          [&](const ApplyConfig &it) {
                              return asOutcome(m_configuration.decided(it));
                          },
                          [&](const ReplaceConfig &it) {
                              return asOutcome(m_configuration.decided(it));
                          },
                          [&](const AddKey &it) {
                              return asOutcome(m_configuration.decided(it));
                          },
                          [&](const WithdrawKey &it) {
                              return asOutcome(m_configuration.decided(it));
                          },
                          [&](const OpenClaim &it) {
                              return asOutcome(m_claims.decided(it));
                          },
                          [&](const FinishClaim &it) {
                              return asOutcome(m_claims.decided(it));
                          },
                          [&](const RecordWithdrawal &it) {
                              const bool isKnown = m_withdrawals.contains(it.upstream, it.incarnation);
                              return isKnown ? std::optional<Outcome>(CountOutcome{1}) : std::nullopt;
                          },
                          [](const auto &) {
                              return std::optional<Outcome>();
                          },
                      },
        decoded.value());
}

Outcome Machine::applyCommand(std::uint64_t index, const Command &command)
{
    const base::Overloaded visitor{
        [this](const ApplyConfig &it) -> Outcome {
            return m_configuration.apply(it);
        },
        [this](const ReplaceConfig &it) -> Outcome {
            return m_configuration.apply(it);
        },
        [this](const AddKey &it) -> Outcome {
            return m_configuration.apply(it);
        },
        [this](const WithdrawKey &it) -> Outcome {
            return m_configuration.apply(it);
        },
        [this, index](const OpenClaim &it) -> Outcome {
            return m_claims.open(index, it);
        },
        [this](const FinishClaim &it) -> Outcome {
            return m_claims.finish(it);
        },
        [this](const AbandonClaims &it) -> Outcome {
            return m_claims.abandon(it);
        },
        [this](const SweepClaims &it) -> Outcome {
            return m_claims.sweep(it);
        },
        [this](const RaiseCeiling &it) -> Outcome {
            return m_leaderLog.raise(it);
        },
        [this](const RecordIntent &it) -> Outcome {
            return m_leaderLog.record(it);
        },
        [this](const CloseIntent &it) -> Outcome {
            return m_leaderLog.close(it);
        },
        [this](const ReleaseClaim &it) -> Outcome {
            return m_claims.release(it);
        },
        [this](const RecordQuarantines &it) -> Outcome {
            return m_quarantines.replace(it);
        },
        [this](const RecordSoftware &it) -> Outcome {
            return m_software.replace(it);
        },
        [this, index](const SetEvacuation &it) -> Outcome {
            return m_evacuations.apply(index, it);
        },
        [this, index](const RecordWithdrawal &it) -> Outcome {
            return m_withdrawals.apply(index, it);
        },
    };
    return std::visit(visitor, command);
}

std::string Machine::snapshot() const
{
    std::string out;
    // Pages that are not written to cost nothing, while a buffer that grows needs twice its size.
    out.reserve(SNAPSHOT_SLACK + (m_configuration.bytes() + m_claims.bytes()) * 2);
    m_claims.save(appendMember(out, CLAIMS_KEY));
    m_configuration.save(appendMember(out, CONFIGURATION_KEY));
    appendMember(out, FORMAT_KEY) += std::to_string(SNAPSHOT_FORMAT);
    appendMember(out, LAST_INDEX_KEY) += std::to_string(m_lastIndex);
    appendMember(out, LEADER_LOG_KEY) += internal::dump(m_leaderLog.save());
    // Left out when empty, as in snapshots of builds without them.
    if (!m_quarantines.ends().empty()) {
        appendMember(out, QUARANTINES_KEY) += internal::dump(m_quarantines.save());
    }
    if (!m_software.versions().empty()) {
        appendMember(out, SOFTWARE_KEY) += internal::dump(m_software.save());
    }
    if (!m_evacuations.dataCentres().empty()) {
        appendMember(out, EVACUATIONS_KEY) += internal::dump(m_evacuations.save());
    }
    if (!m_withdrawals.withdrawals().empty()) {
        appendMember(out, WITHDRAWALS_KEY) += internal::dump(m_withdrawals.save());
    }
    out += '}';
    return out;
}

base::Result<Machine, RestoreError> Machine::restore(std::string_view bytes, const Limits &limits)
{
    try {
        Machine machine(limits);
        const auto take = [&machine](const std::vector<std::string> &path, const nlohmann::json &element) {
            if (path.size() == 1 && path[0] == CLAIMS_KEY) {
                machine.m_claims.loadClaim(element);
                return true;
            }
            return path.size() == 2 && path[0] == CONFIGURATION_KEY
                && machine.m_configuration.loadElement(path[1], element);
        };
        const nlohmann::json in = internal::parseStrictly(bytes, take);
        if (in.at(FORMAT_KEY).get<int>() != SNAPSHOT_FORMAT) {
            return base::failure(RestoreError{.message = "the snapshot format is not supported"});
        }
        in.at(LAST_INDEX_KEY).get_to(machine.m_lastIndex);
        static_cast<void>(in.at(CLAIMS_KEY));
        machine.m_configuration.load(in.at(CONFIGURATION_KEY));
        machine.m_leaderLog.load(in.at(LEADER_LOG_KEY));
        if (in.contains(QUARANTINES_KEY)) {
            machine.m_quarantines.load(in.at(QUARANTINES_KEY));
        }
        if (in.contains(SOFTWARE_KEY)) {
            machine.m_software.load(in.at(SOFTWARE_KEY));
        }
        if (in.contains(EVACUATIONS_KEY)) {
            machine.m_evacuations.load(in.at(EVACUATIONS_KEY));
        }
        if (in.contains(WITHDRAWALS_KEY)) {
            machine.m_withdrawals.load(in.at(WITHDRAWALS_KEY));
        }
        return machine;
    } catch (const std::exception &error) {
        return base::failure(RestoreError{.message = error.what()});
    }
}

std::string Machine::digest() const
{
    return base::sha256(snapshot());
}

} // namespace bamboomoor::state
