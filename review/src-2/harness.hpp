/**
 * Stand-ins for a small deployment on loopback: HTTP client and server, processes of the product, operator, workers.
 * Every machine has a loopback address of its own, as all use the same ports.
 */
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review
{

using Headers = std::vector<std::pair<std::string, std::string>>;

/** Milliseconds of the steady clock since the start of the test. */
inline std::int64_t now()
{
    static const auto begin = std::chrono::steady_clock::now();
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - begin).count();
}

inline void sleepMs(std::int64_t ms)
{
    if (ms > 0) {
        std::this_thread::sleep_for(std::chrono::milliseconds(ms));
    }
}

inline void sleepUntil(std::int64_t at)
{
    sleepMs(at - now());
}

/** The file record.txt: what was sent, answered and run, with times in ms. */
class Record
{
public:
    static Record &get()
    {
        static Record record;
        return record;
    }
    void open(const std::string &path)
    {
        m_file = std::fopen(path.c_str(), "w");
    }
    void line(const char *format, ...) __attribute__((format(printf, 2, 3)))
    {
        const std::lock_guard lock(m_mutex);
        va_list args;
        va_start(args, format);
        char text[1024];
        std::vsnprintf(text, sizeof(text), format, args);
        va_end(args);
        if (m_file != nullptr) {
            std::fprintf(m_file, "%8lld %s\n", static_cast<long long>(now()), text);
            std::fflush(m_file);
        }
    }

private:
    std::mutex m_mutex;
    FILE *m_file = nullptr;
};

#define RECORD(...) ::review::Record::get().line(__VA_ARGS__)

inline bool sameName(const std::string &lhs, const std::string &rhs)
{
    return lhs.size() == rhs.size() && strcasecmp(lhs.c_str(), rhs.c_str()) == 0;
}

inline std::string header(const Headers &headers, const std::string &name)
{
    for (const auto &it : headers) {
        if (sameName(it.first, name)) {
            return it.second;
        }
    }
    return {};
}

inline sockaddr_in addressOf(const std::string &text)
{
    const auto colon = text.rfind(':');
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(std::atoi(text.c_str() + colon + 1)));
    inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr);
    return address;
}

