/**
 * Entry point of the tests of the daemon module.
 */
#define BOOST_TEST_MODULE daemon
#include <boost/test/unit_test.hpp>
