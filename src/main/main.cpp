/**
 * The one binary: its first argument chooses the command.
 */
#include "bamboomoor/daemon/serve.hpp"
#include "bamboomoor/gateway/process.hpp"
#include "bamboomoor/load/load.hpp"
#include "bamboomoor/operators/operators.hpp"
#include "platform/dialects.hpp"

#include <iostream>
#include <string_view>

namespace
{

constexpr int USAGE_STATUS = 2;

constexpr std::string_view USAGE = R"(usage: bamboomoor COMMAND [OPTION...]

  serve      run a daemon
  entry      run a daemon that relays requests, on an infrastructure's entry VM
  control    run a member of the control group, on an infrastructure's control VM
  load       send requests at a rate and measure the answers
  check      check a configuration document
  apply      put a configuration document in force
  show       print the configuration in force, or an earlier version
  history    list the versions
  key        add or withdraw a key
  status     tell what a daemon knows
  drain      let a daemon finish its requests and end

Each command explains itself by --help.
)";

} // namespace

int main(int argc, const char **argv)
{
    const std::string_view command = argc > 1 ? argv[1] : "";
    if (command == "--help" || command == "help") {
        std::cout << USAGE;
        return 0;
    }
    if (command.empty()) {
        std::cerr << USAGE;
        return USAGE_STATUS;
    }
    if (command == "serve") {
        return bamboomoor::daemon::runServe(argc - 1, argv + 1);
    }
    if (command == "entry" || command == "control") {
        return bamboomoor::gateway::runProcess(argc - 1, argv + 1, bamboomoor::platform::makeDialects());
    }
    if (command == "load") {
        return bamboomoor::load::runLoad(argc - 1, argv + 1);
    }
    return bamboomoor::operators::runOperator(argc, argv);
}
