/**
 * Echo and log of a stand-in service.
 */
#include "fakes/service.hpp"

namespace bamboomoor::fakes
{

namespace
{

constexpr std::size_t MAX_RUNS = 20'000;

} // namespace

Service::Service(Surroundings &surroundings, unsigned index)
    : Upstream(surroundings, index)
    , m_name(surroundings.options.serviceNames[index % surroundings.options.serviceNames.size()])
{
}

void Service::serve(const http::Request &request, const std::shared_ptr<http::Responder> &responder, FaultKind fault)
{
    std::int64_t count = 0;
    {
        const absl::MutexLock lock(&m_serviceMutex);
        count = ++m_count;
        m_runs.push_back({std::string(request.header("X-Request-Id")), request.method, request.path, request.body});
        if (m_runs.size() > MAX_RUNS) {
            m_runs.pop_front();
        }
    }
    const nlohmann::json document{
        {"path", request.path}, {"method", request.method}, {"body", request.body}, {"count", count}};
    const auto text = document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    answerWithFault(responder, text, fault);
}

void Service::describe(nlohmann::json &document) const
{
    document["kind"] = "service";
    document["service"] = m_name;
    document["checks_fencing"] = false;
    document["load"] = {{"running", 0}, {"queued", 0}, {"waiting_tokens", 0}};
}

void Service::report(nlohmann::json &document) const
{
    const absl::MutexLock lock(&m_serviceMutex);
    document["kind"] = "service";
    document["service"] = m_name;
    document["runs"] = m_count;
}

nlohmann::json Service::runs() const
{
    const absl::MutexLock lock(&m_serviceMutex);
    auto list = nlohmann::json::array();
    for (const Run &it : m_runs) {
        list.push_back({{"request_id", it.requestId}, {"method", it.method}, {"path", it.path}, {"body", it.body}});
    }
    return {{"runs", list}};
}

void Service::restart()
{
    const absl::MutexLock lock(&m_serviceMutex);
    m_runs.clear();
    m_count = 0;
}

} // namespace bamboomoor::fakes
