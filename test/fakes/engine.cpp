/**
 * Generations and orders of a stand-in engine.
 */
#include "fakes/engine.hpp"

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace bamboomoor::fakes
{

namespace
{

constexpr std::int64_t DEFAULT_MAX_TOKENS = 16;

using nlohmann::json;

bool checksFencing(FencingMode mode, unsigned index) noexcept
{
    return mode == FencingMode::Yes || (mode == FencingMode::Mixed && index % 2 == 0);
}

std::vector<Accelerator> makeAccelerators(const FleetOptions &options)
{
    std::vector<Accelerator> accelerators;
    for (unsigned n = 0; n < options.accelerators; ++n) {
        accelerators.push_back({"acc" + std::to_string(n), options.memoryMib, {}});
    }
    std::size_t turn = 0;
    for (const InitialModel &it : options.models) {
        if (!accelerators.empty()) {
            accelerators[turn++ % accelerators.size()].residents.push_back({it.name, "", "", it.memoryMib, false});
        }
    }
    return accelerators;
}

// The text of a message's content, which is a text or a list of parts.
std::string textOf(const json &content)
{
    if (content.is_string()) {
        return content.get<std::string>();
    }
    return content.is_null() ? std::string() : content.dump();
}

std::int64_t countWords(const std::string &text)
{
    std::int64_t count = 0;
    bool inWord = false;
    for (const char it : text) {
        const bool space = it == ' ' || it == '\n' || it == '\t';
        count += !space && !inWord ? 1 : 0;
        inWord = !space;
    }
    return count;
}

void readPrompt(const json &document, Generation &generation)
{
    std::string last;
    if (generation.chat) {
        for (const json &it : document.value("messages", json::array())) {
            last = it.is_object() ? textOf(it.value("content", json())) : std::string();
            generation.promptTokens += countWords(last);
        }
    } else {
        last = textOf(document.value("prompt", json()));
        generation.promptTokens = countWords(last);
    }
    generation.seed = seedOf(last);
}

json usageOf(const Generation &generation)
{
    const std::int64_t words = generation.next - generation.first;
    return {{"prompt_tokens", generation.promptTokens}, {"completion_tokens", words},
        {"total_tokens", generation.promptTokens + words}};
}

std::string event(const json &document)
{
    return "data: " + document.dump() + "\n\n";
}

json chunkOf(const Generation &generation, const std::string &word, const json &finishReason)
{
    json choice{{"index", 0}, {"finish_reason", finishReason}};
    if (generation.chat) {
        choice["delta"] = word.empty() ? json::object() : json{{"content", word}};
    } else {
        choice["text"] = word;
    }
    return {{"id", "gen-" + generation.seed}, {"object", generation.chat ? "chat.completion.chunk" : "text_completion"},
        {"model", generation.model}, {"choices", json::array({choice})}};
}

json wholeOf(const Generation &generation)
{
    json choice{{"index", 0}, {"finish_reason", "length"}};
    if (generation.chat) {
        choice["message"] = {{"role", "assistant"}, {"content", generation.text}};
    } else {
        choice["text"] = generation.text;
    }
    return {{"id", "gen-" + generation.seed}, {"object", generation.chat ? "chat.completion" : "text_completion"},
        {"model", generation.model}, {"choices", json::array({choice})}, {"usage", usageOf(generation)}};
}

Order orderOf(const json &document)
{
    Order order;
    order.id = document.at("order_id");
    order.fencing = document.value("fencing", std::int64_t{0});
    order.load = document.at("kind") == "load";
    order.accelerator = document.at("accelerator").get<std::string>();
    order.resident = {document.at("model").get<std::string>(), document.value("adapter", ""),
        document.value("version", ""), document.value("memory_mib", std::int64_t{0}), false};
    return order;
}

} // namespace

std::string seedOf(const std::string &prompt)
{
    std::uint32_t hash = 2'166'136'261U;
    for (const char it : prompt) {
        hash = (hash ^ static_cast<unsigned char>(it)) * 16'777'619U;
    }
    return std::to_string(hash % 1'000'000U);
}

std::string wordAt(const std::string &seed, std::int64_t n)
{
    return "w" + std::to_string(n) + "-" + seed + " ";
}

Engine::Engine(Surroundings &surroundings, unsigned index)
    : Upstream(surroundings, index)
    , m_checksFencing(checksFencing(surroundings.options.checksFencing, index))
    , m_ledger(makeAccelerators(surroundings.options), m_checksFencing)
{
}

void Engine::serve(const http::Request &request, const std::shared_ptr<http::Responder> &responder, FaultKind fault)
{
    const bool post = request.method == "POST";
    if (post && (request.path == "/v1/chat/completions" || request.path == "/v1/completions")) {
        complete(request, responder, fault);
    } else if (post && request.path == "/order") {
        takeOrder(request, responder);
    } else {
        answer(responder, 404, {{"error", {{"code", "unknown_path"}, {"message", request.path}}}});
    }
}

void Engine::complete(const http::Request &request, const std::shared_ptr<http::Responder> &responder, FaultKind fault)
{
    const json document = json::parse(request.body, nullptr, false);
    auto generation = std::make_shared<Generation>();
    try {
        generation->model = document.at("model").get<std::string>();
        generation->chat = request.path == "/v1/chat/completions";
        generation->stream = document.value("stream", false);
        generation->first = document.value("resume_from", std::int64_t{0});
        generation->next = generation->first;
        generation->limit = document.value("max_tokens", DEFAULT_MAX_TOKENS);
        readPrompt(document, *generation);
    } catch (const json::exception &it) {
        answer(responder, 400, {{"error", {{"code", "malformed_request"}, {"message", it.what()}}}});
        return;
    }
    generation->responder = responder;
    generation->fault = fault;
    const std::string &deadlyText = surroundings().options.deadlyText;
    generation->deadly = !deadlyText.empty() && request.body.find(deadlyText) != std::string::npos;
    bool resident = false;
    {
        const absl::MutexLock lock(&m_engineMutex);
        resident = m_ledger.serves(generation->model);
        m_notResident += resident ? 0 : 1;
        m_resumed += resident && generation->first > 0 ? 1 : 0;
    }
    if (resident) {
        enqueue(std::move(generation));
    } else {
        const json error{{"error", {{"code", "model_not_resident"}, {"message", generation->model}}}};
        responder->respond(
            {404, {{"Content-Type", "application/json"}, {"X-Request-Id", std::string(request.header("X-Request-Id"))}},
                error.dump()});
    }
}

void Engine::enqueue(GenerationPointer generation)
{
    {
        const absl::MutexLock lock(&m_engineMutex);
        if (m_running >= static_cast<std::int64_t>(surroundings().options.slots)) {
            m_waiting.push_back(std::move(generation));
            return;
        }
        ++m_running;
    }
    planStep(generation);
}

void Engine::planStep(const GenerationPointer &generation)
{
    surroundings().timer.after(surroundings().options.tokenTime, [self = shared_from_this(), this, generation] {
        step(generation);
    });
}

void Engine::step(const GenerationPointer &generation)
{
    if (generation->deadly) {
        std::_Exit(EXIT_FAILURE);
    }
    if (generation->responder->gone()) {
        leaveSlot(false, generation->next - generation->first);
        return;
    }
    if (generation->stream && generation->next == generation->first) {
        generation->responder->begin(200, {{"Content-Type", "text/event-stream"}});
    }
    if (generation->stream && breakOff(generation)) {
        leaveSlot(false, generation->next - generation->first);
        return;
    }
    if (generation->next < generation->limit) {
        emitWord(generation);
        planStep(generation);
        return;
    }
    finishAnswer(generation);
    leaveSlot(true, generation->next - generation->first);
}

void Engine::emitWord(const GenerationPointer &generation)
{
    const std::string word = wordAt(generation->seed, generation->next);
    ++generation->next;
    if (generation->stream) {
        generation->responder->write(event(chunkOf(*generation, word, nullptr)));
    } else {
        generation->text += word;
    }
}

// A stream's fault shows after half of its words.
bool Engine::breakOff(const GenerationPointer &generation)
{
    const bool due = generation->next - generation->first >= (generation->limit - generation->first) / 2;
    if (generation->fault == FaultKind::None || !due) {
        return false;
    }
    const auto &responder = generation->responder;
    switch (generation->fault) {
    case FaultKind::Truncate:
        responder->end();
        break;
    case FaultKind::SilentDuring:
        keepSilent(responder);
        break;
    case FaultKind::Garbage:
        responder->write(std::string("data: {\xff\x00garbage\n\n", 18));
        responder->end();
        break;
    default:
        responder->abort();
        break;
    }
    return true;
}

void Engine::finishAnswer(const GenerationPointer &generation)
{
    const auto &responder = generation->responder;
    if (!generation->stream) {
        answerWithFault(responder, wholeOf(*generation).dump(), generation->fault);
        return;
    }
    json last = chunkOf(*generation, "", "length");
    json usage = chunkOf(*generation, "", nullptr);
    usage["choices"] = json::array();
    usage["usage"] = usageOf(*generation);
    responder->write(event(last) + event(usage) + "data: [DONE]\n\n");
    responder->end();
}

void Engine::leaveSlot(bool completed, std::int64_t words)
{
    GenerationPointer next;
    {
        const absl::MutexLock lock(&m_engineMutex);
        m_completed += completed ? 1 : 0;
        m_cancelled += completed ? 0 : 1;
        m_words += words;
        if (m_waiting.empty()) {
            --m_running;
            return;
        }
        next = std::move(m_waiting.front());
        m_waiting.pop_front();
    }
    planStep(next);
}

void Engine::takeOrder(const http::Request &request, const std::shared_ptr<http::Responder> &responder)
{
    Order order;
    try {
        order = orderOf(json::parse(request.body));
    } catch (const json::exception &it) {
        answer(responder, 400, {{"error", {{"code", "malformed_request"}, {"message", it.what()}}}});
        return;
    }
    if (takeFault(&Faults::lose)) {
        keepSilent(responder);
        return;
    }
    OrderOutcome outcome;
    {
        const absl::MutexLock lock(&m_engineMutex);
        outcome = m_ledger.begin(order);
    }
    const bool withheld = takeFault(&Faults::withhold);
    if (withheld) {
        keepSilent(responder);
    }
    if (!outcome.done && withheld) {
        return;
    }
    if (!outcome.done) {
        const bool repeated = outcome.reason == "repeated";
        answer(
            responder, repeated ? 200 : 409, {{"outcome", repeated ? "done" : "refused"}, {"reason", outcome.reason}});
        return;
    }
    const base::Millis delay = surroundings().options.orderTime;
    surroundings().timer.after(delay, [self = shared_from_this(), this, order, responder, withheld] {
        {
            const absl::MutexLock lock(&m_engineMutex);
            m_ledger.finish(order);
        }
        if (!withheld) {
            answer(responder, 200, {{"outcome", "done"}});
        }
    });
}

void Engine::describe(json &document) const
{
    const absl::MutexLock lock(&m_engineMutex);
    std::int64_t waitingTokens = 0;
    for (const GenerationPointer &it : m_waiting) {
        waitingTokens += it->promptTokens;
    }
    document["kind"] = "model_worker";
    document["accelerators"] = m_ledger.accelerators();
    document["checks_fencing"] = m_checksFencing;
    document["load"] = {{"running", m_running}, {"queued", m_waiting.size()}, {"waiting_tokens", waitingTokens}};
    document["orders"] = m_ledger.outcomes();
}

void Engine::report(json &document) const
{
    const absl::MutexLock lock(&m_engineMutex);
    const OrderCounts &orders = m_ledger.counts();
    document["kind"] = "model_worker";
    document["accelerators"] = m_ledger.accelerators();
    document["running"] = m_running;
    document["completed"] = m_completed;
    document["cancelled"] = m_cancelled;
    document["tokens"] = m_words;
    document["not_resident"] = m_notResident;
    document["resumed"] = m_resumed;
    document["over_committed"] = orders.overCommitted;
    document["orders"] = {{"done", orders.done}, {"refused", orders.refused}, {"repeated", orders.repeated},
        {"old_fencing", orders.oldFencing}};
}

json Engine::runs() const
{
    return {{"runs", json::array()}};
}

void Engine::restart()
{
    const absl::MutexLock lock(&m_engineMutex);
    m_ledger.clear();
}

} // namespace bamboomoor::fakes
