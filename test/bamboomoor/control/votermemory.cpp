/**
 * Tests of the memory and disk that a voter needs for large changes of the configuration, in real size.
 */
#include "bamboomoor/config/parse.hpp"
#include "bamboomoor/control/voterthread.hpp"

#include "wrappedfolder.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <future>
#include <limits>
#include <malloc.h>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <thread>

using namespace bamboomoor;

namespace
{

constexpr std::chrono::seconds LIMIT{30};
constexpr std::chrono::milliseconds PAUSE{10};
// What a control VM has, in bytes; the memory is that of this process with all of its test.
constexpr std::size_t MEMORY = 256'000'000;
constexpr std::uint64_t DISK = 128'000'000;
constexpr int ROUTES = 1'200;

/** @brief A folder on a disk of DISK bytes. */
class SmallDisk final : public control_test::WrappedFolder
{
public:
    SmallDisk(std::unique_ptr<storage::FileSystem> files, const std::filesystem::path &path)
        : WrappedFolder(std::move(files))
    {
        for (const auto &it : std::filesystem::directory_iterator(path)) {
            m_sizes[it.path().filename().string()] = it.file_size();
        }
    }

    [[nodiscard]] storage::Result<void> append(const std::string &name, std::string_view bytes) override
    {
        std::uint64_t used = bytes.size();
        for (const auto &[file, size] : m_sizes) {
            used += size;
        }
        if (used > DISK) {
            return base::failure(storage::StorageError{storage::StorageErrorKind::NoSpace, name, 0, "full"});
        }
        m_sizes[name] += bytes.size();
        return WrappedFolder::append(name, bytes);
    }
    [[nodiscard]] storage::Result<void> truncate(const std::string &name, std::uint64_t size) override
    {
        m_sizes[name] = size;
        return WrappedFolder::truncate(name, size);
    }
    [[nodiscard]] storage::Result<void> rename(const std::string &from, const std::string &to) override
    {
        m_sizes[to] = m_sizes[from];
        m_sizes.erase(from);
        return WrappedFolder::rename(from, to);
    }
    [[nodiscard]] storage::Result<void> remove(const std::string &name) override
    {
        m_sizes.erase(name);
        return WrappedFolder::remove(name);
    }

private:
    std::map<std::string, std::uint64_t> m_sizes;
};

/** @brief The folder of a voter that is its group's only one. */
class Folder
{
public:
    Folder()
    {
        std::string name = (std::filesystem::temp_directory_path() / "bamboomoor-voter-XXXXXX").string();
        BOOST_REQUIRE(mkdtemp(name.data()) != nullptr);
        path = name;
    }
    ~Folder()
    {
        std::filesystem::remove_all(path);
    }
    Folder(const Folder &) = delete;
    Folder &operator=(const Folder &) = delete;

    std::filesystem::path path;
};

/** @brief A voter that is its group's only one; started and leading. */
class Voter
{
public:
    explicit Voter(const Folder &folder)
        : m_peers({})
        , m_voter(optionsOf(folder), m_peers, m_clock)
    {
        const auto started = m_voter.start();
        BOOST_REQUIRE_MESSAGE(started.has_value(), (started ? "" : started.error()));
        const auto end = std::chrono::steady_clock::now() + LIMIT;
        while (!m_voter.status().confirmedAt && std::chrono::steady_clock::now() < end) {
            std::this_thread::sleep_for(PAUSE);
        }
        BOOST_REQUIRE(m_voter.status().confirmedAt.has_value());
    }

    /** @brief Returns whether a change was committed within a time in which an operator repeats it. */
    bool change(std::uint64_t version)
    {
        const std::string payload = payloadOf(version);
        const auto end = std::chrono::steady_clock::now() + LIMIT;
        bool done = false;
        while (!done && std::chrono::steady_clock::now() < end) {
            auto result = std::make_shared<std::promise<bool>>();
            auto committed = result->get_future();
            m_voter.propose(payload, std::nullopt, [result](const control::ProposalOutcome &it) {
                result->set_value(it.status == consensus::ProposalStatus::Committed);
            });
            done = committed.wait_for(LIMIT) == std::future_status::ready && committed.get();
        }
        return done;
    }

    /** @brief Returns the version in force, as a quorum confirms it. */
    std::uint64_t version()
    {
        auto result = std::make_shared<std::promise<std::uint64_t>>();
        auto version = result->get_future();
        m_voter.read([result](const control::ReadOutcome &it) {
            result->set_value(it.confirmed ? it.machine->configuration().current().version : 0);
        });
        BOOST_REQUIRE((version.wait_for(LIMIT) == std::future_status::ready));
        return version.get();
    }

