/**
 * The library of operators: a program adds what it intends, and prints the configuration document as TOML.
 * The same additions in the same order always print the same bytes; docs/CONFIGURATION.md describes them.
 */
#pragma once

#include "bamboomoor/base/outcome.hpp"
#include "bamboomoor/config/document.hpp"
#include "bamboomoor/config/parse.hpp"

#include <iosfwd>
#include <string>

namespace bamboomoor::operators
{

/** @brief An intended configuration. */
class Configuration
{
public:
    /**
     * @brief Sets the bounds on single requests.
     * @param limits The bounds.
     * @return This configuration.
     */
    Configuration &set(const config::Limits &limits);

    /**
     * @brief Appends a part.
     * @param part The part.
     * @return This configuration.
     */
    Configuration &add(config::Organisation part);
    Configuration &add(config::Route part);
    Configuration &add(config::Model part);
    Configuration &add(config::Adapter part);
    Configuration &add(config::Version part);
    Configuration &add(config::AcceleratorPool part);

    /**
     * @brief Prints the document.
     * @return TOML, or the first mistake that would have it refused.
     */
    [[nodiscard]] base::Result<std::string, config::ConfigError> print() const;

    /**
     * @brief Prints the document or explains its first mistake; the body of a program's main().
     * @param out Receives the TOML.
     * @param err Receives the explanation, one line.
     * @return The exit status: 0 for a good document, 1 otherwise.
     */
    [[nodiscard]] int printTo(std::ostream &out, std::ostream &err) const;

private:
    config::Document m_document;
};

} // namespace bamboomoor::operators
