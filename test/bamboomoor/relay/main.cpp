/**
 * Entry point of the tests of the relay module.
 */
#define BOOST_TEST_MODULE relay
#include <boost/test/unit_test.hpp>
