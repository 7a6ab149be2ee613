/**
 * Entry point of the tests of the http module.
 */
#define BOOST_TEST_MODULE http
#include <boost/test/unit_test.hpp>
