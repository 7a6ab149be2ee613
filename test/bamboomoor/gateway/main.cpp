/**
 * Entry point of the tests of the gateway module.
 */
#define BOOST_TEST_MODULE gateway
#include <boost/test/unit_test.hpp>
