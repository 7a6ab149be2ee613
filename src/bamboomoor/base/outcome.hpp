/**
 * Results that hold a value or a typed error, on Boost.Outcome.
 */
#pragma once

#include <boost/outcome/boost_result.hpp>
#include <boost/outcome/result.hpp>
#include <boost/outcome/success_failure.hpp>
#include <boost/outcome/try.hpp>

namespace bamboomoor::base
{

/**
 * @brief A value or an error; reading the one that is not held throws bad_result_access.
 * @tparam Value The type of a success; void for none.
 * @tparam Error The type of a failure.
 */
template<class Value, class Error>
using Result =
    boost::outcome_v2::basic_result<Value, Error, boost::outcome_v2::policy::throw_bad_result_access<Error, void>>;

using boost::outcome_v2::failure;
using boost::outcome_v2::success;

} // namespace bamboomoor::base
