/**
 * The run itself: requests sent on schedule, answers timed as they arrive.
 */
#include "bamboomoor/load/load.hpp"

#include "bamboomoor/http/client.hpp"
#include "bamboomoor/http/sse.hpp"
#include "bamboomoor/load/schedule.hpp"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdio>
#include <memory>
#include <thread>
#include <utility>

namespace bamboomoor::load
{

namespace
{

using nlohmann::json;

// Collects the samples of all requests.
class Results
{
public:
    void begin()
    {
        const absl::MutexLock lock(&m_mutex);
        ++m_open;
    }

    void end(const Sample &sample)
    {
        const absl::MutexLock lock(&m_mutex);
        --m_open;
        m_report.add(sample);
    }

    void notSent()
    {
        const absl::MutexLock lock(&m_mutex);
        m_report.addNotSent();
    }

    [[nodiscard]] std::size_t open()
    {
        const absl::MutexLock lock(&m_mutex);
        return m_open;
    }

    [[nodiscard]] Report awaitAll()
    {
        const absl::MutexLock lock(&m_mutex);
        m_mutex.Await(absl::Condition(this, &Results::isIdle));
        return m_report;
    }

private:
    [[nodiscard]] bool isIdle() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex)
    {
        return m_open == 0;
    }

    absl::Mutex m_mutex;
    std::size_t m_open ABSL_GUARDED_BY(m_mutex) = 0;
    Report m_report ABSL_GUARDED_BY(m_mutex);
};

// Times one answer.
class Answer final : public http::Listener
{
public:
    Answer(const LoadOptions &options, std::string organisation, Results &results)
        : m_options(options)
        , m_results(results)
        , m_started(m_clock.now())
    {
        m_sample.organisation = std::move(organisation);
    }

    bool onHead(int status, http::Headers) override
    {
        m_sample.status = status;
        return true;
    }

    bool onData(std::string_view bytes) override
    {
        if (!m_options.stream || m_sample.status != 200) {
            m_body += bytes;
            return true;
        }
        for (const std::string &it : m_parser.feed(bytes)) {
            readEvent(it);
        }
        return true;
    }

    void onEnd(http::Ending ending) override
    {
        m_sample.total = m_clock.now() - m_started;
        if (ending.kind != http::EndKind::Complete) {
            fail(std::string(http::END_KIND_NAMES.name(ending.kind)));
        } else if (m_sample.status != 200 || !m_options.stream) {
            readWhole();
        } else if (!m_done) {
            fail("no_end_of_stream");
        }
        m_sample.whole = m_sample.code.empty();
        m_sample.code = m_sample.whole ? "ok" : m_sample.code;
        m_results.end(m_sample);
    }

private:
    // The first reason counts.
    void fail(const std::string &code)
    {
        m_sample.code = m_sample.code.empty() ? code : m_sample.code;
    }

    void noteToken()
    {
        const base::Millis now = m_clock.now();
        if (m_sample.tokens++ == 0) {
            m_sample.firstToken = now - m_started;
        } else {
            m_sample.gaps.push_back((now - m_lastToken).count);
        }
        m_lastToken = now;
    }

    void readEvent(const std::string &data)
    {
        if (data == http::SSE_DONE) {
            m_done = true;
            return;
        }
        const json document = json::parse(data, nullptr, false);
        if (!document.is_object()) {
            fail("unreadable_event");
            return;
        }
        if (document.contains("error")) {
            fail(errorCode(document));
        }
        for (const json &it : document.value("choices", json::array())) {
            const std::string word = it.value("delta", json::object()).value("content", "");
            if (!word.empty()) {
                checkWord(word);
                noteToken();
            }
        }
    }

    // The form of a word is wNUMBER-SEED, with one seed in an answer.
    void checkWord(const std::string &word)
    {
        const std::size_t dash = word.find('-');
        if (!m_options.numberedWords || dash == std::string::npos) {
            return;
        }
        const std::string seed = word.substr(dash);
        if (word.substr(0, dash) != "w" + std::to_string(m_sample.tokens) || (!m_seed.empty() && seed != m_seed)) {
            fail("words_out_of_order");
        }
        m_seed = seed;
    }

    static std::string errorCode(const json &document)
    {
        const json error = document.value("error", json::object());
        return error.is_object() ? error.value("code", "unnamed_error") : "unnamed_error";
    }

    void readWhole()
    {
        const json document = json::parse(m_body, nullptr, false);
        if (!document.is_object()) {
            fail(m_sample.status == 200 ? "unreadable_answer" : "status_" + std::to_string(m_sample.status));
        } else if (m_sample.status != 200) {
            fail(errorCode(document));
        } else {
            m_sample.tokens = document.value("usage", json::object()).value("completion_tokens", std::int64_t{0});
            m_sample.firstToken = m_sample.total;
        }
    }

    const LoadOptions &m_options;
    Results &m_results;
    const base::SteadyClock m_clock;
    const base::Millis m_started;
    base::Millis m_lastToken;
    Sample m_sample;
    http::SseParser m_parser;
    std::string m_body;
    std::string m_seed;
    bool m_done = false;
};

http::Call makeCall(const LoadOptions &options, const Arrival &arrival, std::size_t number)
{
    std::string prompt = "request " + std::to_string(options.seed) + "-" + std::to_string(number);
    for (std::int64_t n = 2; n < options.promptWords; ++n) {
        prompt += " word";
    }
    const json body{{"model", options.models[arrival.model]},
        {"messages", json::array({{{"role", "user"}, {"content", prompt}}})}, {"max_tokens", options.maxTokens},
        {"stream", options.stream}};
    http::Call call;
    call.method = "POST";
    call.url = "http://" + options.entries[arrival.entry] + "/v1/chat/completions";
    call.headers = {
        {"Authorization", "Bearer " + options.callers[arrival.caller].key}, {"Content-Type", "application/json"}};
    call.body = body.dump();
    call.firstByteTimeout = options.timeout;
    call.progressTimeout = options.timeout;
    call.totalTimeout = options.timeout;
    call.freshConnection = !options.keepAlive;
    return call;
}

} // namespace

Report measure(const LoadOptions &options)
{
    Results results;
    http::Client client;
    const auto start = std::chrono::steady_clock::now();
    std::size_t number = 0;
    for (const Arrival &it : makeSchedule(options)) {
        std::this_thread::sleep_until(start + std::chrono::milliseconds(it.at.count));
        ++number;
        if (results.open() >= options.maxOpen) {
            results.notSent();
            continue;
        }
        results.begin();
        auto answer = std::make_shared<Answer>(options, options.callers[it.caller].organisation, results);
        client.start(makeCall(options, it, number), answer);
    }
    Report report = results.awaitAll();
    client.stop();
    return report;
}

int runLoad(int argc, const char **argv)
{
    const auto options = parseOptions(argc, argv);
    if (options.has_error()) {
        std::fprintf(stderr, "bamboomoor load: %s\n", options.error().message.c_str());
        return 2;
    }
    const Report report = measure(options.value());
    const std::string text = options.value().json ? report.toJson().dump() + "\n" : report.toText();
    std::fputs(text.c_str(), stdout);
    return 0;
}

} // namespace bamboomoor::load
