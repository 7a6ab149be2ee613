/**
 * Running the commands of operators.
 */
#include "bamboomoor/operators/operators.hpp"

#include "bamboomoor/base/digest.hpp"
#include "bamboomoor/config/parse.hpp"
#include "bamboomoor/operators/internal/present.hpp"
#include "bamboomoor/operators/wire.hpp"
#include "bamboomoor/state/outcome.hpp"

#include <fstream>
#include <istream>
#include <iterator>
#include <ostream>
#include <utility>

namespace bamboomoor::operators
{
namespace
{

// How often a change is sent while its outcome is unknown.
constexpr int MAX_SENDS = 4;
// The pause before the first resend; later ones are longer.
constexpr base::Millis RESEND_PAUSE{300};
constexpr std::size_t KEY_BYTES = 32;
constexpr std::size_t KEY_ID_BYTES = 4;
constexpr std::size_t CHANGE_ID_BYTES = 16;
constexpr int FIRST_CLIENT_ERROR = 400;
constexpr int FIRST_SERVER_ERROR = 500;

Reply refused(std::string code, std::string message)
{
    Reply reply;
    reply.verdict = Verdict::Refused;
    reply.code = std::move(code);
    reply.message = std::move(message);
    return reply;
}

Reply unknown(std::string code, std::string message)
{
    Reply reply = refused(std::move(code), std::move(message));
    reply.verdict = Verdict::Unknown;
    return reply;
}

// An answer without a readable body tells by its status alone whether anything can have happened.
Reply judge(const HttpReply &http)
{
    auto reply = decodeReply(http.body);
    if (reply.has_value()) {
        return std::move(reply).value();
    }
    const std::string message = "the entry answered with HTTP status " + std::to_string(http.status);
    const bool clientError = http.status >= FIRST_CLIENT_ERROR && http.status < FIRST_SERVER_ERROR;
    return clientError ? refused("http_error", message) : unknown("http_error", message);
}

// A refusal by the replicated state holds for every send of the change; one by an entry for that send only.
bool isDecided(const Reply &reply)
{
    return reply.verdict == Verdict::Refused && state::CHANGE_CODE_NAMES.find(reply.code).has_value();
}

// Runs one invocation.
class Runner
{
public:
    Runner(const Invocation &invocation, Surroundings &around)
        : m_invocation(invocation)
        , m_around(around)
    {
    }

    ExitStatus run()
    {
        switch (m_invocation.verb) {
        case Verb::Check:
            return check();
        case Verb::Apply:
            return apply();
        case Verb::Show:
            return show();
        case Verb::History:
            return tell(read(std::string(HISTORY_PATH)));
        case Verb::KeyAdd:
            return addKey();
        case Verb::KeyWithdraw:
            return withdrawKey();
        case Verb::Status:
            return tell(read(std::string(STATUS_PATH)));
        case Verb::Drain:
            return tell(change(DRAIN_PATH, "{}"));
        }
        return ExitStatus::Usage;
    }

private:
    ExitStatus tell(const Reply &reply, const internal::Extra &extra = {})
    {
        internal::present({m_invocation.verb, m_invocation.json}, reply, extra, m_around.out, m_around.err);
        switch (reply.verdict) {
        case Verdict::Done:
            return ExitStatus::Done;
        case Verdict::Refused:
            return ExitStatus::Refused;
        case Verdict::Unknown:
            return ExitStatus::Unknown;
        }
        return ExitStatus::Unknown;
    }

    // A question changes nothing, so one without an answer is merely refused.
    Reply read(const std::string &path)
    {
        const auto http = m_around.transport.call(Method::Get, path, "");
        if (http.has_error()) {
            return refused("no_answer", http.error().message);
        }
        Reply reply = judge(http.value());
        if (reply.verdict == Verdict::Unknown) {
            reply.verdict = Verdict::Refused;
        }
        return reply;
    }

    // Sends until the outcome is known. Once one send may have arrived, only the replicated state can refuse the
    // change for good: a later send that did not run says nothing about the earlier one.
    Reply change(std::string_view path, const std::string &body)
    {
        Reply reply = send(path, body);
        for (int n = 1; n < MAX_SENDS && reply.verdict == Verdict::Unknown; ++n) {
            m_around.pause(RESEND_PAUSE * n);
            Reply later = send(path, body);
            if (later.verdict == Verdict::Done || isDecided(later)) {
                return later;
            }
        }
        return reply;
    }

