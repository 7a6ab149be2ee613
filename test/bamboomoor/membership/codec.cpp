/**
 * Tests of the JSON encoding of announcements and deltas.
 */
#include "bamboomoor/membership/codec.hpp"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace bamboomoor;
using membership::ParseErrorKind;

namespace
{
membership::Announcement sample()
{
    membership::Announcement announcement;
    announcement.id = "w1";
    announcement.incarnation = UINT64_MAX;
    announcement.sequence = 9;
    announcement.address = "10.0.0.1:8000";
    announcement.dataCentre = "a";
    announcement.accelerators = {{"0", 81'920, {{"m", "ad", "2", 400}}}};
    announcement.checksFencing = true;
    announcement.load = {1, 2, 3};
    announcement.lastOrders = {{"o1", membership::OrderResult::Refused}};
    return announcement;
}

void expectError(const nlohmann::json &document, ParseErrorKind kind, const std::string &field)
{
    const auto result = membership::parse(document.dump());
    BOOST_REQUIRE(result.has_error());
    BOOST_TEST(static_cast<int>(result.error().kind) == static_cast<int>(kind));
    BOOST_TEST(result.error().field == field);
}
} // namespace

BOOST_AUTO_TEST_CASE(an_announcement_survives_the_round_trip)
{
    BOOST_TEST((membership::parse(membership::encode(sample())).value() == sample()));
}

BOOST_AUTO_TEST_CASE(errors_name_each_missing_field)
{
    const auto complete = nlohmann::json::parse(membership::encode(sample()));
    for (const auto &[field, value] : complete.items()) {
        auto part = complete;
        part.erase(field);
        // A model worker has no service, and an upstream without recent orders may omit them.
        if (field == "service" || field == "orders") {
            BOOST_TEST(membership::parse(part.dump()).has_value());
        } else {
            expectError(part, ParseErrorKind::MissingField, field);
        }
        part[field] = nlohmann::json::array({1.5});
        BOOST_TEST(membership::parse(part.dump()).has_error());
    }
}

BOOST_AUTO_TEST_CASE(errors_name_nested_fields_and_invalid_values)
{
    auto document = nlohmann::json::parse(membership::encode(sample()));
    document["unknown"] = 1;
    BOOST_TEST(membership::parse(document.dump()).has_value());
    document["accelerators"][0]["resident"][0]["memory_mib"] = "1";
    expectError(document, ParseErrorKind::WrongType, "accelerators[0].resident[0].memory_mib");
    document["accelerators"][0]["resident"][0]["memory_mib"] = -1;
    expectError(document, ParseErrorKind::BadValue, "accelerators[0].resident[0].memory_mib");
    for (const char *address : {"host:80", "10.0.0.1", "10.0.0.1:0", "10.0.0.1:65536", "::1:80", "10.0.0.1:8x"}) {
        document["address"] = address;
        expectError(document, ParseErrorKind::BadValue, "address");
    }
    expectError(nlohmann::json::array(), ParseErrorKind::WrongType, "");
    BOOST_TEST(membership::parse("{").has_error());
}

BOOST_AUTO_TEST_CASE(a_delta_survives_the_round_trip)
{
    membership::Delta delta;
    delta.entries = {{sample(), {100}, {5}}};
    delta.renewals = {{"w2", 3, 4, "00ff", {1, 2, 3}, {200}, {6}}};
    delta.removed = {{"w3", 5, true}};
    delta.position = {7, 8};
    const std::string text = membership::encodeDelta(delta);
    BOOST_TEST(membership::encodeDelta(membership::parseDelta(text).value()) == text);
}

BOOST_AUTO_TEST_CASE(an_address_ends_where_its_text_ends)
{
    auto document = nlohmann::json::parse(membership::encode(sample()));
    for (const std::string &address :
        {std::string("10.0.0.1\0x:80", 13), std::string("[::1\0]:80", 10), std::string("[10.0.0.1]:80")}) {
        document["address"] = address;
        expectError(document, ParseErrorKind::BadValue, "address");
    }
}
