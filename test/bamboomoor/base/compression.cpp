/**
 * Tests of compression.
 */
#include "bamboomoor/base/compression.hpp"

#include <boost/test/unit_test.hpp>

#include <rapidcheck.h>

#include <string>

using namespace bamboomoor;

BOOST_AUTO_TEST_SUITE(compression)

BOOST_AUTO_TEST_CASE(what_was_compressed_reads_back)
{
    BOOST_TEST(rc::check([](const std::string &bytes) {
        RC_ASSERT(base::decompress(base::compress(bytes), bytes.size()) == bytes);
    }));
    const std::string large(1'000'000, 'x');
    BOOST_TEST((base::decompress(base::compress(large), large.size()) == large));
}

// Guards against replies that take the memory of a daemon.
BOOST_AUTO_TEST_CASE(damaged_input_and_results_that_are_too_large_are_rejected)
{
    const std::string packed = base::compress(std::string(1'000'000, 'x'));
    BOOST_TEST(!base::decompress(packed, 999'999));
    BOOST_TEST(!base::decompress(packed.substr(0, packed.size() - 1), 1'000'000));
    BOOST_TEST(!base::decompress(packed + "x", 1'000'000));
    BOOST_TEST(!base::decompress("x", 1'000'000));
}

BOOST_AUTO_TEST_SUITE_END()
