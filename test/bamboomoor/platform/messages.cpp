/**
 * Tests of the adapter: each message is read into the product's types, and broken ones get a clear answer.
 */
#include "bamboomoor/config/parse.hpp"
#include "bamboomoor/membership/codec.hpp"
#include "bamboomoor/membership/registry.hpp"
#include "platform/announcements.hpp"
#include "platform/callers.hpp"
#include "platform/control.hpp"
#include "platform/manifest.hpp"
#include "platform/orders.hpp"
#include "platform/upstreams.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <string>

using namespace bamboomoor;
using namespace bamboomoor::platform;

namespace
{

const std::string MANIFEST = R"({"version":7,"routes":[
{"name":"r1","host":"A.example","path_prefix":"/p/","kind":"streaming","timeout_ms":20000,"target_latency_ms":10000,
 "priority":1,"service":"llm","max_attempts":1,"public":false,"sticky":true,"resumable":false,"target_gap_ms":400},
{"name":"r2","host":"a.example","path_prefix":"/q/","kind":"non_idempotent","timeout_ms":2000,"target_latency_ms":300,
 "priority":2,"split":[{"service":"llm","weight":0},{"service":"app","weight":10}],"max_attempts":2,"public":true}],
"services":[{"name":"llm","health_path":"/h","max_connections":370,"engine":{"slots":64,"kv_capacity":120424,
 "models":[{"name":"m","weights_mb":65099.99999999999,"load_s":9.0,"adapters":47,"adapter_mb":12.0}],
 "weights_mb":220000.0,"adapter_slots":5,"loads_per_s":2.1}},{"name":"app","health_path":"/h","max_connections":110}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"t","api_keys":["k1","k2"],"priority":1,"unit":"tokens","plain_tokens":200,"rate_per_s":73479,
 "burst":73479},{"name":"free","api_keys":[]}]})";

std::string without(const std::string &text, const std::string &part, const std::string &other = "")
{
    std::string out = MANIFEST;
    const std::size_t at = out.find(text);
    BOOST_REQUIRE(at != std::string::npos);
    out.replace(out.find(part, at), part.size(), other);
    return out;
}

bool isAccepted(const std::string &body)
{
    const auto manifest = readManifest(body);
    return manifest && !config::check(manifest.value().document).has_value();
}

