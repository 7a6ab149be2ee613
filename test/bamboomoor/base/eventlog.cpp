/**
 * Tests of the event log: lines are bounded, and a reader that does not read costs lines and no time.
 */
#include "bamboomoor/base/eventlog.hpp"

#include <boost/test/unit_test.hpp>

#include <array>
#include <fcntl.h>
#include <string>
#include <unistd.h>

using namespace bamboomoor;

namespace
{

struct Pipe {
    Pipe()
    {
        BOOST_REQUIRE(pipe(ends.data()) == 0);
    }
    ~Pipe()
    {
        close(ends[0]);
        close(ends[1]);
    }
    Pipe(const Pipe &) = delete;
    Pipe &operator=(const Pipe &) = delete;

    [[nodiscard]] std::string readAll() const
    {
        fcntl(ends[0], F_SETFL, O_NONBLOCK);
        std::string out;
        std::array<char, 4'096> buf{};
        for (ssize_t n = 0; (n = read(ends[0], buf.data(), buf.size())) > 0;) {
            out.append(buf.data(), static_cast<std::size_t>(n));
        }
        return out;
    }

    std::array<int, 2> ends{};
};

base::EventLogOptions optionsFor(const Pipe &pipe)
{
    base::EventLogOptions options;
    options.descriptor = pipe.ends[1];
    options.interval = {1};
    options.writeTimeout = {20};
    return options;
}

} // namespace

BOOST_AUTO_TEST_SUITE(event_log)

BOOST_AUTO_TEST_CASE(fields_that_need_it_are_quoted_and_empty_ones_left_out)
{
    base::LogLine line("refused");
    line.add("id", "r-1").add("why", "it is \"late\"\n").add("none", "").add("age_ms", base::Millis{7});
    BOOST_TEST(line.text() == "event=refused id=r-1 why=\"it is \\\"late\\\" \" age_ms=7");
}

BOOST_AUTO_TEST_CASE(lines_beyond_the_rate_of_their_kind_are_left_out_and_counted)
{
    const Pipe pipe;
    base::EventLogOptions options = optionsFor(pipe);
    options.linesPerSecond = 5;
    {
        base::EventLog log(options);
        for (int n = 0; n < 1'000; ++n) {
            log.write(base::LogLine("busy"));
        }
        log.write(base::LogLine("other"));
        // A second may begin in between, so that at most two seconds' worth was written.
        BOOST_TEST(log.counters().written <= 11U);
        BOOST_TEST(log.counters().overRate >= 990U);
    }
    const std::string text = pipe.readAll();
    BOOST_TEST(text.find("event=busy") != std::string::npos);
    BOOST_TEST(text.find("event=other") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_reader_that_does_not_read_costs_lines_and_holds_nobody_up)
{
    const Pipe pipe;
    base::EventLogOptions options = optionsFor(pipe);
    options.linesPerSecond = 1'000'000;
    options.bufferBytes = 65'536;
    base::EventLog log(options);
    for (int n = 0; n < 100'000; ++n) {
        log.write(base::LogLine("line").add("n", n));
    }
    const base::EventLogCounters counters = log.counters();
    BOOST_TEST(counters.overBuffer > 0U);
    BOOST_TEST(counters.written + counters.overBuffer + counters.overRate == 100'000U);
}

BOOST_AUTO_TEST_SUITE_END()
