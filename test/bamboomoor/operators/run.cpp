/**
 * Tests of the commands against the real state behind a faulty link.
 */
#include "bamboomoor/base/digest.hpp"
#include "bamboomoor/config/lookup.hpp"
#include "bamboomoor/operators/fakeentry.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <sstream>

using namespace bamboomoor;
using namespace bamboomoor::operators;

namespace
{

const std::string ACME = "[[organisation]]\nname = \"acme\"\nrate = 1\nburst = 1\n";

class CountingSecrets final : public Secrets
{
public:
    std::string make(std::size_t) override
    {
        return "s" + std::to_string(++m_count);
    }

private:
    int m_count = 0;
};

struct Ran {
    ExitStatus status = ExitStatus::Usage;
    std::string out;
    std::string err;
};

// One entry, and an operator who types.
struct Desk {
    FakeEntry entry;
    CountingSecrets secrets;

    Ran type(const std::vector<std::string> &words, const std::string &input = ACME)
    {
        std::istringstream in(input);
        std::ostringstream out;
        std::ostringstream err;
        const auto invocation = parseInvocation(words).value();
        const auto status = run(invocation, {in, out, err, entry, secrets, [](base::Millis) {}});
        return {status, out.str(), err.str()};
    }

    [[nodiscard]] std::uint64_t version() const
    {
        return entry.m_machine.configuration().current().version;
    }
};

std::deque<Fault> anyFaults()
{
    std::deque<Fault> faults;
    for (int n = *rc::gen::inRange(0, 6); n > 0; --n) {
        faults.push_back(static_cast<Fault>(*rc::gen::inRange(0, 7)));
    }
    return faults;
}

std::vector<std::string> anyWords()
{
    switch (*rc::gen::inRange(0, 3)) {
    case 0:
        return {"key", "add", "acme", "--id", "k" + std::to_string(*rc::gen::inRange(0, 3))};
    case 1:
        return {"key", "withdraw", "acme", "k" + std::to_string(*rc::gen::inRange(0, 3))};
    default:
        return {"apply", "-"};
    }
}

} // namespace

BOOST_AUTO_TEST_CASE(the_exit_status_tells_the_truth_over_a_faulty_link)
{
    const bool passed = rc::check([] {
        Desk desk;
        for (int n = 0; n < 12; ++n) {
            const std::uint64_t before = desk.version();
            const auto faults = anyFaults();
            desk.entry.m_faults = faults;
            const auto ran = desk.type(anyWords());
            desk.entry.m_faults.clear();
            desk.entry.deliverLate();
            const std::uint64_t changes = desk.version() - before;
            RC_ASSERT(changes <= 1U);
            RC_ASSERT((ran.status != ExitStatus::Done || changes == 1U));
            RC_ASSERT((ran.status != ExitStatus::Refused || changes == 0U));
            RC_ASSERT((!faults.empty() || ran.status != ExitStatus::Unknown));
        }
    });
    BOOST_TEST(passed);
}

BOOST_AUTO_TEST_CASE(apply_reads_the_base_first_and_loses_a_race_with_words)
{
    Desk desk;
    BOOST_TEST(desk.type({"apply", "-"}).out == "version 1 is in force\n");
    BOOST_TEST((desk.entry.m_calls == std::vector<std::string>{std::string(SHOW_PATH), std::string(APPLY_PATH)}));
    const auto lost = desk.type({"apply", "-", "--base", "0", "--base-digest", "d"});
    BOOST_TEST(static_cast<int>(lost.status) == 1);
    BOOST_TEST(lost.err.starts_with("refused (base_mismatch): the change was made from version 0, but version 1"));
    const auto bad = desk.type({"apply", "-"}, "[[organisation]]\n");
    BOOST_TEST(bad.err.starts_with("refused (invalid_document): -: organisation[0].name: is missing"));
    const auto show = desk.type({"show"});
    BOOST_TEST(show.out.starts_with("# version 1, digest "));
    BOOST_TEST(show.out.find("name = \"acme\"") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(an_unknown_outcome_is_told_with_the_way_to_learn_it)
{
    Desk desk;
    desk.entry.m_faults = {Fault::None, Fault::AnswerLost, Fault::NotRun, Fault::NotSent, Fault::Garbage};
    const auto ran = desk.type({"apply", "-"});
    BOOST_TEST(static_cast<int>(ran.status) == 3);
    BOOST_TEST(ran.err.find("--change-id s1 ") != std::string::npos);
    const auto again = desk.type({"apply", "-", "--change-id", "s1", "--json"});
    BOOST_TEST(static_cast<int>(again.status) == 0);
    BOOST_TEST(again.out.find("\"version\":1") != std::string::npos);
    BOOST_TEST(desk.version() == 1U);
}

BOOST_AUTO_TEST_CASE(a_key_is_shown_once_and_only_its_hash_travels)
{
    Desk desk;
    static_cast<void>(desk.type({"apply", "-"}));
    const auto added = desk.type({"key", "add", "acme", "--id", "first"});
    const auto at = added.out.find("bm-");
    BOOST_REQUIRE(at != std::string::npos);
    const std::string key = added.out.substr(at, added.out.find('\n', at) - at);
    const auto document = desk.entry.m_machine.configuration().document();
    BOOST_TEST(config::findByKey(*document, base::sha256(key))->name == "acme");
    BOOST_TEST(desk.entry.m_machine.snapshot().find(key) == std::string::npos);
    const auto refused = desk.type({"key", "add", "acme", "--id", "first"});
    BOOST_TEST(static_cast<int>(refused.status) == 1);
    BOOST_TEST(refused.out.find("bm-") == std::string::npos);
    BOOST_TEST(static_cast<int>(desk.type({"key", "withdraw", "acme", "first"}).status) == 0);
}
