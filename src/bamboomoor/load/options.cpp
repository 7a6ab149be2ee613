/**
 * Arguments of `bamboomoor load`, by popt, and its key file.
 */
#include "bamboomoor/load/options.hpp"

#include <popt.h>

#include <array>
#include <cstdlib>
#include <fstream>
#include <memory>
#include <sstream>

namespace bamboomoor::load
{

namespace
{

// What popt fills in; a text stays null unless given.
struct Arguments {
    char *entries = nullptr;
    char *keyFile = nullptr;
    char *models = nullptr;
    double rate = 1.0;
    double seconds = 10.0;
    int maxTokens = 16;
    int promptWords = 8;
    int maxOpen = 10'000;
    int timeoutMs = 60'000;
    int seed = 1;
    int stream = 0;
    int keepAlive = 0;
    int numberedWords = 0;
    int json = 0;
};

base::Result<void, OptionsError> fill(int argc, const char **argv, Arguments &it)
{
    const std::array<poptOption, 16> table{{
        {"entry", 0, POPT_ARG_STRING, &it.entries, 0, "entries, in turn", "IP:PORT,..."},
        {"key-file", 0, POPT_ARG_STRING, &it.keyFile, 0, "lines of ORGANISATION KEY [WEIGHT]", "FILE"},
        {"model", 0, POPT_ARG_STRING, &it.models, 0, "models, at random", "NAME,..."},
        {"rate", 0, POPT_ARG_DOUBLE, &it.rate, 0, "requests a second", "NUMBER"},
        {"seconds", 0, POPT_ARG_DOUBLE, &it.seconds, 0, "time over which requests are sent", "NUMBER"},
        {"max-tokens", 0, POPT_ARG_INT, &it.maxTokens, 0, "tokens to generate", "N"},
        {"prompt-words", 0, POPT_ARG_INT, &it.promptWords, 0, "words of a prompt", "N"},
        {"max-open", 0, POPT_ARG_INT, &it.maxOpen, 0, "most requests without an answer", "N"},
        {"timeout-ms", 0, POPT_ARG_INT, &it.timeoutMs, 0, "longest time of a request", "MS"},
        {"seed", 0, POPT_ARG_INT, &it.seed, 0, "seed of the schedule", "N"},
        {"stream", 0, POPT_ARG_NONE, &it.stream, 0, "ask for streams", nullptr},
        {"keep-alive", 0, POPT_ARG_NONE, &it.keepAlive, 0, "use connections again", nullptr},
        {"numbered-words", 0, POPT_ARG_NONE, &it.numberedWords, 0, "check the words of stand-in engines", nullptr},
        {"json", 0, POPT_ARG_NONE, &it.json, 0, "report as JSON", nullptr},
        POPT_AUTOHELP POPT_TABLEEND,
    }};
    const std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(
        poptGetContext("bamboomoor load", argc, argv, table.data(), 0), &poptFreeContext);
    const int code = poptGetNextOpt(context.get());
    if (code < -1) {
        return base::failure(OptionsError{std::string(poptBadOption(context.get(), 0)) + ": " + poptStrerror(code)});
    }
    if (const char *stray = poptPeekArg(context.get())) {
        return base::failure(OptionsError{std::string("unknown argument ") + stray});
    }
    return base::success();
}

// Takes over a text that popt allocated.
std::string takeText(char *text)
{
    std::string copy = text == nullptr ? "" : text;
    std::free(text);
    return copy;
}

std::vector<std::string> split(const std::string &text)
{
    std::vector<std::string> parts;
    std::istringstream stream(text);
    for (std::string part; std::getline(stream, part, ',');) {
        if (!part.empty()) {
            parts.push_back(part);
        }
    }
    return parts;
}

} // namespace

base::Result<std::vector<Caller>, OptionsError> parseCallers(const std::string &text)
{
    std::vector<Caller> callers;
    std::istringstream lines(text);
    int number = 0;
    for (std::string line; std::getline(lines, line);) {
        ++number;
        std::istringstream fields(line);
        Caller caller;
        if (!(fields >> caller.organisation) || caller.organisation.starts_with('#')) {
            continue;
        }
        const bool keyed = static_cast<bool>(fields >> caller.key);
        if (std::string weight; fields >> weight) {
            caller.weight = std::strtod(weight.c_str(), nullptr);
        }
        if (!keyed || !(caller.weight > 0)) {
            return base::failure(
                OptionsError{"key file, line " + std::to_string(number) + ": ORGANISATION KEY [WEIGHT]"});
        }
        callers.push_back(caller);
    }
    return callers;
}

base::Result<LoadOptions, OptionsError> parseOptions(int argc, const char **argv)
{
    Arguments arguments;
    const auto filled = fill(argc, argv, arguments);
    LoadOptions options;
    options.entries = split(takeText(arguments.entries));
    options.models = split(takeText(arguments.models));
    const std::string keyFile = takeText(arguments.keyFile);
    if (filled.has_error()) {
        return base::failure(filled.error());
    }
    std::ifstream file(keyFile);
    const std::string keys{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
    auto callers = parseCallers(keys);
    if (callers.has_error()) {
        return base::failure(callers.error());
    }
    options.callers = std::move(callers.value());
    if (options.entries.empty() || options.callers.empty() || options.models.empty()) {
        return base::failure(OptionsError{"--entry, --key-file with at least one key, and --model are needed"});
    }
    if (!(arguments.rate > 0) || !(arguments.seconds > 0) || arguments.maxTokens < 1 || arguments.maxOpen < 1) {
        return base::failure(OptionsError{"--rate, --seconds, --max-tokens and --max-open are greater than 0"});
    }
    options.rate = arguments.rate;
    options.duration = {static_cast<std::int64_t>(arguments.seconds * 1'000)};
    options.maxTokens = arguments.maxTokens;
    options.promptWords = arguments.promptWords;
    options.maxOpen = static_cast<std::size_t>(arguments.maxOpen);
    options.timeout = {arguments.timeoutMs};
    options.seed = static_cast<std::uint64_t>(arguments.seed);
    options.stream = arguments.stream != 0;
    options.keepAlive = arguments.keepAlive != 0;
    options.numberedWords = arguments.numberedWords != 0;
    options.json = arguments.json != 0;
    return options;
}

} // namespace bamboomoor::load
