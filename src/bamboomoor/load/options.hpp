/**
 * Arguments of `bamboomoor load`.
 */
#pragma once

#include "bamboomoor/base/clock.hpp"
#include "bamboomoor/base/outcome.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace bamboomoor::load
{

/** @brief An organisation that calls, with its key. */
struct Caller {
    std::string organisation = {};
    std::string key = {};
    // Its part of the requests, relative to the others.
    double weight = 1.0;
};

/** @brief What is sent, where to, and how fast. */
struct LoadOptions {
    std::vector<std::string> entries = {};
    std::vector<Caller> callers = {};
    std::vector<std::string> models = {};
    // Requests a second.
    double rate = 1.0;
    base::Millis duration{10'000};
    std::int64_t maxTokens = 16;
    std::int64_t promptWords = 8;
    // Requests without an answer at one time; further ones are not sent, and counted.
    std::size_t maxOpen = 10'000;
    base::Millis timeout{60'000};
    std::uint64_t seed = 1;
    bool stream = false;
    bool keepAlive = false;
    // Checks that the words of a stream are numbered from 0 on, as stand-in engines number them.
    bool numberedWords = false;
    bool json = false;
};

/** @brief Why the arguments are unusable. */
struct OptionsError {
    std::string message = {};
};

/**
 * @brief Reads the lines `ORGANISATION KEY [WEIGHT]`; empty lines and those that begin with # are passed over.
 * @param text The content of a key file.
 * @return The callers; or which line is unusable.
 */
[[nodiscard]] base::Result<std::vector<Caller>, OptionsError> parseCallers(const std::string &text);

/**
 * @brief Reads the arguments and the key file.
 * @param argc The number of arguments.
 * @param argv The arguments; the first is the program's name.
 * @return The options; or why they are unusable.
 */
[[nodiscard]] base::Result<LoadOptions, OptionsError> parseOptions(int argc, const char **argv);

} // namespace bamboomoor::load
