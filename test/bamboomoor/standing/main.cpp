/**
 * Entry point of the tests of the standing module.
 */
#define BOOST_TEST_MODULE standing
#include <boost/test/unit_test.hpp>
