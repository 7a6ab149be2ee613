/**
 * Entry point of the tests of the state module.
 */
#define BOOST_TEST_MODULE state
#include <boost/test/unit_test.hpp>
