/**
 * An entry in memory: the real replicated state behind a link that loses questions, answers and patience.
 */
#pragma once

#include "bamboomoor/operators/operators.hpp"
#include "bamboomoor/operators/wire.hpp"
#include "bamboomoor/state/machine.hpp"

#include <deque>
#include <string>
#include <utility>
#include <vector>

namespace bamboomoor::operators
{

/** @brief What befalls one call. */
enum class Fault { None, NotSent, AnswerLost, QuestionLate, NotRun, Garbage, SaidUnknown };

/** @brief Carries calls to a state machine. */
class FakeEntry final : public Transport
{
public:
    [[nodiscard]] base::Result<HttpReply, TransportError> call(
        Method method, const std::string &path, const std::string &body) override
    {
        const Fault fault = m_faults.empty() ? Fault::None : m_faults.front();
        if (!m_faults.empty()) {
            m_faults.pop_front();
        }
        m_calls.push_back(path);
        if (method == Method::Get && fault != Fault::None) {
            return base::failure(TransportError{Reach::MaybeSent, "no answer"});
        }
        switch (fault) {
        case Fault::None:
            return HttpReply{200, method == Method::Get ? show() : post(path, body)};
        case Fault::NotSent:
            return base::failure(TransportError{Reach::NotSent, "no connection"});
        case Fault::AnswerLost:
            static_cast<void>(post(path, body));
            return base::failure(TransportError{Reach::MaybeSent, "no answer"});
        case Fault::QuestionLate:
            m_late.emplace_back(path, body);
            return base::failure(TransportError{Reach::MaybeSent, "no answer"});
        case Fault::NotRun:
            return HttpReply{503, R"({"error":{"type":"t","code":"no_leader","message":"m","not_run":true}})"};
        case Fault::Garbage:
            static_cast<void>(post(path, body));
            return HttpReply{502, "<html>"};
        case Fault::SaidUnknown:
            static_cast<void>(post(path, body));
            return HttpReply{504, R"({"error":{"type":"t","code":"timeout","message":"m","not_run":null}})"};
        }
        return HttpReply{};
    }

    // Delivers what was under way for long.
    void deliverLate()
    {
        for (const auto &[path, body] : std::exchange(m_late, {})) {
            static_cast<void>(post(path, body));
        }
    }

    std::deque<Fault> m_faults;
    std::vector<std::string> m_calls;
    state::Machine m_machine;

private:
    [[nodiscard]] std::string show() const
    {
        const auto &now = m_machine.configuration().current();
        Reply reply;
        reply.version.version = now.version;
        reply.version.digest = now.digest;
        reply.document = now.text;
        return encode(reply);
    }

    std::string post(const std::string &path, const std::string &body)
    {
        state::Command command;
        if (path == APPLY_PATH) {
            const auto it = decodeApply(body).value();
            command = state::ApplyConfig{it.changeId, it.author, 1, it.baseVersion, it.baseDigest, it.document};
        } else if (path == ADD_KEY_PATH) {
            const auto it = decodeAddKey(body).value();
            command = state::AddKey{it.changeId, it.author, 1, it.organisation, it.keyId, it.hash};
        } else {
            const auto it = decodeWithdrawKey(body).value();
            command = state::WithdrawKey{it.changeId, it.author, 1, it.organisation, it.keyId};
        }
        const auto outcome = m_machine.apply(m_machine.lastIndex() + 1, state::encode(command));
        const auto &change = std::get<state::ChangeOutcome>(outcome);
        Reply reply;
        reply.verdict = change.code == state::ChangeCode::Accepted ? Verdict::Done : Verdict::Refused;
        reply.code = state::CHANGE_CODE_NAMES.name(change.code);
        reply.message = change.message;
        reply.version.version = change.version;
        return encode(reply);
    }

    std::vector<std::pair<std::string, std::string>> m_late;
};

} // namespace bamboomoor::operators
