/**
 * Stateful fuzzing of the fair queue against a plain list of waiting items.
 */
#include "bamboomoor/admission/fairqueue.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <ostream>
#include <vector>

using namespace bamboomoor;
using admission::Item;

namespace
{
constexpr std::int64_t MAX_COST = 50;
const std::array<std::string, 3> ORGANISATIONS = {"a", "b", "c"};

enum class Kind { Push, Pop, Wait, Cancel };

struct Step {
    Kind kind = Kind::Pop;
    std::size_t organisation = 0;
    std::int64_t cost = 1;
    int priority = 0;
    // The time to wait, or the time until the deadline, in milliseconds; 0 for no deadline.
    std::int64_t span = 0;
};

void showValue(const Step &step, std::ostream &os)
{
    os << static_cast<int>(step.kind) << ":" << step.organisation << ":" << step.cost << ":" << step.span;
}

// The waiting items, and the service of each pair of organisations while both had items waiting.
class Oracle
{
public:
    explicit Oracle(std::array<std::int64_t, 3> weights)
        : m_weights(weights)
    {
    }

    [[nodiscard]] bool waits(base::Millis now, std::size_t organisation) const
    {
        return std::any_of(items.begin(), items.end(), [now, organisation](const Item &it) {
            return it.deadline > now && it.organisation == ORGANISATIONS[organisation];
        });
    }

    void serve(std::size_t organisation, std::int64_t cost)
    {
        for (std::size_t n = 0; n < m_lead.size(); ++n) {
            m_lead[organisation][n] += cost * m_weights[n];
            m_lead[n][organisation] -= cost * m_weights[n];
        }
    }

    // Must be called after every step.
    void update(base::Millis now)
    {
        for (std::size_t n = 0; n < m_lead.size(); ++n) {
            for (std::size_t k = 0; k < m_lead.size(); ++k) {
                m_lead[n][k] = waits(now, n) && waits(now, k) ? m_lead[n][k] : 0;
                RC_ASSERT(m_lead[n][k] <= MAX_COST * (m_weights[n] + m_weights[k]));
            }
        }
    }

    std::vector<Item> items;

private:
    std::array<std::int64_t, 3> m_weights;
    // Tokens served to the first times the weight of the second, minus the reverse.
    std::array<std::array<std::int64_t, 3>, 3> m_lead{};
};

void checkPopped(const Item &popped, base::Millis now, const std::vector<Item> &items)
{
    const auto found = std::find_if(items.begin(), items.end(), [&popped](const Item &it) {
        return it.id == popped.id;
    });
    RC_ASSERT(found != items.end());
    RC_ASSERT(popped.deadline > now);
    for (const Item &it : items) {
        const bool earlier = it.priority > popped.priority || (it.priority == popped.priority && it.id < popped.id);
        const bool before = it.deadline > now && earlier;
        RC_ASSERT(!(it.organisation == popped.organisation && before));
    }
}

void eraseItem(std::vector<Item> &items, std::uint64_t id)
{
    std::erase_if(items, [id](const Item &it) {
        return it.id == id;
    });
}

void checkExpired(admission::FairQueue &queue, base::Millis now, Oracle &oracle)
{
    for (const Item &it : queue.expire(now)) {
        RC_ASSERT(it.deadline <= now);
        eraseItem(oracle.items, it.id);
    }
    RC_ASSERT(queue.size() == oracle.items.size());
    RC_ASSERT(queue.nextExpiry() > now);
}

void apply(const Step &step, std::uint64_t id, base::Millis &now, admission::FairQueue &queue, Oracle &oracle)
{
    if (step.kind == Kind::Wait) {
        now += {step.span};
    } else if (step.kind == Kind::Cancel && !oracle.items.empty()) {
        const std::uint64_t sought = oracle.items[step.cost % oracle.items.size()].id;
        RC_ASSERT(queue.cancel(sought) && !queue.cancel(sought));
        eraseItem(oracle.items, sought);
    } else if (step.kind == Kind::Push) {
        const base::Millis deadline = step.span == 0 ? base::NEVER : now + base::Millis{step.span};
        const Item item{id, ORGANISATIONS[step.organisation], step.cost, deadline, step.priority};
        const auto alike = std::count_if(oracle.items.begin(), oracle.items.end(), [&item](const Item &it) {
            return it.organisation == item.organisation;
        });
        const bool pushed = queue.push(now, item).has_value();
        RC_ASSERT(pushed == (alike < 8));
        if (pushed) {
            oracle.items.push_back(item);
        }
    } else if (step.kind == Kind::Pop) {
        const std::optional<Item> popped = queue.pop(now);
        const bool any = oracle.waits(now, 0) || oracle.waits(now, 1) || oracle.waits(now, 2);
        RC_ASSERT(popped.has_value() == any);
        if (popped) {
            checkPopped(*popped, now, oracle.items);
            eraseItem(oracle.items, popped->id);
            oracle.serve(popped->organisation[0] - 'a', popped->cost);
        }
    }
}
} // namespace

