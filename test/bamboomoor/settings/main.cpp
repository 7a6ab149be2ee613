/**
 * Entry point of the tests of the settings module.
 */
#define BOOST_TEST_MODULE settings
#include <boost/test/unit_test.hpp>