/** One connection with a read buffer. */
class Connection
{
public:
    Connection() = default;
    explicit Connection(int fd)
        : m_fd(fd)
    {
    }
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;
    ~Connection()
    {
        close();
    }
    bool connect(const std::string &address, std::int64_t timeoutMs, const std::string &from = {}, int receiveBuffer = 0)
    {
        close();
        m_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
        if (receiveBuffer > 0) {
            setsockopt(m_fd, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof(receiveBuffer));
            // The segments of an Ethernet path; those of loopback let the kernel of the sender buffer a megabyte.
            const int segment = 1'400;
            setsockopt(m_fd, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof(segment));
        }
        if (!from.empty()) {
            sockaddr_in local = addressOf(from + ":0");
            bind(m_fd, reinterpret_cast<sockaddr *>(&local), sizeof(local));
        }
        sockaddr_in to = addressOf(address);
        if (::connect(m_fd, reinterpret_cast<sockaddr *>(&to), sizeof(to)) != 0 && errno != EINPROGRESS) {
            close();
            return false;
        }
        pollfd polled{m_fd, POLLOUT, 0};
        int error = ETIMEDOUT;
        socklen_t size = sizeof(error);
        if (::poll(&polled, 1, static_cast<int>(timeoutMs)) > 0) {
            getsockopt(m_fd, SOL_SOCKET, SO_ERROR, &error, &size);
        }
        if (error != 0) {
            close();
            return false;
        }
        const int one = 1;
        setsockopt(m_fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
        return true;
    }
    void close()
    {
        if (m_fd >= 0) {
            ::close(m_fd);
        }
        m_fd = -1;
        m_buffer.clear();
    }
    /** Closes with a reset. */
    void reset()
    {
        if (m_fd >= 0) {
            const linger hard{1, 0};
            setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
        }
        close();
    }
    [[nodiscard]] bool isOpen() const
    {
        return m_fd >= 0;
    }
    [[nodiscard]] int fd() const
    {
        return m_fd;
    }
    bool write(const std::string &bytes, std::int64_t timeoutMs = 10'000)
    {
        std::size_t done = 0;
        const std::int64_t until = now() + timeoutMs;
        while (done < bytes.size()) {
            const ssize_t n = ::send(m_fd, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
            if (n > 0) {
                done += static_cast<std::size_t>(n);
            } else if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
                pollfd polled{m_fd, POLLOUT, 0};
                if (now() >= until || ::poll(&polled, 1, static_cast<int>(until - now())) <= 0) {
                    return false;
                }
            } else if (n < 0 && errno == EINTR) {
                continue;
            } else {
                return false;
            }
        }
        return true;
    }
    /** Reads more bytes. Returns 1 if there are some, 0 at the end, -1 after an error, -2 after the time. */
    int fill(std::int64_t timeoutMs)
    {
        pollfd polled{m_fd, POLLIN, 0};
        const int ready = ::poll(&polled, 1, static_cast<int>(std::max<std::int64_t>(timeoutMs, 0)));
        if (ready <= 0) {
            return -2;
        }
        char bytes[65'536];
        const ssize_t n = ::recv(m_fd, bytes, sizeof(bytes), 0);
        if (n > 0) {
            m_buffer.append(bytes, static_cast<std::size_t>(n));
            return 1;
        }
        return n == 0 ? 0 : -1;
    }
    std::string &buffer()
    {
        return m_buffer;
    }

private:
    int m_fd = -1;
    std::string m_buffer;
};

/** A message as read: the first line, the header lines, the body. */
struct Message {
    std::string first;
    Headers headers;
    std::string body;
    // The end of the body was seen.
    bool whole = false;
    // Not a byte came.
    bool nothing = true;
    bool timedOut = false;
    [[nodiscard]] int status() const
    {
        return first.size() > 12 && first.starts_with("HTTP/") ? std::atoi(first.c_str() + 9) : 0;
    }
};

/** Reads a message. onBody is told the bytes of the body that have come so far, without the framing. */
inline Message readMessage(Connection &connection, std::int64_t timeoutMs, bool isAnswer,
    const std::function<void(const std::string &)> &onBody = {})
{
    Message message;
    const std::int64_t until = now() + timeoutMs;
    std::string &buffer = connection.buffer();
    std::size_t end = std::string::npos;
    message.nothing = buffer.empty();
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
        const int got = connection.fill(until - now());
        if (got != 1) {
            message.timedOut = got == -2;
            return message;
        }
        message.nothing = false;
    }
    std::istringstream head(buffer.substr(0, end));
    buffer.erase(0, end + 4);
    std::string line;
    std::getline(head, line);
    message.first = line.substr(0, line.find('\r'));
    while (std::getline(head, line)) {
        line = line.substr(0, line.find('\r'));
        const auto colon = line.find(':');
        if (colon != std::string::npos) {
            auto value = line.substr(colon + 1);
            value.erase(0, value.find_first_not_of(' '));
            message.headers.emplace_back(line.substr(0, colon), value);
        }
    }
    const std::string length = header(message.headers, "Content-Length");
    const bool chunked = sameName(header(message.headers, "Transfer-Encoding"), "chunked");
    const auto more = [&] {
        const int got = connection.fill(until - now());
        message.timedOut = got == -2;
        return got;
    };
    if (chunked) {
        while (true) {
            const auto mark = buffer.find("\r\n");
            if (mark == std::string::npos) {
                if (more() != 1) {
                    return message;
                }
                continue;
            }
            const std::size_t size = std::strtoul(buffer.c_str(), nullptr, 16);
            while (buffer.size() < mark + 2 + size + 2) {
                if (more() != 1) {
                    return message;
                }
            }
            message.body += buffer.substr(mark + 2, size);
            buffer.erase(0, mark + 2 + size + 2);
            if (onBody && size > 0) {
                onBody(message.body);
            }
            if (size == 0) {
                message.whole = true;
                return message;
            }
        }
    }
    if (!length.empty()) {
        const std::size_t size = std::strtoull(length.c_str(), nullptr, 10);
        while (buffer.size() < size) {
            if (more() != 1) {
                message.body = buffer;
                return message;
            }
        }
        message.body = buffer.substr(0, size);
        buffer.erase(0, size);
        if (onBody) {
            onBody(message.body);
        }
        message.whole = true;
        return message;
    }
    if (!isAnswer || message.status() == 204 || message.status() == 304) {
        message.whole = true;
        return message;
    }
    int got = 0;
    while ((got = more()) == 1) {
        if (onBody) {
            onBody(buffer);
        }
    }
    message.body = std::exchange(buffer, {});
    message.whole = got == 0;
    return message;
}

inline std::string requestText(
    const std::string &method, const std::string &target, const Headers &headers, const std::string &body)
{
    std::string text = method + " " + target + " HTTP/1.1\r\n";
    for (const auto &[name, value] : headers) {
        text += name + ": " + value + "\r\n";
    }
    if (!body.empty() || method == "POST") {
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    return text + "\r\n" + body;
}

/** One call on a new connection. */
inline Message call(const std::string &address, const std::string &method, const std::string &target, Headers headers,
    const std::string &body, std::int64_t timeoutMs)
{
    Connection connection;
    if (!connection.connect(address, std::min<std::int64_t>(timeoutMs, 1'000))) {
        return {};
    }
    if (header(headers, "Host").empty()) {
        headers.emplace_back("Host", address);
    }
    headers.emplace_back("Connection", "close");
    if (!connection.write(requestText(method, target, headers, body), timeoutMs)) {
        return {};
    }
    return readMessage(connection, timeoutMs, true);
}

/** An HTTP server with a thread for each connection. */
class HttpServer
{
public:
    // Gets the request and the connection, and answers on it. Returns false if the connection ends.
    using Handler = std::function<bool(const Message &, Connection &)>;

    HttpServer(const std::string &address, Handler handler)
        : m_handler(std::move(handler))
    {
        m_listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int one = 1;
        setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
        sockaddr_in at = addressOf(address);
        m_ok = bind(m_listener, reinterpret_cast<sockaddr *>(&at), sizeof(at)) == 0 && listen(m_listener, 1'024) == 0;
        m_thread = std::thread([this] {
            accept();
        });
    }
    ~HttpServer()
    {
        stop();
    }
    [[nodiscard]] bool ok() const
    {
        return m_ok;
    }
    /** Closes the port and every connection. */
    void stop()
    {
        if (m_stopping.exchange(true)) {
            return;
        }
        shutdown(m_listener, SHUT_RDWR);
        m_thread.join();
        ::close(m_listener);
        {
            const std::lock_guard lock(m_mutex);
            for (const int it : m_open) {
                shutdown(it, SHUT_RDWR);
            }
        }
        while (m_running > 0) {
            sleepMs(5);
        }
    }

private:
    void accept()
    {
        while (!m_stopping) {
            const int fd = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
            if (fd < 0) {
                if (m_stopping) {
                    return;
                }
                continue;
            }
            const int one = 1;
            setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
            ++m_running;
            std::thread([this, fd] {
                serve(fd);
                --m_running;
            }).detach();
        }
    }
    void serve(int fd)
    {
        {
            const std::lock_guard lock(m_mutex);
            m_open.push_back(fd);
        }
        {
            Connection connection(fd);
            while (!m_stopping) {
                const Message request = readMessage(connection, 60'000, false);
                if (!request.whole || !m_handler(request, connection)) {
                    break;
                }
            }
            const std::lock_guard lock(m_mutex);
            std::erase(m_open, fd);
        }
    }

    Handler m_handler;
    int m_listener = -1;
    bool m_ok = false;
    std::atomic<bool> m_stopping = false;
    std::atomic<int> m_running = 0;
    std::mutex m_mutex;
    std::vector<int> m_open;
    std::thread m_thread;
};

inline std::string answerText(int status, const Headers &headers, const std::string &body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + (status == 200 ? " OK" : " Status") + "\r\n";
    for (const auto &[name, value] : headers) {
        text += name + ": " + value + "\r\n";
    }
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/** The processes of the product; all are killed at the end. */
class Processes
{
public:
    ~Processes()
    {
        for (auto &[name, pid] : m_pids) {
            kill(pid, SIGCONT);
            kill(pid, SIGKILL);
            waitpid(pid, nullptr, 0);
        }
    }
    bool start(const std::string &name, const std::vector<std::string> &words, const std::string &log)
    {
        const pid_t pid = fork();
        if (pid == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
            dup2(out, 1);
            dup2(out, 2);
            std::vector<char *> argv;
            for (const std::string &it : words) {
                argv.push_back(const_cast<char *>(it.c_str()));
            }
            argv.push_back(nullptr);
            execv(argv[0], argv.data());
            _exit(127);
        }
        const std::lock_guard lock(m_mutex);
        m_pids[name] = pid;
        return pid > 0;
    }
    pid_t pid(const std::string &name)
    {
        const std::lock_guard lock(m_mutex);
        const auto it = m_pids.find(name);
        return it == m_pids.end() ? -1 : it->second;
    }
    void signal(const std::string &name, int number)
    {
        if (const pid_t it = pid(name); it > 0) {
            kill(it, number);
        }
    }
    /** Kills a process and waits until it is gone. */
    void end(const std::string &name)
    {
        const pid_t it = pid(name);
        if (it <= 0) {
            return;
        }
        kill(it, SIGKILL);
        waitpid(it, nullptr, 0);
        const std::lock_guard lock(m_mutex);
        m_pids.erase(name);
    }
    /** True once the process has ended by itself or by a signal; status as of waitpid. */
    bool hasEnded(const std::string &name, int &status)
    {
        const pid_t it = pid(name);
        if (it > 0 && waitpid(it, &status, WNOHANG) == it) {
            const std::lock_guard lock(m_mutex);
            m_pids.erase(name);
            return true;
        }
        return false;
    }

private:
    std::mutex m_mutex;
    std::map<std::string, pid_t> m_pids;
};

struct Machine {
    std::string name;
    std::string ip;
    std::string zone;
};

/** A small deployment: control and entry machines with the settings of the deploy file's templates. */
class Deployment
{
public:
    Deployment(std::string root, int controls, int entries)
        : root(std::move(root))
    {
        char folder[] = "/tmp/review-XXXXXX";
        dir = mkdtemp(folder);
        std::random_device random;
        // Machines may be added while workers look through the list.
        controlMachines.reserve(16);
        for (int n = 0; n < controls; ++n) {
            controlMachines.push_back({"core-" + std::to_string(n + 1), ip(61, n + 1), zoneOf(n)});
        }
        for (int n = 0; n < entries; ++n) {
            entryMachines.push_back({"front-" + std::to_string(n + 1), ip(62, n + 1), zoneOf(n)});
        }
        do {
            port = 20'000 + static_cast<int>(random() % 400) * 20;
        } while (!isFree());
    }
    ~Deployment()
    {
        std::error_code ec;
        if (std::getenv("REVIEW_KEEP") == nullptr) {
            std::filesystem::remove_all(dir, ec);
        }
    }
    static std::string ip(int kind, int n)
    {
        return "127.0." + std::to_string(kind) + "." + std::to_string(n);
    }
    static std::string zoneOf(int n)
    {
        return std::string("zone-") + static_cast<char>('a' + n % 3);
    }
    [[nodiscard]] std::string at(const std::string &address, int offset = 0) const
    {
        return address + ":" + std::to_string(port + offset);
    }
    [[nodiscard]] std::string control(int n) const
    {
        return at(controlMachines.at(static_cast<std::size_t>(n)).ip);
    }
    [[nodiscard]] std::string entry(int n) const
    {
        return at(entryMachines.at(static_cast<std::size_t>(n)).ip);
    }
    [[nodiscard]] std::string workerIp(int n) const
    {
        return ip(63, n + 1);
    }
    bool isFree() const
    {
        std::vector<std::string> all;
        for (const auto *machines : {&controlMachines, &entryMachines}) {
            for (const Machine &it : *machines) {
                all.push_back(it.ip);
            }
        }
        for (int n = 0; n < 12; ++n) {
            all.push_back(workerIp(n));
        }
        // One that may be added.
        all.push_back(ip(61, static_cast<int>(controlMachines.size()) + 1));
        for (const std::string &it : all) {
            for (int offset = 0; offset < 4; ++offset) {
                const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
                const int one = 1;
                setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
                sockaddr_in address = addressOf(at(it, offset));
                const bool free = bind(fd, reinterpret_cast<sockaddr *>(&address), sizeof(address)) == 0;
                ::close(fd);
                if (!free) {
                    return false;
                }
            }
        }
        return true;
    }
    /** What deploy/control.toml and deploy/entry.toml give with the bounds of a small site. */
    [[nodiscard]] std::string settings(const Machine &machine, bool isEntry, bool bootstrap) const
    {
        std::ostringstream out;
        out << "vm = \"" << machine.name << "\"\ndata_centre = \"" << machine.zone << "\"\nregion = \"region\"\n"
            << "listen = \"" << at(machine.ip) << "\"\n";
        if (isEntry) {
            out << "readiness_listen = \"" << at(machine.ip, 1) << "\"\n";
        }
        out << "peer_listen = \"" << at(machine.ip, 2) << "\"\n";
        if (isEntry) {
            out << "forward_listen = \"" << at(machine.ip, 3) << "\"\n";
        } else {
            out << "data_folder = \"" << dir << "/data-" << machine.name << "\"\nbootstrap = "
                << (bootstrap ? "true" : "false") << "\n";
        }
        for (int n = 0; n < 3; ++n) {
            out << "[[seed]]\naddress = \"" << control(n) << "\"\n";
        }
        if (isEntry) {
            out << "[upstreams]\nlease_ms = 5000\n[entry]\nthreads = 1\ndrain_notice_ms = 2500\n"
                   "drain_limit_ms = 7600\n[relay]\nserves_when_cut_off = true\nretry_ratio = 0.2\n"
                   "retry_window_s = 10\n"
                << entryExtra;
        } else {
            for (const char *it : {"zone-a", "zone-b", "zone-c"}) {
                out << "[[known_data_centre]]\nname = \"" << it << "\"\n";
            }
            out << "[upstreams]\nlease_ms = 5000\nwarm_up_ms = 3000\n[entry]\ndrain_notice_ms = 1000\n"
                   "[placement]\nstore_window_s = 5\n";
        }
        return out.str();
    }
    void start(const Machine &machine, bool isEntry, bool bootstrap)
    {
        const std::string file = dir + "/" + machine.name + ".toml";
        std::ofstream(file) << settings(machine, isEntry, bootstrap);
        processes.start(machine.name,
            {root + "/target/src/main/bamboomoor", isEntry ? "entry" : "control", "--settings", file},
            dir + "/" + machine.name + ".log");
    }
    void startControl(int n, bool bootstrap)
    {
        start(controlMachines.at(static_cast<std::size_t>(n)), false, bootstrap);
    }
    void startEntry(int n)
    {
        start(entryMachines.at(static_cast<std::size_t>(n)), true, false);
    }
    void startAll()
    {
        for (std::size_t n = 0; n < controlMachines.size(); ++n) {
            startControl(static_cast<int>(n), true);
        }
        for (std::size_t n = 0; n < entryMachines.size(); ++n) {
            startEntry(static_cast<int>(n));
        }
    }
    /** The operator: sends a manifest to one daemon after the other until it is confirmed. */
    bool replace(const std::string &manifest, std::int64_t timeoutMs)
    {
        const std::int64_t until = now() + timeoutMs;
        for (std::size_t n = 0; now() < until; ++n) {
            const Message reply = call(control(static_cast<int>(n % controlMachines.size())), "POST", "/Config.Replace",
                {{"Content-Type", "application/json"}}, manifest, 1'000);
            if (reply.status() == 200) {
                RECORD("manifest confirmed by core-%zu", n % controlMachines.size() + 1);
                return true;
            }
            sleepMs(100);
        }
        RECORD("manifest not confirmed");
        return false;
    }
    bool isReady(int n) const
    {
        return call(at(entryMachines.at(static_cast<std::size_t>(n)).ip, 1), "GET", "/readyz", {}, {}, 500).status()
            == 200;
    }
    bool awaitReady(std::int64_t timeoutMs)
    {
        const std::int64_t until = now() + timeoutMs;
        for (std::size_t n = 0; n < entryMachines.size();) {
            if (isReady(static_cast<int>(n))) {
                ++n;
            } else if (now() >= until) {
                RECORD("front-%zu is not ready", n + 1);
                return false;
            } else {
                sleepMs(100);
            }
        }
        RECORD("all entries are ready");
        return true;
    }

    std::string root;
    std::string dir;
    int port = 0;
    std::string entryExtra;
    std::vector<Machine> controlMachines;
    std::vector<Machine> entryMachines;
    Processes processes;
};

inline std::int64_t unixMillis()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

/** A worker of a plain service: announces itself and answers. */
class Worker
{
public:
    struct Options {
        std::string id;
        std::string service = "registry";
        std::string zone = "zone-a";
        std::string version = "v1";
        int slots = 6;
        std::int64_t heartbeatMs = 1'200;
        // The daemon that gets the heartbeats.
        int daemon = 0;
    };
    // Called for each request that is run, in the connection's thread, and answers it.
    using Run = std::function<bool(Worker &, const Message &, Connection &)>;

    Worker(Deployment &deployment, int n, Options options, Run run)
        : m_deployment(deployment)
        , m_options(std::move(options))
        , m_address(deployment.at(deployment.workerIp(n)))
        , m_born(unixMillis())
        , m_run(std::move(run))
        , m_server(m_address,
              [this](const Message &request, Connection &connection) {
                  return handle(request, connection);
              })
    {
        m_thread = std::thread([this] {
            announceAll();
        });
    }
    ~Worker()
    {
        stop();
    }
    void stop()
    {
        m_stopping = true;
        if (m_thread.joinable()) {
            m_thread.join();
        }
        m_server.stop();
    }
    [[nodiscard]] const std::string &id() const
    {
        return m_options.id;
    }
    [[nodiscard]] const std::string &address() const
    {
        return m_address;
    }
    [[nodiscard]] std::int64_t born() const
    {
        return m_born;
    }
    [[nodiscard]] std::int64_t lastHeartbeatAt() const
    {
        return m_lastHeartbeatAt;
    }
    void setLeaving()
    {
        m_leaving = true;
    }
    [[nodiscard]] bool leaving() const
    {
        return m_leaving;
    }
    void stopHeartbeats()
    {
        m_silent = true;
    }
    std::string signature(const std::string &id) const
    {
        return m_options.id + "." + id;
    }
    /** The lines that every answer to a request bears. */
    Headers answerHeaders(const Message &request) const
    {
        const std::string id = header(request.headers, "X-Attempt-Id");
        Headers lines{{"X-Attempt-Id", id}, {"X-Server-Signature", signature(id)}, {"Content-Type", "text/plain"}};
        if (m_leaving) {
            lines.emplace_back("Server-Leaving", "1");
            lines.emplace_back("Connection", "close");
        }
        return lines;
    }

private:
    bool handle(const Message &request, Connection &connection)
    {
        const std::string id = header(request.headers, "X-Attempt-Id");
        if (request.first.starts_with("GET /healthz")) {
            return connection.write(answerText(m_leaving ? 503 : 200, {{"X-Instance-Id", m_options.id}}, ""));
        }
        if (request.first.find(" /report ") != std::string::npos) {
            // A plain service has no report.
            return connection.write(answerText(404, {}, ""));
        }
        const std::string meant = header(request.headers, "X-Expect-Instance");
        if (!meant.empty() && meant != m_options.id) {
            RECORD("%s answers 421 to %s, meant for %s", m_options.id.c_str(), id.c_str(), meant.c_str());
            return connection.write(answerText(421, {{"X-Attempt-Id", id}, {"X-Not-Executed", "1"}}, ""));
        }
        return m_run(*this, request, connection) && !m_leaving;
    }
    void announceAll()
    {
        int daemon = m_options.daemon;
        while (!m_stopping) {
            if (!m_silent) {
                const std::string body = "{\"service\":\"" + m_options.service + "\",\"address\":\"" + m_address
                    + "\",\"zone\":\"" + m_options.zone + "\",\"version\":\"" + m_options.version
                    + "\",\"slots\":" + std::to_string(m_options.slots) + ",\"state\":\""
                    + (m_leaving ? "draining" : "ready") + "\",\"cold_remaining_ms\":0,\"born\":"
                    + std::to_string(m_born) + ",\"sequence\":" + std::to_string(++m_sequence) + "}";
                const std::int64_t sentAt = now();
                const Message reply = call(m_deployment.control(daemon), "POST",
                    "/Instances.Heartbeat/" + m_options.id, {{"Content-Type", "application/json"}}, body, 1'000);
                if (reply.status() >= 200 && reply.status() < 300) {
                    m_lastHeartbeatAt = sentAt;
                } else {
                    daemon = (daemon + 1) % static_cast<int>(m_deployment.controlMachines.size());
                    continue;
                }
            }
            for (std::int64_t n = 0; n < m_options.heartbeatMs / 20 && !m_stopping; ++n) {
                sleepMs(20);
            }
        }
    }

    Deployment &m_deployment;
    const Options m_options;
    const std::string m_address;
    const std::int64_t m_born;
    Run m_run;
    std::atomic<bool> m_stopping = false;
    std::atomic<bool> m_silent = false;
    std::atomic<bool> m_leaving = false;
    std::atomic<std::int64_t> m_lastHeartbeatAt = -1;
    std::int64_t m_sequence = 0;
    HttpServer m_server;
    std::thread m_thread;
};

inline std::string routeText(const std::string &name, const std::string &kind, const std::string &service,
    int timeoutMs, int attempts, bool resumable = false)
{
    std::ostringstream out;
    out << "{\"name\":\"" << name << "\",\"host\":\"site.example\",\"path_prefix\":\"/" << name << "/\",\"kind\":\""
        << kind << "\",\"timeout_ms\":" << timeoutMs << ",\"target_latency_ms\":300,\"priority\":1,\"service\":\""
        << service << "\",\"max_attempts\":" << attempts
        << ",\"public\":true,\"sticky\":false,\"resumable\":" << (resumable ? "true" : "false")
        << ",\"target_gap_ms\":400}";
    return out.str();
}

inline std::string manifestText(int version, const std::vector<std::string> &routes, const std::vector<std::string> &services)
{
    std::ostringstream out;
    out << "{\"version\":" << version << ",\"routes\":[";
    for (std::size_t n = 0; n < routes.size(); ++n) {
        out << (n > 0 ? "," : "") << routes[n];
    }
    out << "],\"services\":[";
    for (std::size_t n = 0; n < services.size(); ++n) {
        out << (n > 0 ? "," : "") << "{\"name\":\"" << services[n]
            << "\",\"health_path\":\"/healthz\",\"max_connections\":110,\"protocol\":\"h1\",\"tls\":false}";
    }
    out << "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
           "\"idle_timeout_ms\":15000}}";
    return out.str();
}

/** True unless TROUBLE=0 is set: then the same runs without the disruption. */
inline bool withTrouble()
{
    const char *text = std::getenv("TROUBLE");
    return text == nullptr || std::string(text) != "0";
}

} // namespace review
