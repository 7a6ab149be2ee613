/**
 * Property test of a consensus node with its store: a single-node group on a folder that crashes at any operation.
 */
#include "bamboomoor/consensus/node.hpp"
#include "bamboomoor/storage/logstore.hpp"
#include "memoryfolder.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace bamboomoor;

namespace
{

/** @brief A single-node group; everything reported as committed must survive each crash. */
class SingleNode
{
public:
    explicit SingleNode(std::uint64_t seed)
        : m_random(seed)
    {
    }

    /** @brief Runs until the injected crash; returns the failure, or an empty string. */
    std::string runUntilCrash()
    {
        m_folder.failAfter = static_cast<int>(m_random() % 60);
        storage::LogStore store(m_folder);
        const auto opened = store.open();
        if (opened.has_value()) {
            m_applied = opened.value().recovered.snapshot.data.str();
            start(opened.value().recovered);
            while (m_failure.empty() && step(store)) { }
        } else if (opened.error().kind == storage::StorageErrorKind::Corrupt) {
            m_failure = describe(opened.error());
        }
        m_folder.crash(m_random);
        return m_failure;
    }

    [[nodiscard]] std::size_t reported() const
    {
        return m_reported.size();
    }

private:
    void start(const consensus::RecoveredState &recovered)
    {
        consensus::Options options;
        options.self = "a";
        options.initialVoters = {"a"};
        options.bootstrap = true;
        options.keptEntries = 2;
        m_node = std::make_unique<consensus::Node>(options, recovered);
    }

    bool step(storage::LogStore &store)
    {
        std::vector<consensus::Input> inputs;
        m_now += base::Millis{200};
        inputs.emplace_back(consensus::Tick{});
        for (std::uint64_t n = m_random() % 3; n > 0; --n) {
            const char letter = static_cast<char>('a' + m_random() % 26);
            inputs.emplace_back(consensus::Propose{1, std::string(1, letter), std::nullopt});
        }
        if (m_random() % 6 == 0) {
            inputs.emplace_back(consensus::Compact{m_node->commitIndex(), m_applied});
        }
        return settle(store, m_node->stepAll(m_now, std::move(inputs)));
    }

    /** @brief Persists and acknowledges until the node requests no more writes; false after a storage error. */
    bool settle(storage::LogStore &store, consensus::Outputs out)
    {
        apply(out);
        while (out.persist) {
            const std::uint64_t sequence = out.persist->sequence;
            if (store.persist(*out.persist).has_error() || store.sync().has_error()) {
                return false;
            }
            out = m_node->step(m_now, consensus::PersistDone{sequence});
            apply(out);
        }
        return true;
    }

    void apply(const consensus::Outputs &out)
    {
        for (const consensus::Entry &it : out.committed) {
            m_applied += it.payload.size() == 1 ? it.payload.str() : "";
        }
        const std::size_t common = std::min(m_applied.size(), m_reported.size());
        const bool caughtUp = m_node->role() == consensus::Role::Leader && !out.proposals.empty();
        if (m_applied.compare(0, common, m_reported, 0, common) != 0) {
            m_failure = "the history differs from the reported commits";
        } else if (caughtUp && m_applied.size() < m_reported.size()) {
            m_failure = "reported entries are missing";
        } else if (m_applied.size() > m_reported.size()) {
            m_reported = m_applied;
        }
    }

    fakes::MemoryFolder m_folder;
    std::mt19937_64 m_random;
    base::Millis m_now;
    std::unique_ptr<consensus::Node> m_node;
    std::string m_applied;
    std::string m_reported;
    std::string m_failure;
};

} // namespace

BOOST_AUTO_TEST_CASE(reported_commits_survive_crashes)
{
    std::size_t reported = 0;
    BOOST_TEST(rc::check("a single-node group never loses a commit", [&reported](std::uint64_t seed) {
        SingleNode group(seed);
        std::string failure;
        for (int n = 0; n < 40 && failure.empty(); ++n) {
            failure = group.runUntilCrash();
        }
        reported += group.reported();
        RC_LOG() << failure;
        return failure.empty();
    }));
    BOOST_TEST(reported > 1'000U);
}
