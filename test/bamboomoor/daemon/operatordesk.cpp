/**
 * Tests of operators' requests while no voter answers.
 */
#include "bamboomoor/daemon/operatordesk.hpp"
#include "bamboomoor/operators/wire.hpp"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

using namespace bamboomoor;

namespace
{

constexpr const char *TOKEN = "secret";
// Nothing listens there.
constexpr const char *VOTER_ADDRESS = "127.0.0.1:1";
constexpr std::chrono::seconds LIMIT{2};

class Caller final : public http::Responder
{
public:
    void respond(http::Response response) override
    {
        m_response.set_value(std::move(response));
    }
    void begin(int /*status*/, http::Headers /*headers*/) override
    {
    }
    bool write(std::string_view /*chunk*/) override
    {
        return false;
    }
    void end() override
    {
    }
    void abort() override
    {
    }
    void onGone(std::function<void()> /*callback*/) override
    {
    }
    [[nodiscard]] bool gone() const override
    {
        return false;
    }

    [[nodiscard]] bool isAnswered()
    {
        return m_answer.wait_for(LIMIT) == std::future_status::ready;
    }

private:
    std::promise<http::Response> m_response;
    std::future<http::Response> m_answer = m_response.get_future();
};

http::Request requestOf(const std::string &method, std::string_view path)
{
    http::Request request;
    request.method = method;
    request.path = path;
    request.headers.push_back({"Authorization", std::string("Bearer ") + TOKEN});
    return request;
}

} // namespace

BOOST_AUTO_TEST_SUITE(operatordesk)

BOOST_AUTO_TEST_CASE(status_and_drain_do_not_wait_for_a_change_that_no_voter_confirms)
{
    const control::PeerRegistry peers(std::vector<control::VoterAddress>{{"v1", VOTER_ADDRESS}});
    entry::LeaderHint leader({"v1"});
    bool drained = false;
    daemon::OperatorDesk desk(
        TOKEN, peers, leader,
        [] {
            return nlohmann::json{{"role", "follower"}};
        },
        [&drained] {
            drained = true;
        });
    desk.start();
    const auto blocked = std::make_shared<Caller>();
    desk.handle(requestOf("GET", operators::HISTORY_PATH), blocked);
    const auto status = std::make_shared<Caller>();
    desk.handle(requestOf("GET", operators::STATUS_PATH), status);
    BOOST_TEST(status->isAnswered());
    const auto drain = std::make_shared<Caller>();
    desk.handle(requestOf("POST", operators::DRAIN_PATH), drain);
    BOOST_TEST(drain->isAnswered());
    BOOST_TEST(drained);
    desk.stop();
}

BOOST_AUTO_TEST_SUITE_END()
