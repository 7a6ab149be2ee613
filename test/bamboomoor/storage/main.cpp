/**
 * Entry point of the tests of the storage module.
 */
#define BOOST_TEST_MODULE storage
#include <boost/test/unit_test.hpp>
