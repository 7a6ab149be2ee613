/**
 * The command line as typed values.
 */
#pragma once

#include "bamboomoor/base/clock.hpp"
#include "bamboomoor/base/nametable.hpp"
#include "bamboomoor/base/outcome.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bamboomoor::operators
{

/** @brief What an operator asks for. */
enum class Verb { Check, Apply, Show, History, KeyAdd, KeyWithdraw, Status, Drain };

/** @brief The words of Verb on the command line. */
inline constexpr auto VERB_NAMES =
    base::makeNames<Verb>("check", "apply", "show", "history", "key add", "key withdraw", "status", "drain");

/** @brief The state that a change is made from. */
struct Base {
    std::uint64_t version = 0;
    std::string digest;
};

/** @brief One parsed command line. */
struct Invocation {
    Verb verb = Verb::Status;
    // Words that are no options: FILE, VERSION, ORGANISATION, ID.
    std::vector<std::string> words;
    bool json = false;
    std::string entry = "127.0.0.1:8080";
    std::optional<std::string> tokenFile;
    std::optional<Base> base;
    // Empty to have one made up.
    std::string changeId;
    // Empty for the name of the person at the keyboard.
    std::string author;
    // The id of a key to add; empty to have one made up.
    std::string keyId;
    // The longest time of one call.
    base::Millis timeout{10'000};
};

/** @brief Why a command line cannot be followed. */
struct UsageError {
    // One line.
    std::string message;
    // True when help was asked for.
    bool help = false;
};

/**
 * @brief Parses a command line.
 * @param arguments Everything after the program's name; the first word is the verb.
 * @return The invocation, or what is wrong.
 */
[[nodiscard]] base::Result<Invocation, UsageError> parseInvocation(const std::vector<std::string> &arguments);

/**
 * @brief Tells whether a first word belongs to operators.
 * @param word The word.
 * @return True for check, apply, show, history, key, status and drain.
 */
[[nodiscard]] bool isOperatorWord(std::string_view word) noexcept;

/**
 * @brief Words the usage of all verbs.
 * @return Several lines.
 */
[[nodiscard]] std::string usage();

} // namespace bamboomoor::operators
