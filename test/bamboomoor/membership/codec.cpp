/**
 * Tests of the JSON encoding of announcements and deltas.
 */
#include "bamboomoor/membership/codec.hpp"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include <string>
#include <vector>

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

// Values that other writers leave in the place of a field.
const std::vector<std::string> ODD_VALUES{"null", "true", "-1", "1.5", "1e308", "1e400", "18446744073709551615",
    "18446744073709551616", "\"\"", R"("\u0000")", R"("a\nb")", "\"\xff\"", "[]", "{}", "[[[{}]]]",
    R"("10.0.0.1:65536")", R"("10.0.0.1:-1")", R"("10.0.0.1:99999999999")", R"("10.0.0.1\u0000:80")", R"("[::1]:80")",
    R"("localhost:80")", '"' + std::string(300, 'x') + '"', std::string(100'000, '['), "\"open"};

/** @brief Lists the paths of all values in a document, as JSON pointers. */
void collectPaths(const nlohmann::json &value, const std::string &path, std::vector<std::string> &out)
{
    out.push_back(path);
    if (value.is_object()) {
        for (const auto &[key, inner] : value.items()) {
            collectPaths(inner, std::string(path).append("/").append(key), out);
        }
    } else if (value.is_array()) {
        for (std::size_t n = 0; n < value.size(); ++n) {
            collectPaths(value[n], path + '/' + std::to_string(n), out);
        }
    }
}

/** @brief Replaces some values of a document by odd ones; the result may be no JSON. */
std::string mutate(nlohmann::json document)
{
    constexpr const char *MARK = "@odd@";
    std::string odd;
    const int changes = *rc::gen::inRange(1, 4);
    for (int n = 0; n < changes; ++n) {
        std::vector<std::string> paths;
        collectPaths(document, {}, paths);
        const std::string path = *rc::gen::elementOf(paths);
        if (path.empty()) {
            continue;
        }
        if (*rc::gen::inRange(0, 4) == 0) {
            document = document.patch(nlohmann::json::array({{{"op", "remove"}, {"path", path}}}));
        } else {
            document[nlohmann::json::json_pointer(path)] = MARK;
        }
    }
    std::string text = document.dump();
    const std::string mark = '"' + std::string(MARK) + '"';
    for (std::size_t at = text.find(mark); at != std::string::npos; at = text.find(mark, at)) {
        odd = *rc::gen::elementOf(ODD_VALUES);
        text.replace(at, mark.size(), odd);
        at += odd.size();
    }
    return text;
}

membership::Delta sampleDelta()
{
    membership::Delta delta;
    delta.entries = {{sample(), {100}, {5}}, {sample(), {200}, {5}}};
    delta.entries.back().announcement.id = "w4";
    delta.renewals = {{"w2", 3, 4, "00ff", {1, 2, 3}, {200}, {6}}};
    delta.removed = {{"w3", 5, true}};
    delta.position = {7, 8};
    return delta;
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

BOOST_AUTO_TEST_CASE(an_unreadable_element_of_a_delta_does_not_hide_the_others)
{
    for (const char *list : {"entries", "renewals", "removed"}) {
        for (const nlohmann::json &odd : {nlohmann::json(3), nlohmann::json::object(), nlohmann::json::array({1.5})}) {
            auto document = nlohmann::json::parse(membership::encodeDelta(sampleDelta()));
            document[list].insert(document[list].begin(), odd);
            const auto delta = membership::parseDelta(document.dump());
            BOOST_REQUIRE(delta.has_value());
            BOOST_TEST(delta.value().entries.size() == 2U);
            BOOST_TEST(delta.value().renewals.size() == 1U);
            BOOST_TEST(delta.value().removed.size() == 1U);
            BOOST_TEST(delta.value().position.revision == 8U);
            BOOST_REQUIRE(delta.value().unreadable.size() == 1U);
            BOOST_TEST(delta.value().unreadable[0].starts_with(std::string(list) + "[0]"));
        }
    }
}

BOOST_AUTO_TEST_CASE(an_address_ends_where_its_text_ends)
{
    auto document = nlohmann::json::parse(membership::encode(sample()));
    for (const std::string &address :
        {std::string("10.0.0.1\0x:80", 13), std::string("[::1\0]:80", 9), std::string("[10.0.0.1]:80")}) {
        document["address"] = address;
        expectError(document, ParseErrorKind::BadValue, "address");
    }
}

BOOST_AUTO_TEST_CASE(every_announcement_that_is_read_can_be_passed_on)
{
    BOOST_TEST(rc::check([] {
        const auto read = membership::parse(mutate(nlohmann::json::parse(membership::encode(sample()))));
        if (read) {
            membership::Delta delta;
            delta.entries = {{read.value(), {100}, {5}}};
            const auto passed = membership::parseDelta(membership::encodeDelta(delta));
            RC_ASSERT(passed.has_value());
            RC_ASSERT(passed.value().entries.size() == 1U);
            RC_ASSERT(passed.value().entries[0].announcement == read.value());
        }
    }));
}

BOOST_AUTO_TEST_CASE(no_mutation_of_a_delta_stops_a_registry_or_hides_its_other_entries)
{
    BOOST_TEST(rc::check([] {
        const auto document = nlohmann::json::parse(membership::encodeDelta(sampleDelta()));
        auto part = document;
        part.erase("entries");
        auto text = mutate(document["entries"][0]);
        part["entries"] = {"@entry@", document["entries"][1]};
        auto whole = part.dump();
        whole.replace(whole.find("\"@entry@\""), 9, text);
        const auto delta = membership::parseDelta(whole);
        if (!nlohmann::json::accept(text)) {
            RC_ASSERT(!delta.has_value());
            return;
        }
        RC_ASSERT(delta.has_value());
        membership::Registry registry;
        registry.merge({1'000}, delta.value());
        registry.merge({1'000}, delta.value());
        RC_ASSERT(registry.find({1'010}, "w4") != nullptr);
        const auto next = membership::parseDelta(membership::encodeDelta(registry.changesSince({1'020}, {})));
        RC_ASSERT(next.has_value());
        RC_ASSERT(next.value().unreadable.empty());
    }));
}
