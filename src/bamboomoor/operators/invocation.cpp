/**
 * The command line by popt.
 */
#include "bamboomoor/operators/invocation.hpp"

#include "bamboomoor/reader/tablereader.hpp"

#include <popt.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdlib>
#include <memory>
#include <utility>

namespace bamboomoor::operators
{
namespace
{

constexpr std::int64_t MAX_TIMEOUT_MS = 600'000;

// The values that popt returns, from 1.
enum class Option { Json = 1, Entry, TokenFile, Base, BaseDigest, ChangeId, Author, KeyId, Timeout, Help };

struct VerbRules {
    std::size_t leastWords = 0;
    std::size_t mostWords = 0;
    // What follows the verb, for usage.
    std::string_view words;
    std::vector<Option> options;
};

const std::vector<Option> &remoteOptions()
{
    static const std::vector<Option> options{Option::Json, Option::Entry, Option::TokenFile, Option::Timeout};
    return options;
}

std::vector<Option> withRemote(std::vector<Option> options)
{
    options.insert(options.end(), remoteOptions().begin(), remoteOptions().end());
    return options;
}

VerbRules rulesOf(Verb verb)
{
    switch (verb) {
    case Verb::Check:
        return {1, 1, " FILE", {Option::Json}};
    case Verb::Apply:
        return {1, 1, " FILE [--base VERSION --base-digest DIGEST] [--change-id ID] [--author AUTHOR]",
            withRemote({Option::Base, Option::BaseDigest, Option::ChangeId, Option::Author})};
    case Verb::Show:
        return {0, 1, " [VERSION]", remoteOptions()};
    case Verb::KeyAdd:
        return {1, 1, " ORGANISATION [--id ID] [--change-id ID] [--author AUTHOR]",
            withRemote({Option::KeyId, Option::ChangeId, Option::Author})};
    case Verb::KeyWithdraw:
        return {2, 2, " ORGANISATION ID [--change-id ID] [--author AUTHOR]",
            withRemote({Option::ChangeId, Option::Author})};
    case Verb::History:
    case Verb::Status:
    case Verb::Drain:
        return {0, 0, "", remoteOptions()};
    }
    return {};
}

poptOption row(const char *name, Option option)
{
    const bool bare = option == Option::Json || option == Option::Help;
    const int kind = bare ? POPT_ARG_NONE : POPT_ARG_STRING;
    return {name, '\0', static_cast<unsigned int>(kind), nullptr, static_cast<int>(option), nullptr, nullptr};
}

const poptOption *optionTable()
{
    static const std::array<poptOption, 11> table{
        row("json", Option::Json),
        row("entry", Option::Entry),
        row("token-file", Option::TokenFile),
        row("base", Option::Base),
        row("base-digest", Option::BaseDigest),
        row("change-id", Option::ChangeId),
        row("author", Option::Author),
        row("id", Option::KeyId),
        row("timeout-ms", Option::Timeout),
        row("help", Option::Help),
        POPT_TABLEEND,
    };
    return table.data();
}

std::string nameOf(Option option)
{
    return std::string("--") + optionTable()[static_cast<int>(option) - 1].longName;
}

UsageError wrong(std::string message)
{
    return {.message = std::move(message), .help = false};
}

template<class Number>
std::optional<Number> readNumber(const std::string &text)
{
    Number value{};
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool whole = ec == std::errc() && end == text.data() + text.size();
    return whole ? std::optional(value) : std::nullopt;
}

// Takes options one by one, then judges what they mean together; the first mistake is kept.
class Parser
{
public:
    void take(Option option, std::string value)
    {
        if (has(option)) {
            fail(nameOf(option) + ": may be given only once");
        }
        m_given.push_back(option);
        store(option, std::move(value));
    }

    void fail(std::string message)
    {
        if (!m_problem.has_value()) {
            m_problem = wrong(std::move(message));
        }
    }

    [[nodiscard]] base::Result<Invocation, UsageError> finish(std::vector<std::string> words)
    {
        if (has(Option::Help)) {
            return base::failure(UsageError{.message = "", .help = true});
        }
        const std::size_t count = findVerb(words);
        if (count == 0) {
            fail(words.empty() ? "a command is missing" : words.front() + ": unknown command");
        } else {
            words.erase(words.begin(), words.begin() + static_cast<std::ptrdiff_t>(count));
            m_out.words = std::move(words);
            judge();
        }
        if (m_problem.has_value()) {
            return base::failure(*m_problem);
        }
        return std::move(m_out);
    }

private:
    [[nodiscard]] bool has(Option option) const
    {
        return std::find(m_given.begin(), m_given.end(), option) != m_given.end();
    }

    void store(Option option, std::string value);
    void storeTimeout(const std::string &value);
    void judge();
    void judgeBase();
    [[nodiscard]] std::size_t findVerb(const std::vector<std::string> &words);

