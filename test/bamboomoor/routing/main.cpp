/**
 * Entry point of the tests of the routing module.
 */
#define BOOST_TEST_MODULE routing
#include <boost/test/unit_test.hpp>
