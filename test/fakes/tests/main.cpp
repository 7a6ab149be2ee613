/**
 * Entry point of the tests of the stand-ins.
 */
#define BOOST_TEST_MODULE fakes
#include <boost/test/unit_test.hpp>
