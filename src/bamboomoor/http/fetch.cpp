/**
 * Collecting of whole answers.
 */
#include "bamboomoor/http/fetch.hpp"

#include <absl/synchronization/notification.h>

#include <utility>

namespace bamboomoor::http
{

namespace
{

class Collecting final : public Listener
{
public:
    explicit Collecting(std::function<void(Fetched)> done)
        : m_done(std::move(done))
    {
    }

    bool onHead(int status, Headers headers) override
    {
        m_fetched.status = status;
        m_fetched.headers = std::move(headers);
        return true;
    }

    bool onData(std::string_view bytes) override
    {
        m_fetched.body += bytes;
        return true;
    }

    void onEnd(Ending ending) override
    {
        m_fetched.ending = std::move(ending);
        m_done(std::move(m_fetched));
    }

private:
    const std::function<void(Fetched)> m_done;
    Fetched m_fetched;
};

} // namespace

CallId fetchThen(Client &client, Call call, std::function<void(Fetched)> done)
{
    return client.start(std::move(call), std::make_shared<Collecting>(std::move(done)));
}

Fetched fetch(Client &client, Call call)
{
    Fetched result;
    absl::Notification ready;
    fetchThen(client, std::move(call), [&](Fetched fetched) {
        result = std::move(fetched);
        ready.Notify();
    });
    ready.WaitForNotification();
    return result;
}

} // namespace bamboomoor::http
