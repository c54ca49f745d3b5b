#include "UplinkGate.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>

namespace hyssop::harness {

using boost::asio::ip::tcp;

namespace {

/// Inode of the socket whose local port is \a port and whose peer has \a peerPort; empty if there
/// is none.
std::string socketInode(std::uint16_t port, std::uint16_t peerPort)
{
    const auto portOf = [](const std::string &address) {
        return static_cast<std::uint16_t>(
                std::stoul(address.substr(address.find(':') + 1), nullptr, 16));
    };
    std::ifstream table("/proc/net/tcp");
    std::string line;
    std::getline(table, line);
    while (std::getline(table, line)) {
        std::istringstream words(line);
        std::string word;
        std::string local;
        std::string remote;
        std::string inode;
        words >> word >> local >> remote;
        for (int n = 0; n < 7; ++n)
            words >> inode;
        if (portOf(local) == port && portOf(remote) == peerPort)
            return inode;
    }
    return {};
}

bool ownsSocket(pid_t process, const std::string &inode)
{
    std::error_code ec;
    const std::filesystem::path folder = "/proc/" + std::to_string(process) + "/fd";
    for (const auto &it : std::filesystem::directory_iterator(folder, ec)) {
        if (std::filesystem::read_symlink(it.path(), ec) == "socket:[" + inode + "]")
            return true;
    }
    return false;
}

} // namespace

class UplinkGate::Impl
{
public:
    Impl()
        : m_work(boost::asio::make_work_guard(m_io))
        , m_thread([this] { m_io.run(); })
    { }

    ~Impl()
    {
        m_io.stop();
        m_thread.join();
    }

    void forward(const base::Endpoint &listen, const base::Endpoint &target)
    {
        auto gate = std::make_shared<Gate>(m_io, endpointOf(listen), endpointOf(target));
        boost::asio::post(m_io, [this, gate] {
            m_gates.push_back(gate);
            accept(gate);
        });
    }

    void set(pid_t process, Uplinks uplinks)
    {
        boost::asio::post(m_io, [this, process, uplinks] {
            m_uplinks[process] = uplinks;
            const auto sessions = m_sessions;
            for (const auto &it : sessions) {
                if (it->process != process)
                    continue;
                if (uplinks == Uplinks::Reset)
                    reset(it);
                else if (uplinks != Uplinks::Silent)
                    resume(it);
            }
        });
    }

private:
    struct Gate
    {
        Gate(boost::asio::io_context &io, const tcp::endpoint &listen, tcp::endpoint to)
            : acceptor(io, listen)
            , target(std::move(to))
        { }
        tcp::acceptor acceptor;
        tcp::endpoint target;
    };

    /// One way of a connection, with what was read and not passed on yet.
    struct Way
    {
        std::array<char, 16'384> buffer{};
        std::size_t held = 0;
        bool isOver = false;
    };

    struct Session
    {
        Session(boost::asio::io_context &io, tcp::socket from)
            : near(std::move(from))
            , far(io)
        { }
        tcp::socket near; ///< To the process.
        tcp::socket far; ///< To the upstream.
        Way out;
        Way back;
        pid_t process = 0;
        bool isConnected = false;
    };
    using SessionPtr = std::shared_ptr<Session>;

    static tcp::endpoint endpointOf(const base::Endpoint &it)
    {
        return {boost::asio::ip::make_address(it.address), it.port};
    }

    Uplinks uplinksOf(pid_t process) const
    {
        const auto it = m_uplinks.find(process);
        return it == m_uplinks.end() ? Uplinks::Open : it->second;
    }

    pid_t ownerOf(const tcp::socket &socket) const
    {
        boost::system::error_code ec;
        const std::string inode =
                socketInode(socket.remote_endpoint(ec).port(), socket.local_endpoint(ec).port());
        for (const auto &[process, uplinks] : m_uplinks) {
            if (!inode.empty() && ownsSocket(process, inode))
                return process;
        }
        return 0;
    }

    void accept(const std::shared_ptr<Gate> &gate)
    {
        gate->acceptor.async_accept([this, gate](boost::system::error_code ec, tcp::socket socket) {
            if (ec)
                return;
            const auto session = std::make_shared<Session>(m_io, std::move(socket));
            session->process = ownerOf(session->near);
            m_sessions.insert(session);
            const Uplinks uplinks = uplinksOf(session->process);
            if (uplinks == Uplinks::Reset || uplinks == Uplinks::NoNew)
                reset(session);
            else
                connect(session, gate->target);
            accept(gate);
        });
    }

    void connect(const SessionPtr &session, const tcp::endpoint &target)
    {
        session->far.async_connect(target, [this, session](boost::system::error_code ec) {
            if (ec)
                return reset(session);
            session->isConnected = true;
            read(session, session->near, session->far, session->out);
            read(session, session->far, session->near, session->back);
        });
    }

    void read(const SessionPtr &session, tcp::socket &from, tcp::socket &to, Way &way)
    {
        from.async_read_some(
                boost::asio::buffer(way.buffer),
                [this, session, &from, &to, &way](boost::system::error_code ec, std::size_t n) {
                    way.held = n;
                    way.isOver = static_cast<bool>(ec);
                    if (uplinksOf(session->process) != Uplinks::Silent)
                        pass(session, from, to, way);
                });
    }

    void pass(const SessionPtr &session, tcp::socket &from, tcp::socket &to, Way &way)
    {
        if (way.isOver) {
            close(session);
            return;
        }
        boost::asio::async_write(
                to, boost::asio::buffer(way.buffer.data(), std::exchange(way.held, 0)),
                [this, session, &from, &to, &way](boost::system::error_code ec, std::size_t) {
                    if (ec)
                        close(session);
                    else
                        read(session, from, to, way);
                });
    }

    /// Passes on what was held while the links were silent.
    void resume(const SessionPtr &session)
    {
        if (session->out.held > 0 || session->out.isOver)
            pass(session, session->near, session->far, session->out);
        if (session->back.held > 0 || session->back.isOver)
            pass(session, session->far, session->near, session->back);
    }

    void reset(const SessionPtr &session)
    {
        boost::system::error_code ec;
        session->near.set_option(boost::asio::socket_base::linger(true, 0), ec);
        close(session);
    }

    void close(const SessionPtr &session)
    {
        boost::system::error_code ec;
        session->near.close(ec);
        session->far.close(ec);
        m_sessions.erase(session);
    }

    boost::asio::io_context m_io;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    std::vector<std::shared_ptr<Gate>> m_gates;
    std::set<SessionPtr> m_sessions;
    std::map<pid_t, Uplinks> m_uplinks;
    std::thread m_thread;
};

UplinkGate::UplinkGate()
    : m_impl(std::make_unique<Impl>())
{ }

UplinkGate::~UplinkGate() = default;

void UplinkGate::forward(const base::Endpoint &listen, const base::Endpoint &target)
{
    m_impl->forward(listen, target);
}

void UplinkGate::set(pid_t process, Uplinks uplinks)
{
    m_impl->set(process, uplinks);
}

} // namespace hyssop::harness
