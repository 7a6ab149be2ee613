/**
 * Tests of the reading of replies to orders.
 */
#include "bamboomoor/control/orderreply.hpp"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace bamboomoor;
using control::readOrderReply;
using placement::TransportResult;

BOOST_AUTO_TEST_CASE(a_reply_tells_what_became_of_an_order)
{
    BOOST_TEST((readOrderReply(200, R"({"outcome":"done"})") == TransportResult::Done));
    BOOST_TEST((readOrderReply(409, R"({"outcome":"refused"})") == TransportResult::Refused));
    BOOST_TEST((readOrderReply(409, R"({"outcome":"done"})") == TransportResult::Unknown));
    BOOST_TEST((readOrderReply(200, R"({"outcome":"refused"})") == TransportResult::Unknown));
    BOOST_TEST((readOrderReply(200, "{}") == TransportResult::Unknown));
}

BOOST_AUTO_TEST_CASE(an_order_reply_of_any_bytes_throws_nothing)
{
    for (const std::string &body : {std::string(R"({"outcome":3})"), std::string(R"({"outcome":null})"),
             std::string(R"({"outcome":{"done":true}})"), std::string(R"({"outcome":["done"]})"),
             std::string(R"({"outcome":1e400})"), std::string("[1]"), std::string("\"done\""), std::string("\xff"),
             std::string(), std::string(100'000, '['), "{\"outcome\":" + std::string(100'000, '[')}) {
        for (const int status : {0, 200, 409, 500}) {
            BOOST_TEST((readOrderReply(status, body) == TransportResult::Unknown));
        }
    }
}
