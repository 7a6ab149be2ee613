/**
 * Reading of requests for generations and of the chunks of their answers.
 */
#include "bamboomoor/entry/generation.hpp"

#include "bamboomoor/base/json.hpp"

#include <algorithm>
#include <functional>

namespace bamboomoor::entry
{

namespace
{

constexpr std::size_t PREFIX_BYTES = 256;
// Tokens; a larger count of an answer is an error of its upstream.
constexpr std::uint64_t MAX_USAGE = 1'000'000'000'000;

using Json = nlohmann::json;

/** @brief Appends every text of a prompt, messages with parts included. */
void collectText(const Json &json, std::string &text)
{
    if (json.is_string()) {
        text += json.get_ref<const std::string &>();
        return;
    }
    if (json.is_array() || json.is_object()) {
        for (const Json &it : json) {
            collectText(it, text);
        }
    }
}

base::Result<std::optional<std::int64_t>, GenerationError> readCount(
    const Json &body, const char *name, std::int64_t least)
{
    const auto it = body.find(name);
    if (it == body.end() || it->is_null()) {
        return std::optional<std::int64_t>();
    }
    if (!it->is_number_integer() || it->get<std::int64_t>() < least || it->get<std::int64_t>() > INT32_MAX) {
        return base::failure(
            GenerationError{std::string(name) + ": a whole number from " + std::to_string(least) + " is allowed"});
    }
    return std::optional<std::int64_t>(it->get<std::int64_t>());
}

bool readFlag(const Json &body, const char *name)
{
    const auto it = body.find(name);
    return it != body.end() && it->is_boolean() && it->get<bool>();
}

std::string readText(const Json &body, const char *name)
{
    const auto it = body.find(name);
    return it != body.end() && it->is_string() ? it->get<std::string>() : std::string();
}

std::optional<std::int64_t> usageOf(const Json &usage, const char *name)
{
    const auto it = usage.find(name);
    if (it == usage.end() || !it->is_number_unsigned() || it->get<std::uint64_t>() > MAX_USAGE) {
        return std::nullopt;
    }
    return it->get<std::int64_t>();
}

void readChoice(const Json &choice, Progress &progress)
{
    if (!choice.is_object()) {
        return;
    }
    std::string text = readText(choice, "text");
    for (const char *name : {"delta", "message"}) {
        const auto it = choice.find(name);
        if (it != choice.end() && it->is_object()) {
            text += readText(*it, "content");
        }
    }
    progress.tokens += text.empty() ? 0 : 1;
    progress.finished = progress.finished || !readText(choice, "finish_reason").empty();
}

base::Result<void, GenerationError> readPrompt(const Json &body, Generation &generation)
{
    const auto messages = body.find("messages");
    const auto prompt = body.find("prompt");
    if (messages == body.end() && prompt == body.end()) {
        return base::failure(GenerationError{"messages or prompt: one of them is needed"});
    }
    if (messages != body.end() && !messages->is_array()) {
        return base::failure(GenerationError{"messages: a list is allowed"});
    }
    std::string text;
    collectText(messages != body.end() ? *messages : *prompt, text);
    generation.promptTokens = static_cast<std::int64_t>(text.size()) / BYTES_PER_TOKEN + 1;
    generation.prefixHash = std::hash<std::string_view>()(std::string_view(text).substr(0, PREFIX_BYTES));
    return base::success();
}

} // namespace

base::Result<Generation, GenerationError> parseGeneration(std::string_view body)
{
    Generation generation;
    generation.body = base::parseJson(body);
    const Json &json = generation.body;
    if (!json.is_object()) {
        return base::failure(GenerationError{"the body: a JSON object is allowed"});
    }
    generation.model = readText(json, "model");
    if (generation.model.empty()) {
        return base::failure(GenerationError{"model: a name is needed"});
    }
    generation.version = readText(json, "version");
    generation.stream = readFlag(json, "stream");
    const auto options = json.find("stream_options");
    generation.includeUsage = options != json.end() && options->is_object() && readFlag(*options, "include_usage");
    for (const char *name : {"max_completion_tokens", "max_tokens"}) {
        BOOST_OUTCOME_TRY(count, readCount(json, name, 1));
        generation.maxTokens = count ? count : generation.maxTokens;
    }
    BOOST_OUTCOME_TRY(priority, readCount(json, "priority", 0));
    generation.priority = priority.value_or(0);
    BOOST_OUTCOME_TRY(readPrompt(json, generation));
    return generation;
}

std::optional<Progress> readProgress(std::string_view data)
{
    const Json json = base::parseJson(data);
    if (!json.is_object()) {
        return std::nullopt;
    }
    Progress progress;
    const auto choices = json.find("choices");
    const auto usage = json.find("usage");
    const bool hasUsage = usage != json.end() && usage->is_object();
    if (!hasUsage && (choices == json.end() || !choices->is_array())) {
        return std::nullopt;
    }
    if (choices != json.end() && choices->is_array()) {
        std::for_each(choices->begin(), choices->end(), [&progress](const Json &it) {
            readChoice(it, progress);
        });
    }
    if (hasUsage) {
        progress.promptTokens = usageOf(*usage, "prompt_tokens");
        progress.completionTokens = usageOf(*usage, "completion_tokens");
    }
    return progress;
}

} // namespace bamboomoor::entry
