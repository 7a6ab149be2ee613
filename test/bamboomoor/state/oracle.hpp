/**
 * A simple reference model of the state machine's guarantees: accepted changes, keys and executions of requests.
 */
#pragma once

#include "bamboomoor/state/machine.hpp"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace bamboomoor::state
{

/** @brief Checks outcomes; each method returns false if an outcome violates a guarantee. */
class Oracle
{
public:
    bool change(
        const std::string &changeId, const std::string &content, const std::string &base, const Outcome &outcome)
    {
        const auto &it = std::get<ChangeOutcome>(outcome);
        const auto first = m_decided.find(changeId);
        if (first != m_decided.end()) {
            const DecidedChange &earlier = first->second;
            if (earlier.content != content) {
                return it.code == ChangeCode::ChangeIdReused;
            }
            const bool retried = earlier.outcome.code == ChangeCode::BaseMismatch && earlier.base != base;
            if (!retried) {
                return it == earlier.outcome;
            }
        }
        m_decided[changeId] = {content, base, it};
        if (it.code != ChangeCode::Accepted) {
            return it.version == m_version;
        }
        const bool raced = !base.empty() && base != m_base;
        m_version += 1;
        m_base = std::to_string(m_version) + " " + it.digest;
        return !raced && it.version == m_version;
    }

    void withdraw(const std::string &hash)
    {
        m_withdrawn.insert(hash);
    }

    // The current document contains no withdrawn key.
    [[nodiscard]] bool keysAreValid(const Machine &machine) const
    {
        for (const auto &organisation : machine.configuration().document()->organisations) {
            for (const auto &key : organisation.keys) {
                if (m_withdrawn.contains(key.hash)) {
                    return false;
                }
            }
        }
        return machine.configuration().current().version == m_version;
    }

    // The request of each key runs once until its claim is swept, and its stored response never changes.
    bool open(const OpenClaim &command, const Outcome &outcome)
    {
        const auto &it = std::get<ClaimOutcome>(outcome);
        const std::string key = command.organisation + "/" + command.key;
        const auto run = m_runs.find(key);
        if (run == m_runs.end()) {
            m_runs[key] = {it.claimId, command.requestDigest, command.vm + command.attempt, ""};
            return it.code == ClaimCode::Opened;
        }
        if (run->second.request != command.requestDigest) {
            return it.code == ClaimCode::DifferentRequest;
        }
        if (it.code == ClaimCode::Opened) {
            return run->second.runner == command.vm + command.attempt && it.claimId == run->second.claimId;
        }
        return it.code != ClaimCode::Stored || (it.response->body == run->second.body && !run->second.body.empty());
    }

    void finish(const FinishClaim &command, const Outcome &outcome)
    {
        const auto &it = std::get<ClaimOutcome>(outcome);
        const auto run = m_runs.find(command.organisation + "/" + command.key);
        if (it.code == ClaimCode::Finished && run != m_runs.end() && run->second.body.empty()) {
            run->second.body = command.body;
        }
    }

    // Only the attempt that opened a claim can release it, and only before a response is stored.
    bool release(const ReleaseClaim &command, const Outcome &outcome)
    {
        if (std::get<ClaimOutcome>(outcome).code != ClaimCode::Finished) {
            return true;
        }
        const auto run = m_runs.find(command.organisation + "/" + command.key);
        if (run == m_runs.end() || run->second.runner != command.vm + command.attempt || !run->second.body.empty()) {
            return false;
        }
        if (!command.mayHaveRun) {
            m_runs.erase(run);
        }
        return true;
    }

    void sweep(const Machine &machine)
    {
        std::erase_if(m_runs, [&machine](const auto &it) {
            const auto at = it.first.find('/');
            return machine.claims().find({it.first.substr(0, at), it.first.substr(at + 1)}) == nullptr;
        });
    }

private:
    struct DecidedChange {
        std::string content;
        std::string base;
        ChangeOutcome outcome;
    };
    struct Run {
        std::uint64_t claimId = 0;
        std::string request;
        std::string runner;
        std::string body;
    };
    std::uint64_t m_version = 0;
    std::string m_base = "0 " + Machine().configuration().current().digest;
    std::map<std::string, DecidedChange> m_decided;
    std::set<std::string> m_withdrawn;
    std::map<std::string, Run> m_runs;
};

} // namespace bamboomoor::state
