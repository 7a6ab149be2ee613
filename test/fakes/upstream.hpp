/**
 * What stand-in engines and services share: their port, their announcements, their faults and what they report.
 */
#pragma once

#include "bamboomoor/http/client.hpp"
#include "bamboomoor/http/server.hpp"
#include "fakes/faults.hpp"
#include "fakes/options.hpp"
#include "fakes/timer.hpp"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <memory>
#include <string>

namespace bamboomoor::fakes
{

/** @brief What all stand-ins of a process use. */
struct Surroundings {
    FleetOptions options;
    Timer &timer;
    http::Client &client;
};

/** @brief One stand-in on its own port; held by shared_ptr because planned work refers to it. */
class Upstream : public http::Handler, public std::enable_shared_from_this<Upstream>
{
public:
    /**
     * @brief Makes a stand-in that does not listen yet.
     * @param surroundings What it shares with others; outlives it.
     * @param index Its place among the stand-ins of the process.
     */
    Upstream(Surroundings &surroundings, unsigned index);

    /**
     * @brief Listens and begins to announce itself.
     * @return The address, or why it cannot listen.
     */
    [[nodiscard]] base::Result<std::string, http::ServerError> start();

    /** @brief Announces at once, and from now on, that it is leaving. */
    void leave();

    /**
     * @brief Answers what runs and closes the port.
     * @param limit The longest wait, in milliseconds.
     * @return True when everything was answered.
     */
    bool stop(base::Millis limit);

    void handle(http::Request request, std::shared_ptr<http::Responder> responder) final;

    /**
     * @brief Reports what it has seen.
     * @return A JSON object.
     */
    [[nodiscard]] nlohmann::json stats() const;

protected:
    /**
     * @brief Answers a request that is not for the stand-in's own control.
     * @param request The request.
     * @param responder The way back.
     * @param fault How the answer is to go wrong.
     */
    virtual void serve(
        const http::Request &request, const std::shared_ptr<http::Responder> &responder, FaultKind fault) = 0;

    /**
     * @brief Adds the fields of its kind to an announcement.
     * @param document The announcement.
     */
    virtual void describe(nlohmann::json &document) const = 0;

    /**
     * @brief Adds the fields of its kind to a report.
     * @param document The report.
     */
    virtual void report(nlohmann::json &document) const = 0;

    /**
     * @brief Lists its runs.
     * @return A JSON object.
     */
    [[nodiscard]] virtual nlohmann::json runs() const = 0;

    /** @brief Forgets its state as a restart does. */
    virtual void restart() = 0;

    /**
     * @brief Answers with a JSON document.
     * @param responder The way back.
     * @param status The HTTP status.
     * @param document The document.
     */
    static void answer(const std::shared_ptr<http::Responder> &responder, int status, const nlohmann::json &document);

    /**
     * @brief Answers with a whole text, or with the part of it that a fault leaves.
     * @param responder The way back.
     * @param body The text, JSON.
     * @param fault The fault.
     */
    void answerWithFault(const std::shared_ptr<http::Responder> &responder, const std::string &body, FaultKind fault);

    /**
     * @brief Keeps a responder unanswered until its caller disconnects.
     * @param responder The way back.
     */
    static void keepSilent(const std::shared_ptr<http::Responder> &responder);

    /**
     * @brief Takes one fault of an order.
     * @param which The fault's counter.
     * @return True when there was one.
     */
    [[nodiscard]] bool takeFault(std::int64_t Faults::*which);

    /**
     * @brief Names what is shared.
     * @return The surroundings.
     */
    [[nodiscard]] Surroundings &surroundings() const noexcept
    {
        return m_surroundings;
    }

    /**
     * @brief Names its place.
     * @return The index among the stand-ins of the process.
     */
    [[nodiscard]] unsigned index() const noexcept
    {
        return m_index;
    }

private:
    [[nodiscard]] bool control(const http::Request &request, const std::shared_ptr<http::Responder> &responder);
    void change(const nlohmann::json &document);
    void noteKeys(const http::Request &request);
    void announceAndPlan();
    void announce();
    [[nodiscard]] nlohmann::json announcement();

    Surroundings &m_surroundings;
    const unsigned m_index;
    const std::string m_id;
    http::Server m_server;
    std::string m_address;
    mutable absl::Mutex m_mutex;
    Faults m_faults ABSL_GUARDED_BY(m_mutex);
    // While not empty, requests are refused as not run, with these headers.
    http::Headers m_refusal ABSL_GUARDED_BY(m_mutex);
    std::int64_t m_incarnation ABSL_GUARDED_BY(m_mutex);
    std::int64_t m_sequence ABSL_GUARDED_BY(m_mutex) = 0;
    std::int64_t m_requests ABSL_GUARDED_BY(m_mutex) = 0;
    std::int64_t m_keysSeen ABSL_GUARDED_BY(m_mutex) = 0;
    std::int64_t m_faulted ABSL_GUARDED_BY(m_mutex) = 0;
    bool m_leaving ABSL_GUARDED_BY(m_mutex) = false;
    bool m_stopped ABSL_GUARDED_BY(m_mutex) = false;
};

} // namespace bamboomoor::fakes
