/**
 * Entry point of the tests of the budget module.
 */
#define BOOST_TEST_MODULE budget
#include <boost/test/unit_test.hpp>
