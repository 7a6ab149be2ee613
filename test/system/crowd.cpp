/**
 * The crowd program: clients outside the limits. It opens many connections to one address, sends a request on each in
 * one of the ways of WAYS, stops just short of the end of the body and stays connected.
 *
 * usage: crowd IP PORT WAY CONNECTIONS BODY_BYTES HEAD_LINE...
 * The first head line is the request line. Prints "ready" once every connection has sent all it will send, or was
 * closed by the other side; ends after MAX_SECONDS, or when it is killed.
 */
#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <string_view>
#include <vector>

namespace
{

using std::chrono::steady_clock;

constexpr std::chrono::seconds MAX_SECONDS{90};
constexpr int POLL_MS = 100;
constexpr std::size_t LARGE_CHUNK = 65'536;
constexpr std::size_t PIECE = 1'024;
constexpr std::size_t ANNOUNCED_OVER = std::size_t{1} << 30;
// A body far over its limit is sent up to this many times the limit.
constexpr std::size_t OVER_FACTOR = 16;
// A head of nearly the longest legal size.
constexpr std::size_t LONG_HEAD = 14'000;

/** @brief How the body is sent. */
enum class Way { Whole, Pieces, Chunks, TinyChunks, AnnouncedOver, SentOver, LongHead };

struct NamedWay {
    std::string_view name;
    Way way;
};

constexpr std::array<NamedWay, 7> WAYS{{
    {"whole", Way::Whole},
    {"pieces", Way::Pieces},
    {"chunks", Way::Chunks},
    {"tiny", Way::TinyChunks},
    {"announced-over", Way::AnnouncedOver},
    {"sent-over", Way::SentOver},
    {"long-head", Way::LongHead},
}};

// Clients of all ways in turn.
constexpr std::string_view MIXED = "mixed";

bool isChunked(Way way)
{
    return way == Way::Chunks || way == Way::TinyChunks || way == Way::SentOver;
}

/** @brief What is sent after the head, block after block. */
struct Plan {
    std::string head;
    std::string block;
    std::size_t blocks = 0;
    // Bytes that are written at once at most.
    std::size_t most = LARGE_CHUNK;
};

std::string chunk(std::size_t size)
{
    std::array<char, 32> line{};
    std::snprintf(line.data(), line.size(), "%zx\r\n", size);
    return line.data() + std::string(size, 'b') + "\r\n";
}

Plan planOf(Way way, std::size_t bodyBytes, const std::string &head)
{
    const std::size_t last = bodyBytes - 1;
    Plan plan;
    const std::size_t length = way == Way::AnnouncedOver ? ANNOUNCED_OVER : bodyBytes;
    plan.head = head + (way == Way::LongHead ? "X-Padding: " + std::string(LONG_HEAD, 'h') + "\r\n" : "")
        + (isChunked(way) ? std::string("Transfer-Encoding: chunked\r\n\r\n")
                          : "Content-Length: " + std::to_string(length) + "\r\n\r\n");
    switch (way) {
    case Way::Whole:
    case Way::AnnouncedOver:
        plan.block = std::string(last, 'b');
        plan.blocks = 1;
        break;
    case Way::Pieces:
        plan.block = std::string(last, 'b');
        plan.blocks = 1;
        plan.most = PIECE;
        break;
    case Way::Chunks:
        plan.block = chunk(std::min(LARGE_CHUNK, last));
        plan.blocks = std::max<std::size_t>(1, last / LARGE_CHUNK);
        break;
    case Way::TinyChunks:
        // Many chunks in one block, so that few calls send them.
        for (std::size_t n = 0; n < PIECE; ++n) {
            plan.block += chunk(1);
        }
        plan.blocks = last / PIECE;
        break;
    case Way::LongHead:
        plan.block = "b";
        plan.blocks = 1;
        break;
    case Way::SentOver:
        plan.block = chunk(LARGE_CHUNK);
        plan.blocks = bodyBytes * OVER_FACTOR / LARGE_CHUNK;
        break;
    }
    return plan;
}

/** @brief One connection and what it has sent. */
struct Client {
    const Plan *plan = nullptr;
    int socket = -1;
    std::size_t block = 0;
    std::size_t sent = 0;
    bool headSent = false;