BOOST_AUTO_TEST_CASE(weighted_shares_differ_by_at_most_one_item)
{
    const bool held = rc::check("fair queue", [] {
        const auto kinds =
            rc::gen::weightedElement<Kind>({{50, Kind::Push}, {35, Kind::Pop}, {8, Kind::Wait}, {7, Kind::Cancel}});
        const auto steps = *rc::gen::scale(4,
            rc::gen::container<std::vector<Step>>(rc::gen::build<Step>(rc::gen::set(&Step::kind, kinds),
                rc::gen::set(&Step::organisation, rc::gen::inRange<std::size_t>(0, 3)),
                rc::gen::set(&Step::cost, rc::gen::inRange<std::int64_t>(1, MAX_COST + 1)),
                rc::gen::set(&Step::priority, rc::gen::inRange(0, 3)),
                rc::gen::set(&Step::span, rc::gen::element<std::int64_t>(0, 0, 1, 10, 100)))));
        admission::FairQueue queue({8, 100});
        std::array<std::int64_t, 3> weights{};
        for (std::size_t n = 0; n < weights.size(); ++n) {
            weights[n] = *rc::gen::inRange<std::int64_t>(1, 4);
            queue.setWeight(ORGANISATIONS[n], weights[n]);
        }
        Oracle oracle(weights);
        base::Millis now{0};
        std::uint64_t id = 0;
        for (const Step &it : steps) {
            apply(it, ++id, now, queue, oracle);
            // Items past their deadline may remain until the next push or cancellation.
            if (it.kind == Kind::Push || it.kind == Kind::Cancel) {
                checkExpired(queue, now, oracle);
            }
            oracle.update(now);
        }
    });
    BOOST_TEST(held);
}

BOOST_AUTO_TEST_CASE(settled_tokens_count_towards_the_service)
{
    admission::FairQueue queue({});
    for (std::uint64_t n = 1; n <= 4; ++n) {
        BOOST_TEST(queue.push({0}, {n, n % 2 == 0 ? "a" : "b", 10}).has_value());
    }
    BOOST_TEST(queue.pop({0}).value().organisation == "a");
    queue.settle("a", -9);
    BOOST_TEST(queue.pop({0}).value().organisation == "b");
    BOOST_TEST(queue.pop({0}).value().organisation == "a");
    BOOST_TEST(queue.size("b") == 1);
    BOOST_TEST(queue.backlog() == 10);
}

BOOST_AUTO_TEST_CASE(an_unmeetable_deadline_is_refused_at_once)
{
    admission::FairQueue queue({});
    BOOST_TEST((queue.push({0}, {1, "a", 1, {100}}, {100}).error() == admission::Refusal::DeadlineUnmeetable));
    BOOST_TEST(queue.push({0}, {1, "a", 1, {101}}, {100}).has_value());
    BOOST_TEST(!queue.pop({101}).has_value());
    BOOST_TEST(queue.expire({101}).size() == 1);
}