http::Request request(http::Headers headers)
{
    http::Request out;
    out.method = "POST";
    out.path = "/p/x";
    out.headers = std::move(headers);
    return out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(manifest)

BOOST_AUTO_TEST_CASE(a_manifest_is_read_into_the_products_document)
{
    const auto read = readManifest(MANIFEST);
    BOOST_REQUIRE(read.has_value());
    const config::Document &document = read.value().document;
    BOOST_TEST(read.value().version == 7U);
    BOOST_TEST(document.relays[0].host == "a.example");
    BOOST_TEST((document.relays[0].repeat == config::Repeat::Stream));
    BOOST_TEST(document.relays[0].pauseObjective.count == 400);
    BOOST_TEST(document.relays[1].shares[1].service == "app");
    BOOST_TEST(document.relays[1].open);
    BOOST_TEST(document.services[0].engine->memoryMib == 220'000);
    BOOST_TEST(document.services[0].engine->loadsPerSecondMilli == 2'100);
    BOOST_TEST(document.models[0].memoryMib == 65'100);
    BOOST_TEST(document.models[0].numberedAdapters == 47);
    BOOST_TEST(document.organisations[0].keys.size() == 2U);
    BOOST_TEST(document.organisations[0].rate == 73'479);
    BOOST_TEST(!document.organisations[0].unlimited);
    BOOST_TEST(document.organisations[1].unlimited);
    BOOST_TEST(!config::check(document).has_value());
    const auto again = config::parse(config::print(document));
    BOOST_REQUIRE(again.has_value());
    BOOST_TEST((again.value() == document));
}

BOOST_AUTO_TEST_CASE(what_is_invalid_is_not_accepted)
{
    BOOST_TEST(isAccepted(MANIFEST));
    BOOST_TEST(!isAccepted(MANIFEST.substr(0, MANIFEST.size() / 2)));
    BOOST_TEST(!isAccepted(without("r1", "\"llm\"", "\"nobody\"")));
    BOOST_TEST(!isAccepted(without("r2", "\"/q/\"", "\"/p/\"")));
    BOOST_TEST(!isAccepted(without("split", ":10}", ":0}")));
    BOOST_TEST(!isAccepted(without("r1", "20000", "0")));
    BOOST_TEST(!isAccepted(without("tenants", "\"k2\"", "\"k1\"")));
    BOOST_TEST(!isAccepted(without("version", "7", "0")));
    BOOST_TEST(!isAccepted(without("r1", "\"streaming\"", "\"other\"")));
    BOOST_TEST(!isAccepted(without("r1", "\"public\":false", "\"public\":3")));
}

// review/6: a manifest whose last tenant had been taken out opened every route to everybody.
BOOST_AUTO_TEST_CASE(only_a_manifest_without_a_list_of_tenants_needs_no_keys)
{
    const std::size_t list = MANIFEST.find(",\n\"tenants\"");
    BOOST_REQUIRE(list != std::string::npos);
    const std::string untilTenants = MANIFEST.substr(0, list);
    const auto openRoutes = [](const std::string &body) {
        const auto manifest = readManifest(body);
        BOOST_REQUIRE(manifest.has_value());
        const auto stored = config::parse(config::print(manifest.value().document));
        BOOST_REQUIRE(stored.has_value());
        BOOST_TEST(stored.value().organisations.empty());
        const auto &relays = stored.value().relays;
        return std::count_if(relays.begin(), relays.end(), [](const config::Relay &it) {
            return it.open;
        });
    };
    // One of the two routes is public.
    BOOST_TEST(openRoutes(untilTenants + R"(,"tenants":[]})") == 1);
    BOOST_TEST(openRoutes(untilTenants + "}") == 2);
    // Some writers print an empty list as null.
    BOOST_TEST(!isAccepted(untilTenants + R"(,"tenants":null})"));
}

BOOST_AUTO_TEST_CASE(a_number_out_of_range_makes_a_manifest_invalid)
{
    for (const char *number : {"1e308", "1e400", "18446744073709551616", "-1", "-1e308", "9223372036854775808"}) {
        BOOST_TEST(!isAccepted(without("r1", "20000", number)), number);
        BOOST_TEST(!isAccepted(without("r1", "\"max_attempts\":1", std::string("\"max_attempts\":") + number)), number);
        BOOST_TEST(!isAccepted(without("services", "370", number)), number);
        BOOST_TEST(!isAccepted(without("tenants", "73479", number)), number);
        BOOST_TEST(!isAccepted(without("limits", "16384", number)), number);
        BOOST_TEST(!isAccepted(without("split", ":10}", std::string(":") + number + "}")), number);
        BOOST_TEST(!isAccepted(without("engine", "2.1", number)), number);
    }
}

BOOST_AUTO_TEST_CASE(no_bytes_stop_the_reader)
{
    BOOST_TEST(rc::check([] {
        std::string body = MANIFEST;
        const int changes = *rc::gen::inRange(1, 6);
        for (int n = 0; n < changes; ++n) {
            const auto at = *rc::gen::inRange<std::size_t>(0, body.size());
            body[at] = *rc::gen::arbitrary<char>();
        }
        const auto manifest = readManifest(body);
        if (manifest && !config::check(manifest.value().document)) {
            static_cast<void>(config::parse(config::print(manifest.value().document)));
        }
        static_cast<void>(readHeartbeat("i", body));
    }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(cold_and_evacuated)

BOOST_AUTO_TEST_CASE(a_manifest_states_what_cold_upstreams_tolerate)
{
    const auto read = readManifest(without(
        "\"llm\",\"health", "\"max_connections\":370", R"("max_connections":370,"cold_start_s":3.0,"cold_per_s":8.2)"));
    BOOST_REQUIRE(read.has_value());
    const config::Service &service = read.value().document.services.front();
    BOOST_TEST(service.coldRateMilli == 8'200);
    BOOST_TEST(service.coldSpan.count == 3'000);
    const auto parsed = config::parse(config::print(read.value().document));
    BOOST_REQUIRE(parsed.has_value());
    BOOST_TEST((parsed.value() == read.value().document));
}

BOOST_AUTO_TEST_CASE(a_manifest_without_cold_upstreams_is_printed_as_before)
{
    const auto read = readManifest(MANIFEST);
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST(config::print(read.value().document).find("cold") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_heartbeat_says_for_how_long_the_upstream_stays_cold)
{
    const auto coldFor = [](const std::string &value) {
        const auto read = readHeartbeat("i-1",
            R"({"service":"llm","address":"10.0.0.1:80","zone":"z","state":"ready","sequence":4,"cold_remaining_ms":)"
                + value + "}");
        return read ? read.value().coldRemaining.count : -1;
    };
    BOOST_TEST(coldFor("0") == 0);
    BOOST_TEST(coldFor("1800") == 1'800);
    BOOST_TEST(coldFor("1800.5") == 1'800);
    BOOST_TEST(coldFor("-5") == 0);
    BOOST_TEST(coldFor("1e300") == 600'000);
    BOOST_TEST(coldFor("\"soon\"") == -1);
    BOOST_TEST(coldFor("null") == -1);
}

BOOST_AUTO_TEST_CASE(evacuations_name_their_data_centre)
{
    const Control control;
    http::Request request;
    request.method = "POST";
    request.path = "/Evacuation.Begin/kozep-a";
    auto call = control.read(request);
    BOOST_REQUIRE(std::holds_alternative<gateway::EvacuateCall>(call));
    BOOST_TEST(std::get<gateway::EvacuateCall>(call).dataCentre == "kozep-a");
    BOOST_TEST(std::get<gateway::EvacuateCall>(call).evacuated);
    request.path = "/Evacuation.Finish/kozep-a";
    call = control.read(request);
    BOOST_REQUIRE(std::holds_alternative<gateway::EvacuateCall>(call));
    BOOST_TEST(!std::get<gateway::EvacuateCall>(call).evacuated);
    request.method = "GET";
    BOOST_TEST(std::holds_alternative<gateway::BadCall>(control.read(request)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(heartbeats)

BOOST_AUTO_TEST_CASE(a_heartbeat_becomes_an_announcement)
{
    const auto read = readHeartbeat("i-1", R"({"service":"llm","address":"10.0.0.1:80","zone":"z","state":"draining",
        "born":1785757233099,"sequence":4,"models":[{"name":"m","version":1,"adapters":["a1"]}],
        "available":{"in_memory":["x"],"on_disk":["m",3]}})");
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST(read.value().id == "i-1");
    BOOST_TEST(read.value().incarnation == 1'785'757'233'099U);
    BOOST_TEST(read.value().leaving);
    BOOST_TEST(read.value().accelerators[0].resident.size() == 2U);
    BOOST_TEST(read.value().localCopies.size() == 2U);
}

BOOST_AUTO_TEST_CASE(a_broken_heartbeat_names_no_upstream)
{
    const char *broken[] = {"", "[]", "{}", R"({"service":"s","address":"nowhere","state":"ready","sequence":1})",
        R"({"service":"s","address":"10.0.0.1:80","state":"asleep","sequence":1})",
        R"({"service":"s","address":"10.0.0.1:80","state":"ready","sequence":"1"})",
        R"({"service":3,"address":"10.0.0.1:80","state":"ready","sequence":1})",
        R"({"service":"s","address":"10.0.0.1:80","state":"ready","sequence":1,"models":[{}]})"};
    for (const char *it : broken) {
        BOOST_TEST(!readHeartbeat("i-1", it).has_value(), it);
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(foreign_heartbeats)

namespace
{

const std::string HEARTBEAT = R"({"service":"s","address":"10.0.0.1:80","zone":"z","version":"v1","slots":64,)"
                              R"("state":"ready","cold_remaining_ms":0,"stage":"both","born":1785757233099,)"
                              R"("sequence":4,"models":[{"name":"m","version":1,"adapters":["a1"]}],)"
                              R"("available":{"in_memory":["x"],"on_disk":["m"]},"pending":["m/a2@1"]})";

const std::vector<std::string> FIELDS{"service", "address", "zone", "version", "slots", "state", "cold_remaining_ms",
    "stage", "born", "sequence", "models", "available", "pending", "name", "adapters", "in_memory"};

const std::vector<std::string> VALUES{"null", "true", "-1", "1.5", "1e308", "1e400", "9007199254740992",
    "18446744073709551615", "18446744073709551616", "\"\"", R"("\u0000")", R"("a\r\nb")", "\"\xff\"", "[]", "{}",
    R"([""])", R"(["/"])", R"(["/a@1"])", R"(["m/"])", R"([{"name":"","version":1e300}])", R"("10.0.0.1:0")",
    R"("10.0.0.1:65536")", R"("10.0.0.1:-1")", R"("10.0.0.1:99999999999")", R"("10.0.0.1\u0000x:80")", R"("10.0.0.1")",
    R"("[::1]:80")", R"("localhost:80")", '"' + std::string(300, 'x') + '"', "[\"" + std::string(300, 'x') + "\"]",
    R"([{"name":"m","adapters":[""]}])", R"([{"name":"m","adapters":[")" + std::string(300, 'x') + "\"]}]",
    std::string(100'000, '[') + std::string(100'000, ']'), std::string(100'000, '['), "\"open"};

const std::vector<std::string> IDS{
    "i-1", "i\xff", "i\r\nHost: x", std::string("i\0j", 3), std::string(300, 'i'), "i j", "\xc3\xa9"};

std::string withField(std::string body, const std::string &field, const std::string &value)
{
    const std::size_t at = body.find('"' + field + "\":");
    if (at == std::string::npos) {
        return body;
    }
    const std::size_t begin = at + field.size() + 3;
    const char open = body[begin];
    const char close = open == '[' ? ']' : '}';
    std::size_t end = begin;
    if (open == '[' || open == '{') {
        for (int depth = 0; end < body.size(); ++end) {
            depth += body[end] == open ? 1 : body[end] == close ? -1 : 0;
            if (depth == 0) {
                ++end;
                break;
            }
        }
    } else {
        end = std::min(body.find_first_of(",}", begin), body.size());
    }
    return body.replace(begin, end - begin, value);
}

/** @brief Tells whether what was read reaches another registry unchanged. */
bool isReplicated(const membership::Announcement &announcement)
{
    membership::Registry here;
    here.announce({1'000}, announcement);
    const auto delta = membership::parseDelta(membership::encodeDelta(here.changesSince({1'001}, {})));
    membership::Registry there;
    if (!delta || there.merge({1'001}, delta.value()).changed != 1U) {
        return false;
    }
    const membership::Entry *entry = there.find({1'002}, announcement.id);
    return entry != nullptr && entry->announcement == announcement;
}

} // namespace

BOOST_AUTO_TEST_CASE(a_heartbeat_that_is_accepted_reaches_the_other_daemons)
{
    BOOST_REQUIRE(readHeartbeat("i-1", HEARTBEAT).has_value());
    for (const std::string &id : IDS) {
        const auto read = readHeartbeat(id, HEARTBEAT);
        BOOST_TEST((!read || isReplicated(read.value())), "id " << id.substr(0, 40));
    }
    for (const std::string &id :
        {std::string("i\r\nHost: x"), std::string("i\0j", 3), std::string("i j"), std::string()}) {
        BOOST_TEST(!readHeartbeat(id, HEARTBEAT).has_value());
    }
    for (const std::string &field : FIELDS) {
        for (const std::string &value : VALUES) {
            const auto read = readHeartbeat("i-1", withField(HEARTBEAT, field, value));
            BOOST_TEST((!read || isReplicated(read.value())), field << " " << value.substr(0, 40));
        }
    }
}

BOOST_AUTO_TEST_CASE(no_mutation_of_a_heartbeat_stops_the_reader_or_the_daemons_after_it)
{
    BOOST_TEST(rc::check([] {
        std::string body = HEARTBEAT;
        const int changes = *rc::gen::inRange(1, 5);
        for (int n = 0; n < changes; ++n) {
            body = withField(body, *rc::gen::elementOf(FIELDS), *rc::gen::elementOf(VALUES));
        }
        const auto read = readHeartbeat(*rc::gen::elementOf(IDS), body);
        const bool passed = !read || isReplicated(read.value());
        RC_ASSERT(passed);
        static_cast<void>(Orders().readInspection(200, body));
        static_cast<void>(readManifest(body));
    }));
}

BOOST_AUTO_TEST_CASE(a_huge_heartbeat_does_not_fill_the_message_that_carries_all_upstreams)
{
    std::string models = "[";
    for (int n = 0; n < 200'000; ++n) {
        models += R"({"name":"model-)" + std::to_string(n) + "\"},";
    }
    models.back() = ']';
    BOOST_TEST(!readHeartbeat("i-1", withField(HEARTBEAT, "models", models)).has_value());
}

BOOST_AUTO_TEST_CASE(a_heartbeat_with_a_number_too_large_does_not_overtake_those_of_the_worker)
{
    for (const char *field : {"born", "sequence"}) {
        for (const char *value : {"18446744073709551615", "18446744073709551616", "9007199254740992", "1e308", "1e400",
                 "-1", "1.5", "null", "\"4\""}) {
            BOOST_TEST(!readHeartbeat("i-1", withField(HEARTBEAT, field, value)).has_value(), field << " " << value);
        }
    }
    BOOST_TEST(readHeartbeat("i-1", withField(HEARTBEAT, "born", "9007199254740991")).has_value());
}

BOOST_AUTO_TEST_CASE(a_heartbeat_whose_address_does_not_end_with_its_text_names_no_upstream)
{
    for (const char *address : {R"("10.0.0.1\u0000x:80")", R"("10.0.0.1:80\u0000")", R"("10.0.0.1\n:80")",
             R"("[::1\u0000]:80")", R"("10.0.0.1:+80")", R"("10.0.0.1: 80")", R"(":80")", R"("[10.0.0.1]:80")"}) {
        BOOST_TEST(!readHeartbeat("i-1", withField(HEARTBEAT, "address", address)).has_value(), address);
    }
    BOOST_TEST(readHeartbeat("i-1", withField(HEARTBEAT, "address", R"("[2001:db8::1]:80")")).has_value());
}

BOOST_AUTO_TEST_CASE(a_refused_call_gives_a_short_reason_that_names_its_sender)
{
    http::Request call;
    call.method = "POST";
    call.body = "[[[";
    for (const char *path : {"/Instances.Heartbeat/i-9", "/i-9"}) {
        call.path = path + std::string(10'000, '\xff');
        const gateway::ControlCall read = Control().read(call);
        const auto *bad = std::get_if<gateway::BadCall>(&read);
        BOOST_REQUIRE(bad != nullptr);
        BOOST_TEST(bad->reason.size() < 1'000U);
        BOOST_TEST(bad->reason.find("i-9") != std::string::npos);
        BOOST_TEST(bad->answer.status >= 400);
    }
}

BOOST_AUTO_TEST_CASE(a_report_never_names_a_model_without_a_name)
{
    const auto found = Orders().readInspection(200,
        R"({"models":[{"name":"m","adapters":[""]}],"busy":false,"sequence":2,"pending":["/a7@1","m/","m/@2","/"]})");
    if (found) {
        BOOST_TEST(found->holdings.models.size() == 1U);
        BOOST_TEST(found->holdings.models.at("m").empty());
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(callers_and_upstreams)

BOOST_AUTO_TEST_CASE(token_counts_of_any_size_can_be_added)
{
    const std::string most = std::to_string(INT64_MAX);
    const auto read = Callers().read(request({{"X-Attempt-Id", "r"}, {"X-Token-Usage", most + "," + most},
        {"X-Prompt-Prefix", "a:" + most + ",b:" + most}}));
    BOOST_REQUIRE(read.has_value());
    constexpr std::int64_t LARGEST_LIMIT = 1'000'000'000'000;
    BOOST_TEST(*read.value().promptTokens >= LARGEST_LIMIT);
    BOOST_TEST(*read.value().promptTokens <= INT64_MAX / 1'000'000);
    BOOST_TEST(*read.value().maxTokens <= INT64_MAX / 1'000'000);
    for (const relay::PromptPart &it : read.value().parts) {
        BOOST_TEST(it.tokens <= INT64_MAX / 1'000'000);
    }
}

BOOST_AUTO_TEST_CASE(a_closure_up_to_no_date_at_all_is_not_endless)
{
    const auto head =
        Upstreams().readHead(503, {{"Date", "Fri, 04 Dec 2026 12:00:00 GMT"}, {"Retry-After", "infinite-future"}}, "r");
    BOOST_TEST((!head.signal.closedFor || head.signal.closedFor->count <= 1'000'000'000));
    const auto far =
        Upstreams().readHead(503, {{"Date", "infinite-past"}, {"Retry-After", "Fri, 04 Dec 9999 12:00:00 GMT"}}, "r");
    BOOST_TEST((!far.signal.closedFor || far.signal.closedFor->count <= 1'000'000'000));
}

BOOST_AUTO_TEST_CASE(a_request_is_read_and_nothing_of_the_callers_own_reaches_an_upstream)
{
    const Callers callers;
    auto read = callers.read(request({{"Host", "A.Example:80"}, {"X-Attempt-Id", "r1"}, {"X-Deadline-Ms", "5000"},
        {"X-Model", "m/a3"}, {"X-Token-Usage", "1460,80"}, {"X-Prompt-Prefix", "5c:800,91:410"},
        {"Authorization", "Bearer secret"}, {"X-Tenant", "other"}, {"X-Pin-Ms", "9"}, {"X-Hold", "h"},
        {"X-Kv-Backup", "b"}, {"Kv-From", "f"}, {"X-Expect-Instance", "i"}, {"X-Length-Hint", "7"}}));
    BOOST_REQUIRE(read.has_value());
    const relay::Request &it = read.value();
    BOOST_TEST(it.host == "a.example");
    BOOST_TEST(it.timeout->count == 5'000);
    BOOST_TEST(it.model == "m");
    BOOST_TEST(it.adapter == "a3");
    BOOST_TEST(*it.promptTokens + *it.maxTokens == 1'540);
    BOOST_TEST(it.parts.size() == 2U);
    BOOST_TEST(it.key == "secret");
    relay::Attempt attempt;
    attempt.address = "10.0.0.1:80";
    attempt.upstream = "i-1";
    attempt.organisation = "acme";
    attempt.remaining = {4'200};
    const http::Call call = Upstreams().call(attempt, it);
    BOOST_TEST(call.url == "http://10.0.0.1:80/p/x");
    BOOST_TEST(http::headerValue(call.headers, "X-Tenant") == "acme");
    BOOST_TEST(http::headerValue(call.headers, "X-Deadline-Ms") == "4200");
    BOOST_TEST(http::headerValue(call.headers, "X-Expect-Instance") == "i-1");
    BOOST_TEST(http::headerValue(call.headers, "X-Attempt-Id") == "r1");
    BOOST_TEST(http::headerValue(call.headers, "X-Length-Hint") == "7");
    for (const char *name : {"Authorization", "X-Pin-Ms", "X-Hold", "X-Kv-Backup", "Kv-From"}) {
        BOOST_TEST((http::findHeader(call.headers, name) == nullptr), name);
    }
}

BOOST_AUTO_TEST_CASE(a_request_that_cannot_be_read_gets_a_clear_answer)
{
    const Callers callers;
    BOOST_TEST(callers.read(request({})).error().status == 400);
    BOOST_TEST(callers.read(request({{"X-Attempt-Id", "r"}, {"X-Deadline-Ms", "soon"}})).error().status == 400);
    BOOST_TEST(callers.read(request({{"X-Attempt-Id", "r"}, {"X-Token-Usage", "12"}})).error().status == 400);
}

BOOST_AUTO_TEST_CASE(a_status_says_not_run_only_where_that_is_known)
{
    const Callers callers;
    for (std::size_t n = 0; n < relay::REASON_NAMES.size(); ++n) {
        const auto reason = static_cast<relay::Reason>(n);
        const int ran = callers.refusal({reason, false, {}}, "r").status;
        const bool alwaysBefore = reason == relay::Reason::RateExceeded || reason == relay::Reason::UnknownRoute
            || reason == relay::Reason::UnknownKey;
        BOOST_TEST((alwaysBefore || ran == 502 || ran == 504), relay::REASON_NAMES.name(reason));
    }
    const http::Response late = callers.refusal({relay::Reason::Busy, true, {1'250}}, "r");
    BOOST_TEST(late.status == 503);
    BOOST_TEST(http::headerValue(late.headers, "Retry-After") == "1.250");
}

BOOST_AUTO_TEST_CASE(the_head_of_an_answer_tells_whose_it_is_and_whether_it_ran)
{
    const Upstreams upstreams;
    const auto own =
        upstreams.readHead(200, {{"X-Attempt-Id", "r"}, {"X-Server-Signature", "s"}, {"Connection", "close"}}, "r");
    BOOST_TEST((own.owner == relay::ResponseOwner::Same));
    BOOST_TEST(own.isSigned);
    BOOST_TEST((http::findHeader(own.headers, "Connection") == nullptr));
    BOOST_TEST((upstreams.readHead(200, {{"X-Attempt-Id", "q"}}, "r").owner == relay::ResponseOwner::Other));
    BOOST_TEST(upstreams.readHead(503, {{"X-Not-Executed", "1"}}, "r").notRun);
    BOOST_TEST(upstreams.readHead(421, {}, "r").misdirected);
    for (const char *type : {"text/event-stream", "text/event-stream; charset=utf-8", "Text/Event-Stream ;a=b"}) {
        BOOST_TEST(upstreams.readHead(200, {{"content-type", type}}, "r").isEventStream, type);
    }
    for (const char *type : {"", "text/plain", "text/event-streams", "application/json"}) {
        BOOST_TEST(!upstreams.readHead(200, {{"Content-Type", type}}, "r").isEventStream, type);
    }
    const auto coded = upstreams.readHead(200, {{"X-Server-Signature", "s"}, {"Content-Encoding", "gzip"}}, "r");
    BOOST_TEST(!coded.isSigned);
}

BOOST_AUTO_TEST_CASE(an_answer_of_a_status_that_follows_a_run_is_not_taken_for_not_run)
{
    const Upstreams upstreams;
    for (int status = 200; status < 600; ++status) {
        const bool refuses = status == 400 || status == 421 || status == 429 || status == 503;
        BOOST_TEST(upstreams.readHead(status, {{"X-Not-Executed", "1"}}, "r").notRun == refuses, status);
        BOOST_TEST(!upstreams.readHead(status, {}, "r").notRun, status);
    }
}

BOOST_AUTO_TEST_CASE(an_upstream_that_leaves_says_so_in_answers_of_any_status)
{
    const Upstreams upstreams;
    for (const int status : {200, 421, 500, 503}) {
        BOOST_TEST(upstreams.readHead(status, {{"server-leaving", "1"}}, "r").signal.leaving);
        BOOST_TEST(!upstreams.readHead(status, {}, "r").signal.leaving);
    }
    BOOST_TEST(!upstreams.readHead(200, {{"Server-Leaving", "0"}}, "r").signal.leaving);
}

BOOST_AUTO_TEST_CASE(the_longest_readable_closure_of_a_refusal_counts)
{
    const Upstreams upstreams;
    const std::string date = "Fri, 04 Dec 2026 12:00:00 GMT";
    const auto closedFor = [&](const http::Headers &headers) {
        return upstreams.readHead(503, headers, "r").signal.closedFor.value_or(base::Millis{-1}).count;
    };
    BOOST_TEST(closedFor({}) == -1);
    BOOST_TEST(closedFor({{"Retry-After", "0"}}) == 0);
    BOOST_TEST(closedFor({{"retry-after", "1.25"}}) == 1'250);
    BOOST_TEST(closedFor({{"Retry-After", "2"}, {"Retry-After", "3"}}) == 3'000);
    BOOST_TEST(closedFor({{"Retry-After", std::string(400, '9')}}) == 1'000'000'000);
    BOOST_TEST(closedFor({{"Date", date}, {"Retry-After", "Fri, 04 Dec 2026 12:00:03 GMT"}}) == 3'000);
    BOOST_TEST(closedFor({{"Date", date}, {"Retry-After", "Fri, 04 Dec 2026 11:00:00 GMT"}}) == 0);
    for (const char *it : {"", "-1", "soon", "nan", "Fri, 04 Dec 2026 12:00:03 GMT"}) {
        BOOST_TEST_CONTEXT(it)
        {
            BOOST_TEST(upstreams.readHead(503, {{"Retry-After", it}}, "r").signal.malformed);
            BOOST_TEST(closedFor({{"Retry-After", it}}) == -1);
        }
    }
    BOOST_TEST(!upstreams.readHead(429, {{"Retry-After", "3"}}, "r").signal.closedFor);
}

BOOST_AUTO_TEST_CASE(the_strictest_readable_bound_of_a_brittle_upstream_counts)
{
    const Upstreams upstreams;
    const auto boundOf = [&](int status, const http::Headers &headers) {
        return upstreams.readHead(status, headers, "r").signal.brittle;
    };
    for (const int status : {200, 421, 500, 503}) {
        BOOST_TEST(!boundOf(status, {}));
        BOOST_TEST((boundOf(status, {{"server-brittle", " 12 "}}) == 12));
    }
    BOOST_TEST((boundOf(200, {{"Server-Brittle", "0"}}) == 0));
    BOOST_TEST((boundOf(200, {{"Server-Brittle", "2.9"}}) == 2));
    BOOST_TEST((boundOf(200, {{"Server-Brittle", "9"}, {"Server-Brittle", "4"}, {"Server-Brittle", "x"}}) == 4));
    BOOST_TEST((boundOf(200, {{"Server-Brittle", std::string(400, '9')}}) == 1'000'000));
    for (const char *it : {"", "x", "-1", "nan", "inf", "1e3", "5 a second", "1,5"}) {
        BOOST_TEST_CONTEXT(it)
        {
            const auto head = upstreams.readHead(200, {{"Server-Brittle", it}}, "r");
            BOOST_TEST(!head.signal.brittle);
            BOOST_TEST(head.signal.malformed);
        }
    }
}

BOOST_AUTO_TEST_CASE(the_announced_slots_are_kept_if_they_are_readable)
{
    const auto slotsOf = [](const std::string &field) {
        const auto read = readHeartbeat(
            "i-1", R"({"service":"llm","address":"10.0.0.1:80","zone":"z","state":"ready","sequence":1)" + field + "}");
        BOOST_REQUIRE(read.has_value());
        return read.value().slots;
    };
    BOOST_TEST(slotsOf(R"(,"slots":64)") == 64U);
    for (const char *it : {"", R"(,"slots":-1)", R"(,"slots":"6")", R"(,"slots":null)", R"(,"slots":1.5)"}) {
        BOOST_TEST(slotsOf(it) == 0U, it);
    }
}

BOOST_AUTO_TEST_CASE(the_strictest_readable_limit_of_an_answer_counts)
{
    const Upstreams upstreams;
    const auto limitOf = [&](const http::Headers &headers) {
        return upstreams.readHead(200, headers, "r").signal.limit;
    };
    BOOST_TEST(!limitOf({}));
    BOOST_TEST((limitOf({{"server-limit", " 1.6 "}}) == 1'600));
    BOOST_TEST((limitOf({{"Server-Limit", "0"}}) == 0));
    BOOST_TEST((limitOf({{"Server-Limit", "2"}, {"Server-Limit", "1.1"}, {"Server-Limit", "x"}}) == 1'100));
    BOOST_TEST((limitOf({{"Server-Limit", std::string(400, '9')}}) == 1'000'000'000));
    for (const char *it : {"", "x", "-1", "-0.5", "nan", "inf", "1e3", "1.1 a second", "1,5"}) {
        BOOST_TEST_CONTEXT(it)
        {
            const auto head = upstreams.readHead(200, {{"Server-Limit", it}}, "r");
            BOOST_TEST(!head.signal.limit);
            BOOST_TEST(head.signal.malformed);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(orders)

BOOST_AUTO_TEST_CASE(an_order_names_its_sender_and_the_orders_before_it)
{
    const Orders orders;
    placement::ResidencyOrder order;
    order.worker = "i-1";
    order.address = "10.0.0.1:80";
    order.model = "m";
    order.adapter = "a1";
    order.expected = 3;
    const http::Call call = orders.order(order, {"vm-1", 41});
    BOOST_TEST(call.freshConnection);
    BOOST_TEST(call.body
        == R"({"adapter":"a1","expect":3,"fencing_token":41,"holder":"vm-1","model":"m","operation":"load"})");
    BOOST_TEST((orders.readOrder(202) == placement::ResidencyOrderResult::Accepted));
    BOOST_TEST((orders.readOrder(412) == placement::ResidencyOrderResult::Fenced));
    BOOST_TEST((orders.readOrder(500) == placement::ResidencyOrderResult::Unknown));
}

BOOST_AUTO_TEST_CASE(a_report_tells_what_is_held_and_on_its_way)
{
    const auto found = Orders().readInspection(200,
        R"({"models":[{"name":"m","version":1,"adapters":["a1"]}],"busy":false,"sequence":2,"pending":["m/a7@1"]})");
    BOOST_REQUIRE(found.has_value());
    BOOST_TEST(found->orders == 2U);
    BOOST_TEST(found->holdings.models.at("m").size() == 2U);
    BOOST_TEST(!Orders().readInspection(200, "{}").has_value());
    BOOST_TEST(!Orders().readInspection(503, "").has_value());
}

BOOST_AUTO_TEST_CASE(an_inspection_tells_whether_another_process_has_the_address)
{
    BOOST_TEST(Orders().isOtherProcess(421));
    BOOST_TEST(!Orders().isOtherProcess(200));
    BOOST_TEST(!Orders().isOtherProcess(503));
}

BOOST_AUTO_TEST_SUITE_END()