    Invocation m_out;
    std::vector<Option> m_given;
    Base m_base;
    std::optional<UsageError> m_problem;
};

void Parser::store(Option option, std::string value)
{
    switch (option) {
    case Option::Json:
        m_out.json = true;
        return;
    case Option::Entry:
        m_out.entry = std::move(value);
        return;
    case Option::TokenFile:
        m_out.tokenFile = std::move(value);
        return;
    case Option::Base:
        if (!readNumber<std::uint64_t>(value).has_value()) {
            fail("--base: must be a version, an integer of at least 0");
        }
        m_base.version = readNumber<std::uint64_t>(value).value_or(0);
        return;
    case Option::BaseDigest:
        m_base.digest = std::move(value);
        return;
    case Option::ChangeId:
        m_out.changeId = std::move(value);
        return;
    case Option::Author:
        m_out.author = std::move(value);
        return;
    case Option::KeyId:
        m_out.keyId = std::move(value);
        return;
    case Option::Timeout:
        storeTimeout(value);
        return;
    case Option::Help:
        return;
    }
}

void Parser::storeTimeout(const std::string &value)
{
    const auto span = readNumber<std::int64_t>(value);
    if (!span.has_value() || *span < 1 || *span > MAX_TIMEOUT_MS) {
        fail("--timeout-ms: must be an integer from 1 to " + std::to_string(MAX_TIMEOUT_MS));
        return;
    }
    m_out.timeout = base::Millis{*span};
}

// Finds the verb in the first words, and tells how many words it takes; 0 for none.
std::size_t Parser::findVerb(const std::vector<std::string> &words)
{
    std::string name;
    for (std::size_t n = 0; n < std::min<std::size_t>(words.size(), 2); ++n) {
        name += n == 0 ? words[n] : " " + words[n];
        if (const auto verb = VERB_NAMES.find(name); verb.has_value()) {
            m_out.verb = *verb;
            return n + 1;
        }
    }
    return 0;
}

void Parser::judge()
{
    const VerbRules rules = rulesOf(m_out.verb);
    const std::string verb(VERB_NAMES.name(m_out.verb));
    for (const Option option : m_given) {
        if (std::find(rules.options.begin(), rules.options.end(), option) == rules.options.end()) {
            fail(nameOf(option) + ": is no option of " + verb);
        }
    }
    if (m_out.words.size() < rules.leastWords || m_out.words.size() > rules.mostWords) {
        fail(verb + ": must be followed by" + (rules.words.empty() ? " options only" : std::string(rules.words)));
    }
    if (m_out.verb == Verb::Show && !m_out.words.empty() && !readNumber<std::uint64_t>(m_out.words[0]).has_value()) {
        fail("show: VERSION must be an integer of at least 0");
    }
    if (!reader::hasForm(m_out.entry, reader::Form::Address)) {
        fail("--entry: must be an address such as 192.0.2.1:8080");
    }
    judgeBase();
}

void Parser::judgeBase()
{
    if (has(Option::Base) != has(Option::BaseDigest)) {
        fail("--base and --base-digest: must be given together");
    }
    if (has(Option::Base)) {
        m_out.base = m_base;
    }
}

using Context = std::unique_ptr<poptContext_s, decltype(&poptFreeContext)>;

std::string takeArgument(poptContext context)
{
    const std::unique_ptr<char, decltype(&std::free)> text(poptGetOptArg(context), &std::free);
    return text == nullptr ? "" : text.get();
}

std::vector<std::string> restOf(poptContext context)
{
    std::vector<std::string> words;
    const char **rest = poptGetArgs(context);
    for (; rest != nullptr && *rest != nullptr; ++rest) {
        words.emplace_back(*rest);
    }
    return words;
}

} // namespace

base::Result<Invocation, UsageError> parseInvocation(const std::vector<std::string> &arguments)
{
    std::vector<const char *> argv{"bamboomoor"};
    for (const std::string &it : arguments) {
        argv.push_back(it.c_str());
    }
    const int argc = static_cast<int>(argv.size());
    argv.push_back(nullptr);
    const Context context(poptGetContext(nullptr, argc, argv.data(), optionTable(), 0), &poptFreeContext);
    Parser parser;
    int rc = poptGetNextOpt(context.get());
    for (; rc > 0; rc = poptGetNextOpt(context.get())) {
        parser.take(static_cast<Option>(rc), takeArgument(context.get()));
    }
    if (rc < -1) {
        parser.fail(std::string(poptBadOption(context.get(), POPT_BADOPTION_NOALIAS)) + ": " + poptStrerror(rc));
    }
    return parser.finish(restOf(context.get()));
}

bool isOperatorWord(std::string_view word) noexcept
{
    return word == "key" || VERB_NAMES.find(word).has_value();
}

std::string usage()
{
    std::string text = "usage:\n";
    for (std::size_t n = 0; n < VERB_NAMES.size(); ++n) {
        const auto verb = static_cast<Verb>(n);
        text += "  bamboomoor ";
        text += VERB_NAMES.name(verb);
        text += rulesOf(verb).words;
        text += '\n';
    }
    text += "options of all commands: --json\n"
            "options of all commands but check: --entry IP:PORT --token-file FILE --timeout-ms N\n"
            "FILE - is the standard input\n"
            "exit status: 0 done, 1 refused, 2 usage, 3 outcome unknown\n";
    return text;
}

} // namespace bamboomoor::operators
