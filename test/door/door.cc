#include <array>
#include <boost/asio.hpp>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <memory>
#include <thread>

#include "limpetpier/state/clock.h"
#include "limpetpier/transport/endpoints.h"
#include "limpetpier/transport/program.h"
#include "limpetpier/transport/settings.h"

// Plays a crowd of hostile clients against a running process and checks what must hold at any speed of the machine: the
// process lives, its memory and open files stay under a bound, and an ordinary request is answered while the crowd is
// connected and after it has left. scripts/door starts the processes.

namespace limpetpier::door {

namespace {

using asio::ip::tcp;

// The crowd's play ends once nothing was sent, received or closed for this long.
constexpr milliseconds stallTime { 600 };
constexpr std::chrono::seconds maxPlayTime { 15 };

// Ordinary requests are repeated on new connections, as callers do, up to this time.
constexpr std::chrono::seconds ordinaryTimeout { 20 };
constexpr std::chrono::seconds attemptTimeout { 2 };

constexpr std::size_t headerLimit = 16384;
constexpr int kibibytesPerMebibyte = 1024;

const std::vector<setting>& settingsTable()
{
    static const std::vector<setting> table {
        { "case", "", "short-body, chunks, oversized, fields, pipelined, slow-reader or slow-sender", setting_kind::text, true, 0, 0, false },
        { "target", "", "IP:port that the crowd connects to", setting_kind::text, true, 0, 0, false },
        { "method", "POST", "Method of the crowd's requests", setting_kind::text, true, 0, 0, false },
        { "path", "/", "Path of the crowd's requests", setting_kind::text, true, 0, 0, false },
        { "connections", "400", "Size of the crowd", setting_kind::number, true, 1, 10'000, false },
        { "body-bytes", "262144", "Largest legal body", setting_kind::number, true, 1, 1'000'000'000, false },
        { "ordinary", "", "IP:port that the ordinary request is sent to", setting_kind::text, true, 0, 0, false },
        { "ordinary-path", "/", "Path of the ordinary request, which must be answered with 200", setting_kind::text, true, 0, 0, false },
        { "pid", "", "Process to check", setting_kind::number, true, 1, 2'000'000'000, false },
        { "max-mb", "", "Maximum resident memory of the process", setting_kind::number, true, 1, 1'000'000, false },
        { "max-fds", "", "Limit of open files, which the process must not reach", setting_kind::number, true, 1, 1'000'000, false },
    };
    return table;
}

struct script {
    std::string beginning;
    std::string repeated;
    std::size_t repetitions = 0;
    std::size_t pieceBytes = 0; // with a pause after each; 0: no pauses
    bool reads = true;
};

script makeScript(const program_settings& settings)
{
    const auto name = settings.text("case");
    const auto bodyBytes = static_cast<std::size_t>(settings.number("body-bytes"));
    const std::string line = settings.text("method") + " " + settings.text("path") + " HTTP/1.1\r\nHost: search.example\r\nRequest-Id: 0123456789abcdef\r\nDeadline-Ms: 900\r\n";
    const auto withLength = [&](std::size_t length) { return line + "Content-Length: " + std::to_string(length) + "\r\n\r\n"; };
    constexpr std::size_t pieceBytes = 1024;
    constexpr std::size_t chunkBytes = 8;
    constexpr std::size_t chunksPerPiece = 128;
    if (name == "short-body")
        return { withLength(bodyBytes) + std::string(bodyBytes % pieceBytes + pieceBytes - 1, 'x'), std::string(pieceBytes, 'x'), bodyBytes / pieceBytes - 1 };
    if (name == "chunks") {
        std::string chunks;
        for (std::size_t count = 0; count < chunksPerPiece; ++count)
            chunks += "8\r\nxxxxxxxx\r\n";
        return { line + "Transfer-Encoding: chunked\r\n\r\n", chunks, bodyBytes / chunkBytes / chunksPerPiece - 1 };
    }
    if (name == "oversized")
        return { withLength(64 * bodyBytes), std::string(pieceBytes, 'x'), 8 * bodyBytes / pieceBytes };
    if (name == "fields") {
        std::string fields = line + "Content-Length: 2\r\n";
        while (fields.size() + 6 <= headerLimit)
            fields += "a:\r\n";
        return { fields + "\r\nx", "", 0 };
    }
    if (name == "pipelined") {
        std::string requests;
        for (int count = 0; count < 64; ++count)
            requests += withLength(0);
        script result { "", requests, 8 * bodyBytes / requests.size() };
        result.reads = false;
        return result;
    }
    if (name == "slow-reader") {
        constexpr std::size_t unreadReplies = 7; // after the first
        script result { withLength(0), withLength(0), unreadReplies };
        result.reads = false;
        return result;
    }
    if (name == "slow-sender")
        return { withLength(bodyBytes), "x", bodyBytes, 1 };
    throw std::runtime_error("unknown case " + name);
}

class crowd {
public:
    crowd(asio::io_context& io, tcp::endpoint target, script play)
        : m_io(io)
        , m_target(std::move(target))
        , m_script(std::move(play))
    {
    }

    void connect(std::size_t count)
    {
        for (std::size_t index = 0; index < count; ++index) {
            auto client = std::make_shared<member>(m_io, *this);
            m_members.push_back(client);
            client->start();
        }
    }

    // Runs until the crowd has sent everything or makes no further progress. Slow senders, which never stall, and clients
    // that don't read run for a fixed time.
    void play()
    {
        const auto begin = monotonic_clock::now();
        const bool isSlow = m_script.pieceBytes > 0 || !m_script.reads;
        constexpr std::chrono::seconds slowPlayTime { 3 };
        m_lastProgress = begin;
        while (monotonic_clock::now() - begin < (isSlow ? slowPlayTime : maxPlayTime) && (isSlow || monotonic_clock::now() - m_lastProgress < stallTime))
            runFor(milliseconds(20));
    }

    void runFor(milliseconds duration)
    {
        m_io.restart();
        m_io.run_for(duration);
    }

    void leave() { m_members.clear(); }

    std::size_t sentBytes = 0;
    std::size_t closed = 0;

private:
    class member : public std::enable_shared_from_this<member> {
    public:
        member(asio::io_context& io, crowd& owner)
            : m_socket(io)
            , m_timer(io)
            , m_owner(owner)
        {
        }

        void start()
        {
            constexpr int smallBufferBytes = 4096;
            boost::system::error_code ignored;
            m_socket.open(tcp::v4());
            if (!m_owner.m_script.reads)
                m_socket.set_option(asio::socket_base::receive_buffer_size(smallBufferBytes), ignored);
            m_socket.async_connect(m_owner.m_target, [weak = weak_from_this()](const boost::system::error_code& error) {
                if (const auto self = weak.lock(); self && !error) {
                    self->m_owner.m_lastProgress = monotonic_clock::now();
                    self->read();
                    self->write(self->m_owner.m_script.beginning);
                }
            });
        }

    private:
        void write(const std::string& bytes)
        {
            asio::async_write(m_socket, asio::buffer(bytes), [weak = weak_from_this()](const boost::system::error_code& error, std::size_t count) {
                const auto self = weak.lock();
                if (!self || error)
                    return;
                self->m_owner.sentBytes += count;
                self->m_owner.m_lastProgress = monotonic_clock::now();
                self->writeNext();
            });
        }

        void writeNext()
        {
            if (m_repetitions++ >= m_owner.m_script.repetitions)
                return;
            if (m_owner.m_script.pieceBytes == 0) {
                write(m_owner.m_script.repeated);
                return;
            }
            m_timer.expires_after(milliseconds(100));
            m_timer.async_wait([weak = weak_from_this()](const boost::system::error_code& error) {
                if (const auto self = weak.lock(); self && !error)
                    self->write(self->m_owner.m_script.repeated);
            });
        }

        void read()
        {
            if (!m_owner.m_script.reads)
                return;
            m_socket.async_read_some(asio::buffer(m_buffer), [weak = weak_from_this()](const boost::system::error_code& error, std::size_t) {
                const auto self = weak.lock();
                if (!self)
                    return;
                self->m_owner.m_lastProgress = monotonic_clock::now();
                if (!error) {
                    self->read();
                    return;
                }
                ++self->m_owner.closed;
                boost::system::error_code ignored;
                self->m_socket.close(ignored);
            });
        }

        tcp::socket m_socket;
        asio::steady_timer m_timer;
        crowd& m_owner;
        std::size_t m_repetitions = 0;
        std::array<char, 1024> m_buffer {};
    };

    asio::io_context& m_io;
    tcp::endpoint m_target;
    script m_script;
    std::vector<std::shared_ptr<member>> m_members;
    monotonic_time m_lastProgress;
};

// Sends one request on a new connection and returns the status of the answer, or 0.
unsigned requestStatus(const tcp::endpoint& endpoint, const std::string& path)
{
    asio::io_context io;
    tcp::socket socket(io);
    unsigned status = 0;
    std::string answer;
    const std::string request = "GET " + path + " HTTP/1.1\r\nHost: search.example\r\nRequest-Id: fedcba9876543210\r\nDeadline-Ms: 1000\r\nConnection: close\r\n\r\n";
    socket.async_connect(endpoint, [&](const boost::system::error_code& error) {
        if (error)
            return;
        asio::async_write(socket, asio::buffer(request), [&](const boost::system::error_code&, std::size_t) {
            asio::async_read_until(socket, asio::dynamic_buffer(answer), "\r\n\r\n", [&](const boost::system::error_code& failure, std::size_t) {
                constexpr std::size_t statusPosition = 9; // after "HTTP/1.1 "
                if (!failure)
                    status = static_cast<unsigned>(std::strtoul(answer.c_str() + statusPosition, nullptr, 10));
            });
        });
    });
    io.run_for(attemptTimeout);
    return status;
}

bool isServed(const tcp::endpoint& endpoint, const std::string& path)
{
    const auto end = monotonic_clock::now() + ordinaryTimeout;
    while (monotonic_clock::now() < end) {
        if (requestStatus(endpoint, path) == 200)
            return true;
        std::this_thread::sleep_for(milliseconds(100));
    }
    return false;
}

// Returns the peak resident memory in MiB, or 0 if the process has ended.
int peakMegabytes(const std::string& processDirectory)
{
    std::ifstream file(processDirectory + "/status");
    for (std::string line; std::getline(file, line);) {
        if (line.rfind("VmHWM:", 0) == 0)
            return (std::atoi(line.c_str() + 6) + kibibytesPerMebibyte - 1) / kibibytesPerMebibyte;
    }
    return 0;
}

int countOpenFiles(const std::string& processDirectory)
{
    std::error_code error;
    const std::filesystem::directory_iterator files(processDirectory + "/fd", error);
    return error ? 0 : static_cast<int>(std::distance(begin(files), end(files)));
}

int run(int argc, char** argv)
{
    const auto settings = program_settings::read("limpet-door", "Plays a crowd of hostile clients and checks the process that they meet.", settingsTable(), argc, argv);
    const auto ordinary = parseTcpEndpoint(settings.text("ordinary"));
    const auto processDirectory = "/proc/" + settings.text("pid");
    asio::io_context io { 1 };
    crowd clients(io, parseTcpEndpoint(settings.text("target")), makeScript(settings));
    clients.connect(static_cast<std::size_t>(settings.number("connections")));
    clients.play();
    const int openFiles = countOpenFiles(processDirectory);
    const bool servedBeside = isServed(ordinary, settings.text("ordinary-path"));
    clients.runFor(milliseconds(50));
    clients.leave();
    const bool servedAfter = isServed(ordinary, settings.text("ordinary-path"));
    const int peak = peakMegabytes(processDirectory);
    std::cout << settings.text("case") << ' ' << settings.text("target") << settings.text("path") << ": peak " << peak << " MB of " << settings.number("max-mb") << ", " << openFiles << " files of "
              << settings.number("max-fds") << ", sent " << (clients.sentBytes >> 20U) << " MB, closed " << clients.closed << (servedBeside ? ", served beside" : ", NOT SERVED beside") << (servedAfter ? ", served after" : ", NOT SERVED after") << std::endl;
    const bool isGood = peak > 0 && peak <= settings.number("max-mb") && openFiles > 0 && openFiles < settings.number("max-fds") && servedBeside && servedAfter;
    return isGood ? EXIT_SUCCESS : EXIT_FAILURE;
}

} // namespace

} // namespace limpetpier::door

int main(int argc, char** argv)
{
    return limpetpier::runProgram("limpet-door", limpetpier::door::run, argc, argv);
}