    /** @brief Returns the encoded change to a version of a document with ROUTES routes. */
    static std::string payloadOf(std::uint64_t version)
    {
        state::ReplaceConfig change;
        change.author = "operator";
        change.version = version;
        config::Document document;
        document.services.push_back({"service-00", 370, std::nullopt});
        for (int n = 0; n < ROUTES; ++n) {
            config::Relay route;
            route.name = "route-" + std::to_string(n);
            route.host = "host-" + std::to_string(n % 8) + ".example";
            route.prefix = "/path-" + std::to_string(n) + "/";
            route.repeat = config::Repeat::Stream;
            route.shares.push_back({"service-00", 1});
            document.relays.push_back(route);
            // As long as the operators' own form of a route.
            change.source += route.name + std::string(250, 'x') + std::to_string(version);
        }
        change.documentText = config::print(document);
        return state::encode(change);
    }

    static control::VoterOptions optionsOf(const Folder &folder)
    {
        control::VoterOptions options;
        options.folder = folder.path.string();
        options.node.self = "voter";
        options.node.initialVoters = {"voter"};
        options.node.bootstrap = true;
        options.openFolder = [](const std::string &path) -> storage::Result<std::unique_ptr<storage::FileSystem>> {
            BOOST_OUTCOME_TRY(files, storage::PosixFolder::open(path));
            return std::make_unique<SmallDisk>(std::move(files), path);
        };
        return options;
    }

private:
    base::SteadyClock m_clock;
    control::PeerRegistry m_peers;
    control::VoterThread m_voter;
};

/** @brief Forgets the highest memory of this process so far. */
void resetPeakMemory()
{
    malloc_trim(0);
    std::ofstream("/proc/self/clear_refs") << "5";
}

/** @brief Returns the highest memory of this process since it was reset, in bytes. */
std::size_t peakMemory()
{
    std::ifstream status("/proc/self/status");
    std::string name;
    while (status >> name && name != "VmHWM:") {
        status.ignore(std::numeric_limits<std::streamsize>::max(), '\n');
    }
    std::size_t kibibytes = 0;
    status >> kibibytes;
    return kibibytes * 1024;
}

} // namespace

BOOST_AUTO_TEST_SUITE(votermemory)

// Guards against a log that grows by the size of changes until no voter can start again.
BOOST_AUTO_TEST_CASE(a_voter_that_took_many_large_changes_starts_again_in_its_memory)
{
    constexpr std::uint64_t CHANGES = 150;
    const Folder folder;
    resetPeakMemory();
    {
        Voter voter(folder);
        for (std::uint64_t n = 1; n <= CHANGES; ++n) {
            BOOST_REQUIRE_MESSAGE(voter.change(n), "change " << n << " was not confirmed");
        }
        BOOST_TEST(peakMemory() < MEMORY);
    }
    resetPeakMemory();
    Voter voter(folder);
    BOOST_TEST(voter.version() == CHANGES);
    BOOST_TEST(voter.change(CHANGES + 1));
    BOOST_TEST(peakMemory() < MEMORY);
}

// Guards against a start that needs a log several times, in memory or on the disk.
BOOST_AUTO_TEST_CASE(a_voter_starts_with_a_long_log_that_an_earlier_build_has_left)
{
    constexpr std::uint64_t LOG_BYTES = 100'000'000;
    const Folder folder;
    std::uint64_t version = 0;
    {
        auto files = storage::PosixFolder::open(folder.path.string());
        BOOST_REQUIRE(files.has_value());
        storage::LogStore store(*files.value());
        BOOST_REQUIRE(store.open().has_value());
        BOOST_REQUIRE(store.saveHardState({1, "voter", true}).has_value());
        std::vector<consensus::Entry> entries{
            {1, 1, consensus::EntryKind::Voters, consensus::encodeMembership({{"voter"}, {}})}};
        for (std::uint64_t bytes = 0; bytes < LOG_BYTES; bytes += entries.back().payload.size()) {
            ++version;
            entries.push_back({version + 1, 1, consensus::EntryKind::Command, Voter::payloadOf(version)});
        }
        // Earlier builds wrote the log as one frame at each start.
        BOOST_REQUIRE(store.append(entries).has_value());
        BOOST_REQUIRE(store.sync().has_value());
    }
    resetPeakMemory();
    Voter voter(folder);
    BOOST_TEST(voter.version() == version);
    BOOST_TEST(voter.change(version + 1));
    BOOST_TEST(peakMemory() < MEMORY);
}

BOOST_AUTO_TEST_SUITE_END()
