/**
 * Tests of the resending of token requests while the authority is slow.
 */
#include "bamboomoor/budget/holder.hpp"

#include <boost/test/unit_test.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

using namespace bamboomoor;
using namespace bamboomoor::budget;

namespace
{

constexpr std::size_t HOLDERS = 70;
// A busy leader's processor time for a token request, in microseconds.
constexpr std::int64_t SERVICE_MICROS = 400;
constexpr std::int64_t MICROS_PER_MILLI = 1'000;
constexpr base::Millis ADMITTED_EVERY{100};
constexpr base::Millis STALL_AT{1'000};
constexpr base::Millis STALL{500};
constexpr base::Millis RECOVERED_AT{3'000};
constexpr base::Millis END{6'000};
constexpr base::Millis MAX_WAIT{100};

TokenReply admitAll(const TokenRequest &request)
{
    TokenReply reply{
        request.holder, request.session, 1, request.sequence, TokenRequestStatus::Processed, base::Millis{2'000}, {}};
    for (const TokenRequestEntry &it : request.entries) {
        TokenReplyEntry entry{it.organisation, 1, 0, {}, false};
        for (const Tokens need : it.needs) {
            entry.granted += need;
            entry.needs.push_back({AdmissionDecision::Admitted, {}});
        }
        reply.entries.push_back(std::move(entry));
    }
    return reply;
}

/** @brief Holders that admit ten requests a second each, and an authority that stalls once. */
struct Play {
    std::vector<Holder> holders;
    std::deque<std::pair<std::size_t, TokenRequest>> queue;
    std::map<std::pair<std::size_t, std::uint64_t>, base::Millis> waiting;
    base::Millis longestWait;
    std::size_t refused = 0;
    std::int64_t budget = 0;

    Play()
    {
        for (std::size_t n = 0; n < HOLDERS; ++n) {
            HolderOptions options;
            options.name = "vm" + std::to_string(n);
            holders.emplace_back(options);
        }
    }

    void decide(base::Millis now, std::size_t n, const std::vector<Admission> &decided)
    {
        for (const Admission &it : decided) {
            const auto found = waiting.find({n, it.reservation});
            if (now >= RECOVERED_AT) {
                longestWait = std::max(longestWait, now - found->second);
                refused += it.decision == AdmissionDecision::Refused ? 1U : 0U;
            }
            waiting.erase(found);
        }
    }

    void serve(base::Millis now)
    {
        const bool stalls = now >= STALL_AT && now < STALL_AT + STALL;
        budget = stalls || queue.empty() ? 0 : budget + MICROS_PER_MILLI;
        while (budget >= SERVICE_MICROS && !queue.empty()) {
            budget -= SERVICE_MICROS;
            const auto [n, request] = std::move(queue.front());
            queue.pop_front();
            decide(now, n, holders[n].onReply(now, admitAll(request)));
        }
    }

    void run()
    {
        for (base::Millis now{0}; now < END; now += base::Millis{1}) {
            serve(now);
            for (std::size_t n = 0; n < HOLDERS; ++n) {
                decide(now, n, holders[n].tick(now));
                if ((now.count + static_cast<std::int64_t>(n)) % ADMITTED_EVERY.count == 0) {
                    const Admission it = holders[n].admit(now, "o", 100);
                    if (it.decision == AdmissionDecision::Waiting) {
                        waiting[{n, it.reservation}] = now;
                    }
                }
                if (auto request = holders[n].takeRequest(now)) {
                    queue.emplace_back(n, *std::move(request));
                }
            }
        }
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(resend)

BOOST_AUTO_TEST_CASE(a_token_request_without_a_reply_is_resent_at_growing_intervals)
{
    Holder holder(HolderOptions{.name = "vm0"});
    BOOST_TEST((holder.admit({0}, "o", 1).decision == AdmissionDecision::Waiting));
    std::vector<std::int64_t> sentAt;
    for (base::Millis now{0}; now < base::Millis{1'000}; now += base::Millis{1}) {
        if (holder.takeRequest(now)) {
            sentAt.push_back(now.count);
        }
    }
    BOOST_TEST(sentAt == (std::vector<std::int64_t>{0, 20, 60, 140, 300, 460, 620, 780, 940}));
}

BOOST_AUTO_TEST_CASE(an_authority_that_stalled_is_not_kept_busy_by_resent_token_requests)
{
    Play play;
    play.run();
    BOOST_TEST(play.longestWait.count <= MAX_WAIT.count);
    BOOST_TEST(play.refused == 0U);
    BOOST_TEST(play.queue.size() < HOLDERS);
}

BOOST_AUTO_TEST_SUITE_END()
