/**
 * The command line of operators in a process: its arguments, files and random device.
 */
#include "bamboomoor/operators/operators.hpp"

#include "bamboomoor/operators/curltransport.hpp"

#include <chrono>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <optional>
#include <random>
#include <thread>

namespace bamboomoor::operators
{
namespace
{

// Takes every byte from the system's random device.
class DeviceSecrets final : public Secrets
{
public:
    [[nodiscard]] std::string make(std::size_t bytes) override
    {
        static constexpr std::string_view DIGITS = "0123456789abcdef";
        std::string text;
        std::uniform_int_distribution<std::size_t> digit(0, DIGITS.size() - 1);
        for (std::size_t n = 0; n < bytes * 2; ++n) {
            text += DIGITS[digit(m_device)];
        }
        return text;
    }

private:
    std::random_device m_device{"/dev/urandom"};
};

std::string personAtKeyboard()
{
    const char *name = std::getenv("USER");
    return name == nullptr || *name == '\0' ? "operator" : name;
}

// Reads the first line, without its end.
std::optional<std::string> readToken(const std::string &path)
{
    std::ifstream file(path);
    std::string token;
    if (!std::getline(file, token) || token.empty()) {
        return std::nullopt;
    }
    if (token.back() == '\r') {
        token.pop_back();
    }
    return token;
}

int explain(const std::string &message)
{
    std::cerr << "bamboomoor: " << message << '\n' << usage();
    return static_cast<int>(ExitStatus::Usage);
}

} // namespace

int runOperator(int argc, const char *const *argv)
{
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    auto parsed = parseInvocation(arguments);
    if (parsed.has_error()) {
        if (parsed.error().help) {
            std::cout << usage();
            return static_cast<int>(ExitStatus::Done);
        }
        return explain(parsed.error().message);
    }
    Invocation invocation = std::move(parsed).value();
    if (invocation.author.empty()) {
        invocation.author = personAtKeyboard();
    }
    std::string token;
    if (invocation.verb != Verb::Check) {
        if (!invocation.tokenFile.has_value()) {
            return explain("--token-file: is missing; must name a file with the operators' token");
        }
        const auto read = readToken(*invocation.tokenFile);
        if (!read.has_value()) {
            return explain("--token-file: " + *invocation.tokenFile + " cannot be read or is empty");
        }
        token = *read;
    }
    CurlTransport transport(invocation.entry, token, invocation.timeout);
    DeviceSecrets secrets;
    const auto pause = [](base::Millis span) {
        std::this_thread::sleep_for(std::chrono::milliseconds(span.count));
    };
    return static_cast<int>(run(invocation, {std::cin, std::cout, std::cerr, transport, secrets, pause}));
}

} // namespace bamboomoor::operators
