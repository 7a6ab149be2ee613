/**
 * Entry point of the tests of the adapter to the users' infrastructure.
 */
#define BOOST_TEST_MODULE platform
#include <boost/test/unit_test.hpp>
