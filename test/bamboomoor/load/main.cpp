/**
 * Entry point of the tests of the load module.
 */
#define BOOST_TEST_MODULE load
#include <boost/test/unit_test.hpp>
