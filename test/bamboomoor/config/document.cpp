/**
 * Tests of configuration documents: parsing, checking, printing, searching and comparing.
 */
#include "bamboomoor/config/generators.hpp"
#include "bamboomoor/config/lookup.hpp"
#include "bamboomoor/config/parse.hpp"

#include <boost/test/unit_test.hpp>

using namespace bamboomoor;

namespace
{

const std::string GOOD = R"([[organisation]]
name = "acme"
rate = 100
burst = 500
  [[organisation.key]]
  id = "first"
  hash = "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"
[[route]]
prefix = "/a"
upstream = "one"
[[route]]
prefix = "/a/b"
upstream = "two"
[[model]]
name = "m"
memory_mib = 100
min_replicas = 2
[[adapter]]
name = "a"
model = "m"
memory_mib = 20
)";

std::string mistake(const std::string &text)
{
    const auto parsed = config::parse(text);
    if (parsed.has_error()) {
        return parsed.error().place + ": " + parsed.error().message;
    }
    const auto problem = config::check(parsed.value());
    return problem.has_value() ? problem->place + ": " + problem->message : "no mistake";
}

} // namespace

BOOST_AUTO_TEST_CASE(a_good_document_is_found_by_key_path_and_name)
{
    BOOST_TEST(mistake(GOOD) == "no mistake");
    const auto read = config::parse(GOOD).value();
    BOOST_TEST(config::findByKey(read, base::sha256("abc"))->name == "acme");
    BOOST_TEST(config::findByKey(read, base::sha256("abd")) == nullptr);
    BOOST_TEST(config::findModel(read, "m")->minReplicas == 2);
    BOOST_TEST(config::findRoute(read, "/a")->upstream == "one");
    BOOST_TEST(config::findRoute(read, "/a/bc")->upstream == "one");
    BOOST_TEST(config::findRoute(read, "/a/b/c")->upstream == "two");
    BOOST_TEST(config::findRoute(read, "/ab") == nullptr);
}

BOOST_AUTO_TEST_CASE(each_mistake_names_its_place)
{
    const std::string org = "[[organisation]]\nname = \"acme\"\nburst = 1\nrate = ";
    BOOST_TEST(mistake(org + "0") == "organisation[0].rate: must be an integer from 1 to 1000000000000");
    BOOST_TEST(mistake(org + "1\nrates = 1").starts_with("organisation[0].rates: is not a known key; allowed here: "));
    BOOST_TEST(mistake(GOOD + org + "1")
        == "organisation[1].name: \"acme\" is there twice; must be unique among organisations");
    BOOST_TEST(mistake(GOOD + "[[version]]\nmodel = \"x\"\nversion = \"1\"")
        == "version[0].model: \"x\" is not the name of a [[model]]");
    const std::string pool = GOOD + "[[accelerator_pool]]\ndata_centre = \"d\"\ncount = 2\nmemory_mib = ";
    BOOST_TEST(
        mistake(pool + "99") == "model[0].memory_mib: needs 100 MiB on one accelerator, the largest declared has 99");
    BOOST_TEST(mistake(pool + "119")
        == "adapter[0].memory_mib: needs 120 MiB on one accelerator, the largest declared has 119");
    BOOST_TEST(mistake(pool + "120") == "no mistake");
}

BOOST_AUTO_TEST_CASE(the_canonical_form_reads_back_as_the_same_document)
{
    const bool passed = rc::check([] {
        const auto document = config::anyDocument();
        RC_ASSERT(!config::check(document).has_value());
        const std::string printed = config::print(document);
        const auto again = config::parse(printed);
        RC_ASSERT(again.has_value());
        RC_ASSERT(again.value() == document);
        RC_ASSERT(config::print(again.value()) == printed);
    });
    BOOST_TEST(passed);
}

BOOST_AUTO_TEST_CASE(a_difference_is_told_exactly_when_the_printed_forms_differ)
{
    const bool passed = rc::check([] {
        const auto before = config::anyDocument();
        const auto after = *rc::gen::arbitrary<bool>() ? before : config::anyDocument();
        RC_ASSERT(config::diff(before, after).empty() == (config::digest(before) == config::digest(after)));
    });
    BOOST_TEST(passed);
    auto before = config::parse(GOOD).value();
    auto after = before;
    after.organisations[0].rate = 7;
    after.models.push_back({.name = "n", .memoryMib = 1});
    after.routes.pop_back();
    const auto changes = config::diff(before, after);
    BOOST_REQUIRE(changes.size() == 3U);
    BOOST_TEST(config::describe(changes[0]) == "removed route /a/b");
    BOOST_TEST(config::describe(changes[1]) == "altered organisation acme: rate 100 -> 7");
    BOOST_TEST(config::describe(changes[2]) == "added model n");
}

BOOST_AUTO_TEST_CASE(any_text_is_parsed_or_explained)
{
    const bool passed = rc::check([] {
        std::string text = GOOD;
        const auto at = *rc::gen::inRange<std::size_t>(0, GOOD.size());
        text.replace(at, *rc::gen::inRange<std::size_t>(0, 9), *rc::gen::arbitrary<std::string>());
        const auto result = config::parse(text);
        if (result.has_value()) {
            RC_ASSERT(config::parse(config::print(result.value())).value() == result.value());
        } else {
            RC_ASSERT(!result.error().place.empty());
            RC_ASSERT(result.error().message.find('\n') == std::string::npos);
        }
    });
    BOOST_TEST(passed);
}

BOOST_AUTO_TEST_CASE(a_document_of_deeply_nested_keys_ends_no_process)
{
    constexpr int LEVELS = 200'000;
    std::string key;
    std::string tables;
    std::string members;
    for (int n = 0; n < LEVELS; ++n) {
        key += "a.";
        tables += "{a=";
    }
    for (int n = 0; n < 200; ++n) {
        members += "[{" + key.substr(0, 2'000) + "a=\n";
    }
    for (const std::string &text : {key + "a = 1", '[' + key + "a]", "[[" + key + "a]]", "x = {" + key + "a = 1}",
             "# \"\n" + key + "a = 1", "x = '\"'\n" + key + "a = 1", "x = \"\\\"\"\n" + key + "a = 1",
             "x = \"\"\"\"\"\n\"\"\"\n" + key + "a = 1", "x = " + tables, "x = " + std::string(LEVELS, '['),
             "x = " + members, "\"" + std::string(LEVELS, '.') + "\" = 1"}) {
        const auto result = config::parse(text);
        BOOST_REQUIRE(result.has_error());
        BOOST_TEST(!result.error().message.empty());
    }
    const std::string dots(100'000, '.');
    config::Document document;
    document.services.emplace_back().name = dots + '"' + dots + "\n[{" + dots;
    const auto result = config::parse(config::print(document));
    BOOST_REQUIRE(result.has_value());
    BOOST_TEST((result.value() == document));
}
