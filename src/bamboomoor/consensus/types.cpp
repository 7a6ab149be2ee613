/**
 * Text encoding of a membership: `voter ID` or `learner ID` on each line.
 */
#include "bamboomoor/consensus/types.hpp"

#include <algorithm>
#include <sstream>
#include <string_view>

namespace bamboomoor::consensus
{

namespace
{
constexpr std::string_view VOTER = "voter ";
constexpr std::string_view LEARNER = "learner ";
} // namespace

std::string encodeMembership(const Membership &membership)
{
    std::string text;
    for (const VoterId &it : membership.voters) {
        text.append(VOTER).append(it).append("\n");
    }
    for (const VoterId &it : membership.learners) {
        text.append(LEARNER).append(it).append("\n");
    }
    return text;
}

Membership decodeMembership(const std::string &payload)
{
    Membership membership;
    std::istringstream lines(payload);
    for (std::string line; std::getline(lines, line);) {
        if (line.starts_with(VOTER)) {
            membership.voters.push_back(line.substr(VOTER.size()));
        } else if (line.starts_with(LEARNER)) {
            membership.learners.push_back(line.substr(LEARNER.size()));
        }
    }
    std::sort(membership.voters.begin(), membership.voters.end());
    std::sort(membership.learners.begin(), membership.learners.end());
    return membership;
}

} // namespace bamboomoor::consensus
