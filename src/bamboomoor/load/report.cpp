/**
 * Counting and printing of a run's measures.
 */
#include "bamboomoor/load/report.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <numeric>

namespace bamboomoor::load
{

namespace
{

using nlohmann::json;

bool attains(const Sample &sample)
{
    if (!sample.whole || sample.firstToken > FIRST_TOKEN_TARGET) {
        return false;
    }
    const std::int64_t sum = std::accumulate(sample.gaps.begin(), sample.gaps.end(), std::int64_t{0});
    return sum <= TOKEN_GAP_TARGET.count * static_cast<std::int64_t>(sample.gaps.size());
}

void addTo(Measures &measures, const Sample &sample)
{
    ++measures.requests;
    ++measures.codes[sample.code];
    ++measures.statuses[sample.status];
    measures.tokens += sample.tokens;
    measures.whole += sample.whole ? 1 : 0;
    measures.attained += attains(sample) ? 1 : 0;
    if (sample.tokens > 0) {
        measures.firstTokens.push_back(sample.firstToken.count);
    }
    measures.gaps.insert(measures.gaps.end(), sample.gaps.begin(), sample.gaps.end());
}

json percentilesOf(std::vector<std::int64_t> values)
{
    return {{"p50", percentile(values, 50)}, {"p95", percentile(values, 95)}, {"p99", percentile(values, 99)}};
}

json measuresToJson(const Measures &measures)
{
    json statuses = json::object();
    for (const auto &[status, count] : measures.statuses) {
        statuses[std::to_string(status)] = count;
    }
    return {{"requests", measures.requests}, {"whole", measures.whole}, {"attained", measures.attained},
        {"tokens", measures.tokens}, {"codes", measures.codes}, {"statuses", statuses},
        {"first_token_ms", percentilesOf(measures.firstTokens)}, {"token_gap_ms", percentilesOf(measures.gaps)}};
}

std::string lineOf(const std::string &name, const Measures &measures)
{
    const json document = measuresToJson(measures);
    const auto times = [&document](const char *field) {
        const json &it = document[field];
        return it["p50"].dump() + "/" + it["p95"].dump() + "/" + it["p99"].dump();
    };
    return name + ": requests " + std::to_string(measures.requests) + ", whole " + std::to_string(measures.whole)
        + ", attained " + std::to_string(measures.attained) + ", tokens " + std::to_string(measures.tokens)
        + ", first token p50/p95/p99 " + times("first_token_ms") + " ms, gap " + times("token_gap_ms") + " ms, codes "
        + document["codes"].dump() + ", statuses " + document["statuses"].dump() + "\n";
}

} // namespace

std::int64_t percentile(std::vector<std::int64_t> &values, double percent)
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    const double rank = std::ceil(percent * static_cast<double>(values.size()) / 100.0);
    return values[static_cast<std::size_t>(std::max(rank, 1.0)) - 1];
}

void Report::add(const Sample &sample)
{
    addTo(m_all, sample);
    addTo(m_organisations[sample.organisation], sample);
}

json Report::toJson() const
{
    json organisations = json::object();
    for (const auto &[name, measures] : m_organisations) {
        organisations[name] = measuresToJson(measures);
    }
    return {{"all", measuresToJson(m_all)}, {"organisations", organisations}, {"not_sent", m_notSent}};
}

std::string Report::toText() const
{
    std::string text = lineOf("all", m_all);
    for (const auto &[name, measures] : m_organisations) {
        text += lineOf(name, measures);
    }
    return text + "not sent: " + std::to_string(m_notSent) + "\n";
}

} // namespace bamboomoor::load
