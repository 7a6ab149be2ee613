/**
 * One visitor made of several lambdas, for std::visit.
 */
#pragma once

namespace bamboomoor::base
{

/**
 * @brief Joins the call operators of several function objects.
 * @tparam Visitors The function objects' types.
 */
template<class... Visitors>
struct Overloaded : Visitors... {
    using Visitors::operator()...;
};

template<class... Visitors>
Overloaded(Visitors...) -> Overloaded<Visitors...>;

} // namespace bamboomoor::base
