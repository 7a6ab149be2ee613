/**
 * Entry point of the tests of the operators module.
 */
#define BOOST_TEST_MODULE operators
#include <boost/test/unit_test.hpp>
