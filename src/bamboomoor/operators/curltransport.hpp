/**
 * Calls to an entry by libcurl.
 */
#pragma once

#include "bamboomoor/base/clock.hpp"
#include "bamboomoor/operators/transport.hpp"

#include <string>

namespace bamboomoor::operators
{

/** @brief Carries calls over HTTP. */
class CurlTransport final : public Transport
{
public:
    /**
     * @brief Makes a transport; nothing is sent yet.
     * @param entry The entry's address, "IP:PORT".
     * @param token The operators' secret.
     * @param timeout The longest time of one call, in milliseconds.
     */
    CurlTransport(std::string entry, std::string token, base::Millis timeout);

    [[nodiscard]] base::Result<HttpReply, TransportError> call(
        Method method, const std::string &path, const std::string &body) override;

private:
    std::string m_entry;
    std::string m_token;
    base::Millis m_timeout;
};

} // namespace bamboomoor::operators
