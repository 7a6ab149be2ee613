/**
 * Entry point of the tests of the admission module. RapidCheck runs 5,000 cases of each property unless RC_PARAMS sets
 * max_success.
 */
#define BOOST_TEST_MODULE admission
#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <string>

namespace
{
struct CaseCount {
    CaseCount()
    {
        const char *given = std::getenv("RC_PARAMS");
        const std::string params = given != nullptr ? given : "";
        if (params.find("max_success") == std::string::npos) {
            setenv("RC_PARAMS", (params + " max_success=5000").c_str(), 1);
        }
    }
};
} // namespace

BOOST_TEST_GLOBAL_FIXTURE(CaseCount);
