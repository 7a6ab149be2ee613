/**
 * Tests of patches between documents.
 */
#include "bamboomoor/config/patch.hpp"

#include "generators.hpp"

#include <boost/test/unit_test.hpp>

#include <rapidcheck.h>

#include <algorithm>
#include <string>

using namespace bamboomoor;

namespace
{

config::Document makeDocument(std::size_t routes)
{
    config::Document out;
    for (std::size_t n = 0; n < routes; ++n) {
        out.routes.push_back({.prefix = "/route" + std::to_string(n), .upstream = "app"});
    }
    return out;
}

std::size_t textBytes(const config::Patch &patch)
{
    std::size_t sum = 0;
    for (const config::PatchStep &it : patch) {
        sum += it.text.size();
    }
    return sum;
}

config::Patch patchOf(const config::Document &base, const config::Document &target)
{
    return config::makePatch(config::fingerprintOf(config::print(base)), config::print(target));
}

} // namespace

BOOST_AUTO_TEST_SUITE(patches)

// Guards against entries that hold another document than the one in force.
BOOST_AUTO_TEST_CASE(a_patch_yields_the_target_from_any_base)
{
    BOOST_TEST(rc::check([] {
        const config::Document base = config::anyDocument();
        config::Document target = *rc::gen::arbitrary<bool>() ? config::anyDocument() : base;
        if (*rc::gen::arbitrary<bool>()) {
            std::reverse(target.routes.begin(), target.routes.end());
            target.organisations.clear();
        }
        const auto result = config::applyPatch(base, patchOf(base, target));
        RC_ASSERT(result.has_value());
        RC_ASSERT(result.value() == target);
        const auto whole = config::applyPatch({}, config::makePatch({}, config::print(target)));
        RC_ASSERT(whole.has_value());
        RC_ASSERT(whole.value() == target);
    }));
}

// Guards against changes whose cost grows with the document.
BOOST_AUTO_TEST_CASE(a_patch_of_few_changes_has_little_text)
{
    const config::Document base = makeDocument(2'000);
    config::Document target = base;
    target.routes.erase(target.routes.begin() + 700);
    target.routes[1'500].upstream = "other";
    target.routes.push_back({.prefix = "/added", .upstream = "app"});
    const config::Patch patch = patchOf(base, target);
    BOOST_TEST(textBytes(patch) < 1'000U);
    BOOST_TEST(patch.size() < 10U);
}

BOOST_AUTO_TEST_CASE(a_text_is_parsed_alike_with_and_without_another_document)
{
    BOOST_TEST(rc::check([] {
        const config::Document base = config::anyDocument();
        const std::string text = config::print(config::anyDocument())
            + *rc::gen::element<std::string>("", "\n[[route]]\nprefix = \"/x\"\nkind = \"service\"\nupstream = \"s\"\n",
                "\n[[route]]\nprefix = 1\n", "\n\n[[model", "\n\n[limits]\nmax_tokens = 5\n");
        const auto plain = config::parse(text);
        const auto beside = config::parseBeside(text, base, config::print(base));
        RC_ASSERT(plain.has_value() == beside.has_value());
        if (plain) {
            RC_ASSERT(plain.value() == beside.value());
        } else {
            RC_ASSERT(plain.error() == beside.error());
        }
    }));
}

BOOST_AUTO_TEST_CASE(a_patch_for_a_larger_base_is_rejected)
{
    const config::Document base = makeDocument(3);
    BOOST_TEST(config::applyPatch(makeDocument(2), patchOf(base, base)).has_error());
}

BOOST_AUTO_TEST_SUITE_END()
