/**
 * The commands of operators: check, apply, show, history, key add, key withdraw, status and drain.
 * A change is sent again under the same change id while its outcome is unknown, which runs it once at most.
 */
#pragma once

#include "bamboomoor/operators/invocation.hpp"
#include "bamboomoor/operators/transport.hpp"

#include <functional>
#include <iosfwd>
#include <string>

namespace bamboomoor::operators
{

/** @brief The exit statuses of the command line. */
enum class ExitStatus { Done = 0, Refused = 1, Usage = 2, Unknown = 3 };

/** @brief Makes secrets and ids. */
class Secrets
{
public:
    Secrets() = default;
    Secrets(const Secrets &) = delete;
    Secrets &operator=(const Secrets &) = delete;
    Secrets(Secrets &&) = delete;
    Secrets &operator=(Secrets &&) = delete;
    virtual ~Secrets() = default;

    /**
     * @brief Makes an unguessable text.
     * @param bytes The number of random bytes.
     * @return Two hexadecimal digits for each byte.
     */
    [[nodiscard]] virtual std::string make(std::size_t bytes) = 0;
};

/** @brief What a command works with. */
struct Surroundings {
    // Standard input, for FILE -.
    std::istream &in;
    std::ostream &out;
    std::ostream &err;
    Transport &transport;
    Secrets &secrets;
    // Waits before a change is sent again.
    std::function<void(base::Millis)> pause;
};

/**
 * @brief Runs one command.
 * @param invocation The command line.
 * @param around What it works with.
 * @return The exit status.
 */
[[nodiscard]] ExitStatus run(const Invocation &invocation, Surroundings around);

/**
 * @brief Runs a command line of operators in this process.
 * @param argc The number of arguments, the program's name included.
 * @param argv The arguments.
 * @return The exit status, one of ExitStatus.
 */
[[nodiscard]] int runOperator(int argc, const char *const *argv);

} // namespace bamboomoor::operators