    Reply send(std::string_view path, const std::string &body)
    {
        const auto http = m_around.transport.call(Method::Post, std::string(path), body);
        if (http.has_value()) {
            return judge(http.value());
        }
        const TransportError &error = http.error();
        return error.reach == Reach::NotSent ? refused("not_sent", error.message) : unknown("no_answer", error.message);
    }

    base::Result<std::string, Reply> readFile()
    {
        const std::string &name = m_invocation.words.at(0);
        std::ifstream file;
        if (name != "-") {
            file.open(name, std::ios::binary);
        }
        std::istream &in = name == "-" ? m_around.in : file;
        std::string text{std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
        if (name != "-" && !file.is_open()) {
            return base::failure(refused("unreadable_file", name + ": the file cannot be read"));
        }
        const auto parsed = config::parse(text);
        auto problem = parsed.has_value() ? config::check(parsed.value()) : parsed.error();
        if (problem.has_value()) {
            return base::failure(refused("invalid_document", name + ": " + problem->place + ": " + problem->message));
        }
        return text;
    }

    ExitStatus check()
    {
        const auto text = readFile();
        if (text.has_error()) {
            return tell(text.error());
        }
        Reply reply;
        reply.code = "valid";
        reply.version.digest = config::digest(config::parse(text.value()).value());
        reply.message = m_invocation.words.at(0) + ": valid, digest " + reply.version.digest;
        return tell(reply);
    }

    ExitStatus apply()
    {
        auto text = readFile();
        if (text.has_error()) {
            return tell(text.error());
        }
        std::optional<Base> base = m_invocation.base;
        if (!base.has_value()) {
            const Reply now = read(std::string(SHOW_PATH));
            if (now.verdict != Verdict::Done) {
                return tell(now);
            }
            base = Base{.version = now.version.version, .digest = now.version.digest};
        }
        const ApplyRequest request{.changeId = changeId(),
            .author = m_invocation.author,
            .baseVersion = base->version,
            .baseDigest = base->digest,
            .document = std::move(text).value()};
        return tell(change(APPLY_PATH, encode(request)), {.changeId = request.changeId, .keyId = "", .key = ""});
    }

    ExitStatus show()
    {
        std::string path(SHOW_PATH);
        if (!m_invocation.words.empty()) {
            path += "?version=" + m_invocation.words[0];
        }
        return tell(read(path));
    }

    ExitStatus addKey()
    {
        const std::string key = "bm-" + m_around.secrets.make(KEY_BYTES);
        AddKeyRequest request;
        request.changeId = changeId();
        request.author = m_invocation.author;
        request.organisation = m_invocation.words.at(0);
        request.keyId = m_invocation.keyId.empty() ? "key-" + m_around.secrets.make(KEY_ID_BYTES) : m_invocation.keyId;
        request.hash = base::sha256(key);
        const Reply reply = change(ADD_KEY_PATH, encode(request));
        // A key whose outcome is unknown may be in force; a refused one is worth nothing.
        const bool useless = reply.verdict == Verdict::Refused;
        return tell(reply, {.changeId = request.changeId, .keyId = request.keyId, .key = useless ? "" : key});
    }

    ExitStatus withdrawKey()
    {
        const WithdrawKeyRequest request{.changeId = changeId(),
            .author = m_invocation.author,
            .organisation = m_invocation.words.at(0),
            .keyId = m_invocation.words.at(1)};
        return tell(change(WITHDRAW_KEY_PATH, encode(request)), {.changeId = request.changeId, .keyId = "", .key = ""});
    }

    std::string changeId()
    {
        return m_invocation.changeId.empty() ? m_around.secrets.make(CHANGE_ID_BYTES) : m_invocation.changeId;
    }

    const Invocation &m_invocation;
    Surroundings &m_around;
};

} // namespace

ExitStatus run(const Invocation &invocation, Surroundings around)
{
    return Runner(invocation, around).run();
}

} // namespace bamboomoor::operators
