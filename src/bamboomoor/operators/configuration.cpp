/**
 * The library of operators.
 */
#include "bamboomoor/operators/configuration.hpp"

#include <ostream>
#include <utility>

namespace bamboomoor::operators
{

Configuration &Configuration::set(const config::Limits &limits)
{
    m_document.limits = limits;
    return *this;
}

Configuration &Configuration::add(config::Organisation part)
{
    m_document.organisations.push_back(std::move(part));
    return *this;
}

Configuration &Configuration::add(config::Route part)
{
    m_document.routes.push_back(std::move(part));
    return *this;
}

Configuration &Configuration::add(config::Model part)
{
    m_document.models.push_back(std::move(part));
    return *this;
}

Configuration &Configuration::add(config::Adapter part)
{
    m_document.adapters.push_back(std::move(part));
    return *this;
}

Configuration &Configuration::add(config::Version part)
{
    m_document.versions.push_back(std::move(part));
    return *this;
}

Configuration &Configuration::add(config::AcceleratorPool part)
{
    m_document.pools.push_back(std::move(part));
    return *this;
}

base::Result<std::string, config::ConfigError> Configuration::print() const
{
    std::string text = config::print(m_document);
    // Ranges and forms are judged by reading the text back, as the system will.
    const auto parsed = config::parse(text);
    if (parsed.has_error()) {
        return base::failure(parsed.error());
    }
    if (auto problem = config::check(parsed.value()); problem.has_value()) {
        return base::failure(*std::move(problem));
    }
    return text;
}

int Configuration::printTo(std::ostream &out, std::ostream &err) const
{
    const auto text = print();
    if (text.has_error()) {
        err << text.error().place << ": " << text.error().message << '\n';
        return 1;
    }
    out << text.value() << std::flush;
    return out.good() ? 0 : 1;
}

} // namespace bamboomoor::operators
