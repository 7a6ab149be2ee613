/**
 * Entry point of the tests of the lineage module.
 */
#define BOOST_TEST_MODULE lineage
#include <boost/test/unit_test.hpp>
