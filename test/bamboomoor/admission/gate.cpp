/**
 * Tests of the gate, the errors and the stages of a shutdown.
 */
#include "bamboomoor/admission/gate.hpp"
#include "bamboomoor/admission/drain.hpp"
#include "bamboomoor/base/digest.hpp"

#include <boost/test/unit_test.hpp>

using namespace bamboomoor;
using namespace bamboomoor::admission;

namespace
{
class SmallDirectory final : public Directory
{
public:
    [[nodiscard]] std::optional<KeyEntry> findKey(std::string_view keyHash) const override
    {
        return keyHash == base::sha256("secret") ? std::optional(KeyEntry{"school", withdrawn}) : std::nullopt;
    }

    [[nodiscard]] std::optional<TargetEntry> findModel(std::string_view model) const override
    {
        return model == "letters" ? std::optional(TargetEntry{false, {"school"}})
            : model == "ledger"   ? std::optional(TargetEntry{false, {"office"}})
                                  : std::nullopt;
    }

    [[nodiscard]] std::optional<TargetEntry> findRoute(std::string_view route) const override
    {
        return route == "/open" ? std::optional(TargetEntry{true, {}}) : std::nullopt;
    }

    [[nodiscard]] std::uint64_t version() const noexcept override
    {
        return 7;
    }

    bool withdrawn = false;
};

constexpr GateState SERVING{true, false, 100};

std::string_view refusal(const Request &request, const GateState &state, const Directory &directory)
{
    const auto decision = Gate::decide(request, state, directory);
    return decision.has_value() ? "" : REFUSAL_NAMES.name(decision.error());
}
} // namespace

BOOST_AUTO_TEST_CASE(a_request_runs_only_for_its_keys_organisation)
{
    SmallDirectory directory;
    const Request letters{"secret", TargetKind::Model, "letters", 10};
    const Admitted admitted = Gate::decide(letters, SERVING, directory).value();
    BOOST_TEST(admitted.organisation == "school");
    BOOST_TEST(refusal({"", TargetKind::Model, "letters", 10}, SERVING, directory) == "invalid_key");
    BOOST_TEST(refusal({"other", TargetKind::Model, "letters", 10}, SERVING, directory) == "invalid_key");
    BOOST_TEST(refusal({"secret", TargetKind::Model, "ledger", 10}, SERVING, directory) == "wrong_organisation");
    BOOST_TEST(refusal({"secret", TargetKind::Model, "none", 10}, SERVING, directory) == "unknown_model");
    BOOST_TEST(refusal({"secret", TargetKind::Route, "/none", 10}, SERVING, directory) == "unknown_route");
    BOOST_TEST(refusal({"secret", TargetKind::Model, "letters", 101}, SERVING, directory) == "body_too_large");
    BOOST_TEST(refusal(letters, {false, false, 100}, directory) == "not_fresh");
    BOOST_TEST(refusal(letters, {true, true, 100}, directory) == "draining");
    BOOST_TEST(refusal({"", TargetKind::Route, "/open", 10}, {false, false, 100}, directory).empty());
    directory.withdrawn = true;
    BOOST_TEST(refusal(letters, SERVING, directory) == "key_withdrawn");
    BOOST_TEST((Gate::recheck(admitted, true, directory) == Refusal::KeyWithdrawn));
    BOOST_TEST((Gate::recheck(admitted, false, directory) == Refusal::NotFresh));
}

BOOST_AUTO_TEST_CASE(errors_say_not_run_only_where_it_is_known)
{
    BOOST_TEST(toJson({Refusal::RateExceeded, "later", Ran::Yes})
        == R"({"error":{"type":"rate_limit_error","code":"rate_exceeded","message":"later","not_run":true}})");
    BOOST_TEST(toJson({Refusal::OutcomeUnknown, "", Ran::No}).find(R"("not_run":null)") != std::string::npos);
    BOOST_TEST(toJson({Refusal::UpstreamFailed, "", Ran::Yes}).find(R"("not_run":false)") != std::string::npos);
    BOOST_TEST(toJson({Refusal::UpstreamFailed, ""}).find(R"("not_run":null)") != std::string::npos);
    BOOST_TEST(traits(Refusal::Internal).httpStatus == 500);
    BOOST_TEST(retryAfterSeconds({1'001}) == 2);
    BOOST_TEST(retryAfterSeconds(base::NEVER) == 3'600);
}

BOOST_AUTO_TEST_CASE(a_shutdown_announces_itself_and_lets_requests_end)
{
    Drain drain({{100}, {1'000}});
    BOOST_TEST((drain.stage({0}, 0) == DrainStage::Serving && drain.ready()));
    drain.begin({50});
    drain.begin({140});
    BOOST_TEST((drain.stage({149}, 0) == DrainStage::Announcing && !drain.ready()));
    BOOST_TEST((drain.stage({150}, 1) == DrainStage::Finishing));
    BOOST_TEST((drain.stage({150}, 0) == DrainStage::Done));
    BOOST_TEST((drain.stage({1'050}, 1) == DrainStage::Done));
}
