/**
 * Entry point of the tests of the control module.
 */
#define BOOST_TEST_MODULE control
#include <boost/test/unit_test.hpp>
