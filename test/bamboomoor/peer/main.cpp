/**
 * Entry point of the tests of the peer module.
 */
#define BOOST_TEST_MODULE peer
#include <boost/test/unit_test.hpp>
