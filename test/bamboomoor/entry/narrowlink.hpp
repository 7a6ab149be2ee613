/**
 * A TCP forwarder that carries a fixed number of bytes a second towards its callers, over all their connections.
 */
#pragma once

#include <atomic>
#include <cstddef>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace entry_test
{

/** @brief Forwards connections of one address to another. */
class NarrowLink
{
public:
    /**
     * @brief Starts to forward.
     * @param target "IP:PORT" to which connections are forwarded.
     * @param bytesPerSecond What the link carries towards callers.
     */
    NarrowLink(const std::string &target, std::size_t bytesPerSecond);
    ~NarrowLink();
    NarrowLink(const NarrowLink &) = delete;
    NarrowLink &operator=(const NarrowLink &) = delete;

    /** @brief Returns the "IP:PORT" on which callers connect. */
    [[nodiscard]] const std::string &address() const noexcept
    {
        return m_address;
    }

    /** @brief Returns the bytes carried towards callers so far. */
    [[nodiscard]] std::size_t carried() const noexcept
    {
        return m_carried;
    }

private:
    void accept();
    void carry(int from, int to, bool isNarrow);

    const std::string m_target;
    const std::size_t m_bytesPerSecond;
    std::string m_address;
    int m_listener = -1;
    std::atomic<std::size_t> m_carried{0};
    std::atomic<bool> m_stopping{false};
    // Held while bytes pass towards callers.
    std::mutex m_wire;
    // Guards m_sockets and m_carriers.
    std::mutex m_mutex;
    std::vector<int> m_sockets;
    std::vector<std::thread> m_carriers;
    std::thread m_acceptor;
};

} // namespace entry_test
