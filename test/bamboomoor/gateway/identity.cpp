/**
 * Tests of the identity of a control VM's disk.
 */
#include "bamboomoor/gateway/identity.hpp"

#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <string>

using namespace bamboomoor;

namespace
{

struct Folder {
    Folder()
    {
        std::string name = (std::filesystem::temp_directory_path() / "bamboomoor-identity-XXXXXX").string();
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

} // namespace

BOOST_AUTO_TEST_SUITE(identity)

BOOST_AUTO_TEST_CASE(a_disk_keeps_its_identity_and_an_empty_one_gets_another)
{
    const std::string address = "10.0.0.1:7600";
    std::string first;
    {
        const Folder folder;
        first = gateway::readIdentity(folder.path.string(), false, address).value();
        BOOST_TEST(first.ends_with("@" + address));
        BOOST_TEST(gateway::readIdentity(folder.path.string(), false, address).value() == first);
        BOOST_TEST(gateway::readIdentity(folder.path.string(), true, address).value() == first);
    }
    const Folder empty;
    BOOST_TEST(gateway::readIdentity(empty.path.string(), false, address).value() != first);
}

BOOST_AUTO_TEST_CASE(founders_are_known_by_their_address)
{
    const Folder folder;
    BOOST_TEST(gateway::readIdentity(folder.path.string(), true, "10.0.0.2:7600").value() == "founder@10.0.0.2:7600");
}

BOOST_AUTO_TEST_CASE(a_draft_that_a_crash_left_behind_is_written_anew)
{
    const Folder folder;
    std::ofstream(folder.path / "identity.new") << "half";
    const auto identity = gateway::readIdentity(folder.path.string(), true, "10.0.0.2:7600");
    BOOST_REQUIRE(identity.has_value());
    BOOST_TEST(identity.value() == "founder@10.0.0.2:7600");
}

BOOST_AUTO_TEST_SUITE_END()
