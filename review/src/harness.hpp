// Stand-ins and process control for the scripts of the review: a small HTTP/1.1 client and server, plain workers that
// announce themselves, an operator, and the daemons of the deploy file on loopback addresses.
#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>
#include <memory>

namespace harness
{

inline std::int64_t steadyMillis()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

inline std::int64_t wallMillis()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

inline void sleepMillis(std::int64_t n)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(n));
}

inline std::string hex(std::uint64_t number)
{
    char buf[17];
    std::snprintf(buf, sizeof buf, "%016llx", static_cast<unsigned long long>(number));
    return buf;
}

inline std::uint64_t randomNumber()
{
    static std::mutex mutex;
    static std::mt19937_64 engine{std::random_device{}()};
    const std::lock_guard<std::mutex> lock(mutex);
    return engine();
}

// record.txt: one line for each thing that was sent, answered or run, with milliseconds since the start.
class Record
{
public:
    explicit Record(const std::string &path)
        : m_file(path, std::ios::trunc)
    {
    }

    void line(const std::string &text)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_file << steadyMillis() - m_start << ' ' << text << '\n';
        m_file.flush();
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    const std::int64_t m_start = steadyMillis();
};

// ---- sockets -------------------------------------------------------------------------------------------------------

inline sockaddr_in socketAddress(const std::string &address)
{
    const std::size_t colon = address.rfind(':');
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &out.sin_addr);
    return out;
}

inline int connectTo(const std::string &address, int timeoutMillis)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const sockaddr_in to = socketAddress(address);
    if (connect(fd, reinterpret_cast<const sockaddr *>(&to), sizeof to) != 0 && errno != EINPROGRESS) {
        close(fd);
        return -1;
    }
    pollfd polled{fd, POLLOUT, 0};
    int error = 0;
    socklen_t size = sizeof error;
    if (poll(&polled, 1, timeoutMillis) != 1 || getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
        close(fd);
        return -1;
    }
    const int one = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    return fd;
}

inline bool writeAll(int fd, const char *bytes, std::size_t size, int timeoutMillis)
{
    while (size > 0) {
        const ssize_t n = send(fd, bytes, size, MSG_NOSIGNAL);
        if (n > 0) {
            bytes += n;
            size -= static_cast<std::size_t>(n);
            continue;
        }
        if (n < 0 && errno == EINTR) {
            continue;
        }
        if (n < 0 && errno != EAGAIN) {
            return false;
        }
        pollfd polled{fd, POLLOUT, 0};
        if (poll(&polled, 1, timeoutMillis) != 1) {
            return false;
        }
    }
    return true;
}

// Returns more than 0 for bytes, 0 for a closed connection, -1 for a reset, -2 for a timeout.
inline ssize_t readSome(int fd, char *buf, std::size_t size, int timeoutMillis)
{
    pollfd polled{fd, POLLIN, 0};
    if (poll(&polled, 1, timeoutMillis) != 1) {
        return -2;
    }
    const ssize_t n = recv(fd, buf, size, 0);
    return n < 0 ? -1 : n;
}

// ---- HTTP messages -------------------------------------------------------------------------------------------------

struct Message {
    // The request line or the status line.
    std::string first;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    [[nodiscard]] std::string header(const char *name) const
    {
        for (const auto &[key, value] : headers) {
            if (strcasecmp(key.c_str(), name) == 0) {
                return value;
            }
        }
        return {};
    }

    [[nodiscard]] std::string word(int n) const
    {
        std::istringstream in(first);
        std::string word;
        for (int k = 0; k <= n; ++k) {
            word.clear();
            in >> word;
        }
        return word;
    }
};

enum class ReadEnd { Whole, Closed, Reset, TimedOut };

