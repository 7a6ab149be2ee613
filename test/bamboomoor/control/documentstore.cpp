/**
 * Tests of the encoded forms of documents.
 */
#include "bamboomoor/control/documentstore.hpp"

#include "bamboomoor/config/parse.hpp"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace bamboomoor;

namespace
{

config::Document makeDocument(std::size_t routes)
{
    config::Document out;
    for (std::size_t n = 0; n < routes; ++n) {
        out.routes.push_back({.prefix = "/" + std::to_string(n * 7'919), .upstream = "app"});
    }
    return out;
}

std::string add(control::DocumentStore &store, std::size_t routes)
{
    const config::Document document = makeDocument(routes);
    store.setCurrent(config::digest(document), config::print(document));
    return store.digest();
}

} // namespace

BOOST_AUTO_TEST_SUITE(documentstore)

BOOST_AUTO_TEST_CASE(a_receiver_gets_a_patch_of_what_it_holds_and_otherwise_the_whole)
{
    control::DocumentStore store;
    const std::string first = add(store, 1'000);
    const std::size_t whole = store.encode("").bytes.size();
    static_cast<void>(add(store, 1'001));
    BOOST_TEST(store.encode(first).baseDigest == first);
    BOOST_TEST(store.encode(first).bytes.size() < whole / 10);
    BOOST_TEST(store.encode("of another group").baseDigest.empty());
    BOOST_TEST(store.encode("of another group").bytes.size() >= whole);
}

// Guards against transfers that begin anew with each change.
BOOST_AUTO_TEST_CASE(a_superseded_document_can_be_fetched_to_its_end)
{
    constexpr std::size_t PIECE = 100;
    control::DocumentStore store;
    static_cast<void>(add(store, 1'000));
    const control::EncodedDocument document = store.encode("");
    std::string fetched = store.piece(document, 0, PIECE).data();
    for (std::size_t n = 0; fetched.size() < document.bytes.size(); ++n) {
        static_cast<void>(add(store, 1'001 + n));
        static_cast<void>(store.encode(""));
        const control::EncodedDocument *kept = store.find(document.checksum);
        BOOST_REQUIRE(kept != nullptr);
        const std::string data = store.piece(*kept, fetched.size(), PIECE).data();
        BOOST_REQUIRE(!data.empty());
        fetched += data;
    }
    BOOST_TEST(fetched == document.bytes.str());
}

BOOST_AUTO_TEST_CASE(what_is_kept_stays_within_its_bounds)
{
    control::DocumentStoreLimits limits;
    limits.bases = 3;
    limits.encoded = 2;
    control::DocumentStore store(limits);
    const std::string first = add(store, 10);
    const std::uint64_t oldest = store.encode("").checksum;
    for (std::size_t n = 11; n < 14; ++n) {
        static_cast<void>(add(store, n));
        static_cast<void>(store.encode(""));
    }
    BOOST_TEST(store.encode(first).baseDigest.empty());
    BOOST_TEST(store.find(oldest) == nullptr);
}

BOOST_AUTO_TEST_SUITE_END()