    [[nodiscard]] bool isDone() const
    {
        return socket < 0 || (headSent && block == plan->blocks);
    }

    void close()
    {
        ::close(socket);
        socket = -1;
    }

    /** @brief Sends as much as the socket takes, once. */
    void send()
    {
        const std::string &text = headSent ? plan->block : plan->head;
        const std::size_t size = std::min(plan->most, text.size() - sent);
        const ssize_t written = ::send(socket, text.data() + sent, size, MSG_NOSIGNAL);
        if (written < 0) {
            if (errno != EAGAIN) {
                close();
            }
            return;
        }
        sent += static_cast<std::size_t>(written);
        if (sent == text.size()) {
            sent = 0;
            block += headSent ? 1 : 0;
            headSent = true;
        }
    }
};

int connectTo(const char *ip, int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip, &address.sin_addr);
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (socket >= 0 && connect(socket, reinterpret_cast<sockaddr *>(&address), sizeof(address)) != 0) {
        close(socket);
        return -1;
    }
    fcntl(socket, F_SETFL, O_NONBLOCK);
    return socket;
}

/** @brief Drops a connection that the other side has closed; what it was answered is passed over. */
void receive(Client &client)
{
    std::array<char, 4'096> buf{};
    const ssize_t size = recv(client.socket, buf.data(), buf.size(), 0);
    if (size == 0 || (size < 0 && errno != EAGAIN)) {
        client.close();
    }
}

void turn(std::vector<Client> &clients)
{
    std::vector<pollfd> polled;
    std::vector<Client *> open;
    for (Client &it : clients) {
        if (it.socket >= 0) {
            const short events = it.isDone() ? POLLIN : POLLIN | POLLOUT;
            polled.push_back({it.socket, events, 0});
            open.push_back(&it);
        }
    }
    poll(polled.data(), polled.size(), POLL_MS);
    for (std::size_t n = 0; n < polled.size(); ++n) {
        if ((polled[n].revents & (POLLIN | POLLERR | POLLHUP)) != 0) {
            receive(*open[n]);
        }
        if (open[n]->socket >= 0 && (polled[n].revents & POLLOUT) != 0) {
            open[n]->send();
        }
    }
}

} // namespace

int main(int argc, char **argv)
{
    constexpr int FIRST_LINE = 6;
    if (argc <= FIRST_LINE) {
        std::fprintf(stderr, "usage: crowd IP PORT WAY CONNECTIONS BODY_BYTES HEAD_LINE...\n");
        return 2;
    }
    const auto *way = std::find_if(WAYS.begin(), WAYS.end(), [argv](const NamedWay &it) {
        return it.name == argv[3];
    });
    if (way == WAYS.end() && argv[3] != MIXED) {
        std::fprintf(stderr, "crowd: unknown way: %s\n", argv[3]);
        return 2;
    }
    std::string head;
    for (int n = FIRST_LINE; n < argc; ++n) {
        head += std::string(argv[n]) + "\r\n";
    }
    std::vector<Plan> plans;
    for (const NamedWay &it : WAYS) {
        if (argv[3] == it.name || argv[3] == MIXED) {
            plans.push_back(planOf(it.way, std::strtoul(argv[5], nullptr, 10), head));
        }
    }
    std::vector<Client> clients(std::strtoul(argv[4], nullptr, 10));
    for (std::size_t n = 0; n < clients.size(); ++n) {
        clients[n].plan = &plans[n % plans.size()];
        clients[n].socket = connectTo(argv[1], std::atoi(argv[2]));
    }
    const auto end = steady_clock::now() + MAX_SECONDS;
    bool told = false;
    while (steady_clock::now() < end) {
        turn(clients);
        const bool done = std::all_of(clients.begin(), clients.end(), [](const Client &it) {
            return it.isDone();
        });
        if (done && !told) {
            const auto open = std::count_if(clients.begin(), clients.end(), [](const Client &it) {
                return it.socket >= 0;
            });
            std::printf("ready open=%td\n", open);
            std::fflush(stdout);
            told = true;
        }
    }
    return 0;
}