// Reads one message; what arrives beyond it stays in `rest`.
inline ReadEnd readMessage(int fd, std::string &rest, Message &out, std::int64_t until, bool untilClose = false)
{
    out = {};
    const auto more = [&]() -> ReadEnd {
        char buf[65'536];
        const std::int64_t left = until - steadyMillis();
        const ssize_t n = left <= 0 ? -2 : readSome(fd, buf, sizeof buf, static_cast<int>(left));
        if (n > 0) {
            rest.append(buf, static_cast<std::size_t>(n));
            return ReadEnd::Whole;
        }
        return n == 0 ? ReadEnd::Closed : n == -1 ? ReadEnd::Reset : ReadEnd::TimedOut;
    };
    std::size_t end;
    while ((end = rest.find("\r\n\r\n")) == std::string::npos) {
        if (const ReadEnd got = more(); got != ReadEnd::Whole) {
            return got;
        }
    }
    std::istringstream head(rest.substr(0, end));
    rest.erase(0, end + 4);
    std::string line;
    while (std::getline(head, line)) {
        if (!line.empty() && line.back() == '\r') {
            line.pop_back();
        }
        if (out.first.empty()) {
            out.first = line;
            continue;
        }
        const std::size_t colon = line.find(':');
        const std::size_t value = line.find_first_not_of(' ', colon + 1);
        out.headers.emplace_back(line.substr(0, colon), value == std::string::npos ? "" : line.substr(value));
    }
    if (strcasecmp(out.header("Transfer-Encoding").c_str(), "chunked") == 0) {
        while (true) {
            std::size_t mark;
            while ((mark = rest.find("\r\n")) == std::string::npos) {
                if (const ReadEnd got = more(); got != ReadEnd::Whole) {
                    return got;
                }
            }
            const std::size_t size = std::stoul(rest.substr(0, mark), nullptr, 16);
            while (rest.size() < mark + 2 + size + 2) {
                if (const ReadEnd got = more(); got != ReadEnd::Whole) {
                    return got;
                }
            }
            out.body.append(rest, mark + 2, size);
            rest.erase(0, mark + 2 + size + 2);
            if (size == 0) {
                return ReadEnd::Whole;
            }
        }
    }
    const std::string length = out.header("Content-Length");
    if (!length.empty()) {
        const std::size_t size = std::stoul(length);
        while (rest.size() < size) {
            if (const ReadEnd got = more(); got != ReadEnd::Whole) {
                return got;
            }
        }
        out.body = rest.substr(0, size);
        rest.erase(0, size);
        return ReadEnd::Whole;
    }
    if (untilClose) {
        ReadEnd got;
        while ((got = more()) == ReadEnd::Whole) { }
        out.body = std::exchange(rest, {});
        return got == ReadEnd::Closed ? ReadEnd::Whole : got;
    }
    return ReadEnd::Whole;
}

// One call over a new connection; returns the status, or 0 without an answer.
inline int call(const std::string &address, const std::string &method, const std::string &path,
    const std::string &body, std::string *answer = nullptr, int timeoutMillis = 1'000)
{
    const int fd = connectTo(address, timeoutMillis);
    if (fd < 0) {
        return 0;
    }
    const std::string text = method + ' ' + path + " HTTP/1.1\r\nHost: " + address
        + "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    std::string rest;
    Message message;
    const bool whole = writeAll(fd, text.data(), text.size(), timeoutMillis)
        && readMessage(fd, rest, message, steadyMillis() + timeoutMillis) == ReadEnd::Whole;
    close(fd);
    if (!whole) {
        return 0;
    }
    if (answer != nullptr) {
        *answer = message.body;
    }
    return std::atoi(message.word(1).c_str());
}

// ---- a worker of a plain service -----------------------------------------------------------------------------------

struct Arrival {
    std::string id;
    std::string worker;
    std::int64_t at = 0;
    std::size_t bytes = 0;
};

struct WorkerOptions {
    std::string id;
    std::string service;
    std::string address;
    std::string zone = "zone-a";
    int slots = 6;
    int queue = 24;
    std::int64_t workMillis = 60;
};

// Serves `slots` requests at once and queues a few more, as PROTOCOL.md describes, section Workers.
class Worker
{
public:
    Worker(WorkerOptions options, std::vector<std::string> controls, Record &record)
        : m_options(std::move(options))
        , m_controls(std::move(controls))
        , m_record(record)
    {
        m_listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int one = 1;
        setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
        const sockaddr_in at = socketAddress(m_options.address);
        m_bound = bind(m_listener, reinterpret_cast<const sockaddr *>(&at), sizeof at) == 0
            && listen(m_listener, 512) == 0;
        std::thread([this] {
            acceptAll();
        }).detach();
        std::thread([this] {
            announce();
        }).detach();
    }

    [[nodiscard]] bool bound() const
    {
        return m_bound;
    }

    [[nodiscard]] std::vector<Arrival> arrivals() const
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_arrivals;
    }

private:
    void announce()
    {
        std::uint64_t sequence = 0;
        std::size_t at = randomNumber();
        while (true) {
            const std::string body = "{\"service\":\"" + m_options.service + "\",\"address\":\"" + m_options.address
                + "\",\"zone\":\"" + m_options.zone + "\",\"version\":\"v1\",\"slots\":"
                + std::to_string(m_options.slots) + ",\"state\":\"ready\",\"cold_remaining_ms\":0,\"born\":"
                + std::to_string(m_born) + ",\"sequence\":" + std::to_string(++sequence) + "}";
            const int status = call(
                m_controls[at % m_controls.size()], "POST", "/Instances.Heartbeat/" + m_options.id, body);
            if (status / 100 != 2) {
                ++at;
            }
            sleepMillis(status / 100 == 2 ? 1'200 : 200);
        }
    }

    void acceptAll()
    {
        while (true) {
            const int fd = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
            if (fd >= 0) {
                std::thread([this, fd] {
                    serve(fd);
                }).detach();
            }
        }
    }

    void serve(int fd)
    {
        std::string rest;
        Message request;
        while (readMessage(fd, rest, request, steadyMillis() + 20'000) == ReadEnd::Whole) {
            const std::string id = request.header("X-Attempt-Id");
            std::string head;
            std::string body = "done " + id;
            if (!request.header("X-Expect-Instance").empty() && request.header("X-Expect-Instance") != m_options.id) {
                head = "HTTP/1.1 421 Misdirected Request\r\nX-Not-Executed: 1\r\n";
            } else if (m_present.fetch_add(1) >= m_options.slots + m_options.queue) {
                --m_present;
                m_record.line("worker " + m_options.id + " full " + id);
                head = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n";
            } else {
                while (!takeSlot()) {
                    sleepMillis(1);
                }
                {
                    const std::lock_guard<std::mutex> lock(m_mutex);
                    m_arrivals.push_back({id, m_options.id, steadyMillis(), request.body.size()});
                }
                m_record.line(
                    "worker " + m_options.id + " runs " + id + " bytes=" + std::to_string(request.body.size()));
                sleepMillis(m_options.workMillis);
                --m_running;
                --m_present;
                head = "HTTP/1.1 200 OK\r\nX-Server-Signature: " + m_options.id + "\r\n";
            }
            const std::string answer = head + "X-Attempt-Id: " + id + "\r\nContent-Type: text/plain\r\nContent-Length: "
                + std::to_string(body.size()) + "\r\n\r\n" + body;
            if (!writeAll(fd, answer.data(), answer.size(), 5'000)) {
                break;
            }
        }
        close(fd);
    }

    bool takeSlot()
    {
        int running = m_running;
        return running < m_options.slots && m_running.compare_exchange_strong(running, running + 1);
    }

    const WorkerOptions m_options;
    const std::vector<std::string> m_controls;
    Record &m_record;
    const std::int64_t m_born = wallMillis();
    int m_listener = -1;
    bool m_bound = false;
    std::atomic<int> m_running{0};
    std::atomic<int> m_present{0};
    mutable std::mutex m_mutex;
    std::vector<Arrival> m_arrivals;
};

// ---- the daemons of the deploy file --------------------------------------------------------------------------------

class Process
{
public:
    Process(std::string program, std::string role, std::string settings, std::string log)
        : m_program(std::move(program))
        , m_role(std::move(role))
        , m_settings(std::move(settings))
        , m_log(std::move(log))
    {
    }

    void start()
    {
        m_pid = fork();
        if (m_pid == 0) {
            // No process outlives the script, however that ends.
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int out = open(m_log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
            dup2(out, 1);
            dup2(out, 2);
            execl(m_program.c_str(), m_program.c_str(), m_role.c_str(), "--settings", m_settings.c_str(), nullptr);
            _exit(127);
        }
    }

    void signal(int number) const
    {
        if (m_pid > 0) {
            ::kill(m_pid, number);
        }
    }

    void end()
    {
        if (m_pid > 0) {
            ::kill(m_pid, SIGCONT);
            ::kill(m_pid, SIGKILL);
            waitpid(m_pid, nullptr, 0);
            m_pid = -1;
        }
    }

    [[nodiscard]] bool ended() const
    {
        return m_pid <= 0 || waitpid(m_pid, nullptr, WNOHANG) == m_pid;
    }

    // Resident memory in bytes.
    [[nodiscard]] std::uint64_t residentBytes() const
    {
        std::ifstream in("/proc/" + std::to_string(m_pid) + "/statm");
        std::uint64_t all = 0;
        std::uint64_t resident = 0;
        in >> all >> resident;
        return resident * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
    }

private:
    const std::string m_program;
    const std::string m_role;
    const std::string m_settings;
    const std::string m_log;
    pid_t m_pid = -1;
};

// Control and entry daemons, each at a loopback address of its own; the settings are those of deploy/*.toml, filled in
// for this deployment. No process is left when it is destroyed.
class Deployment
{
public:
    Deployment(std::string program, int controls, int entries)
        : m_program(std::move(program))
    {
        // run.sh makes the folder, and removes it.
        const char *folder = std::getenv("REVIEW_FOLDER");
        m_folder = folder == nullptr ? "/tmp" : folder;
        // Rarely used addresses, and ports that are free at all of them.
        m_net = "127." + std::to_string(20 + randomNumber() % 200) + '.' + std::to_string(randomNumber() % 250) + '.';
        m_port = static_cast<int>(20'000 + randomNumber() % 8'000);
        std::string seeds;
        for (int n = 0; n < controls; ++n) {
            m_controls.push_back(m_net + std::to_string(10 + n) + ':' + std::to_string(m_port));
            seeds += "\n[[seed]]\naddress = \"" + m_controls.back() + "\"\n";
        }
        for (int n = 0; n < controls; ++n) {
            const std::string ip = m_net + std::to_string(10 + n);
            const std::string path = m_folder + "/control" + std::to_string(n);
            write(path + ".toml",
                "vm = \"core-" + std::to_string(n) + "\"\ndata_centre = \"zone-a\"\nregion = \"region\"\nlisten = \"" + ip
                    + ':' + std::to_string(m_port) + "\"\npeer_listen = \"" + ip + ':' + std::to_string(m_port + 1)
                    + "\"\ndata_folder = \"" + path + ".data\"\nbootstrap = true\n" + seeds
                    + "\n[upstreams]\nlease_ms = 5000\nwarm_up_ms = 3000\n\n[entry]\ndrain_notice_ms = 1000\n"
                      "\n[placement]\nstore_window_s = 5\n");
            m_processes.emplace_back(new Process(m_program, "control", path + ".toml", path + ".log"));
        }
        for (int n = 0; n < entries; ++n) {
            const std::string ip = m_net + std::to_string(50 + n);
            const std::string path = m_folder + "/entry" + std::to_string(n);
            m_entries.push_back(ip + ':' + std::to_string(m_port));
            write(path + ".toml",
                "vm = \"frontend-" + std::to_string(n)
                    + "\"\ndata_centre = \"zone-a\"\nregion = \"region\"\nlisten = \"" + ip + ':'
                    + std::to_string(m_port) + "\"\nreadiness_listen = \"" + ip + ':' + std::to_string(m_port + 3)
                    + "\"\npeer_listen = \"" + ip + ':' + std::to_string(m_port + 1) + "\"\nforward_listen = \"" + ip
                    + ':' + std::to_string(m_port + 2) + "\"\n" + seeds
                    + "\n[upstreams]\nlease_ms = 5000\n\n[entry]\nthreads = 1\ndrain_notice_ms = 2500\n"
                      "drain_limit_ms = 7600\n\n[relay]\nserves_when_cut_off = true\nretry_ratio = 0.2\n"
                      "retry_window_s = 10\n");
            m_processes.emplace_back(new Process(m_program, "entry", path + ".toml", path + ".log"));
        }
        m_controlCount = static_cast<std::size_t>(controls);
        for (const auto &it : m_processes) {
            it->start();
        }
    }

    ~Deployment()
    {
        for (const auto &it : m_processes) {
            it->end();
        }
    }

    [[nodiscard]] const std::vector<std::string> &controls() const
    {
        return m_controls;
    }

    [[nodiscard]] const std::string &entry(int n) const
    {
        return m_entries[static_cast<std::size_t>(n)];
    }

    [[nodiscard]] Process &entryProcess(int n) const
    {
        return *m_processes[m_controlCount + static_cast<std::size_t>(n)];
    }

    [[nodiscard]] Process &controlProcess(int n) const
    {
        return *m_processes[static_cast<std::size_t>(n)];
    }

    // An address for a worker.
    [[nodiscard]] std::string workerAddress(int n) const
    {
        return m_net + std::to_string(100 + n) + ':' + std::to_string(m_port + 8);
    }

    [[nodiscard]] bool isReady(int n) const
    {
        const std::string &address = m_entries[static_cast<std::size_t>(n)];
        return call(address.substr(0, address.find(':') + 1) + std::to_string(m_port + 3), "GET", "/readyz", "") == 200;
    }

    // The operator: sends a manifest to any daemon until it is acknowledged.
    bool replace(const std::string &manifest, std::int64_t within)
    {
        const std::int64_t until = steadyMillis() + within;
        for (std::size_t n = 0; steadyMillis() < until; ++n) {
            if (call(m_controls[n % m_controls.size()], "POST", "/Config.Replace", manifest, nullptr, 2'000) == 200) {
                return true;
            }
            sleepMillis(200);
        }
        return false;
    }

private:
    static void write(const std::string &path, const std::string &text)
    {
        std::ofstream(path) << text;
    }

    const std::string m_program;
    std::string m_folder;
    std::string m_net;
    int m_port = 0;
    std::vector<std::string> m_controls;
    std::vector<std::string> m_entries;
    std::size_t m_controlCount = 0;
    std::vector<std::unique_ptr<Process>> m_processes;
};

inline bool isTroubled()
{
    const char *trouble = std::getenv("TROUBLE");
    return trouble == nullptr || std::string(trouble) != "0";
}

} // namespace harness
