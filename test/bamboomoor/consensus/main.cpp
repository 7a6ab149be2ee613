/**
 * Entry point of the tests of the consensus module.
 */
#define BOOST_TEST_MODULE consensus
#include <boost/test/unit_test.hpp>
