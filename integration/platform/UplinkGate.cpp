#include "UplinkGate.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <filesystem>
#include <set>

#include <linux/inet_diag.h>
#include <linux/netlink.h>
#include <linux/sock_diag.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace hyssop::harness {

using boost::asio::ip::tcp;

namespace {

/// Inode of the other end of an accepted connection; 0 if there is none.
std::uint32_t peerInode(const tcp::socket &socket)
{
    boost::system::error_code ec;
    const tcp::endpoint peer = socket.remote_endpoint(ec);
    const tcp::endpoint own = socket.local_endpoint(ec);
    struct
    {
        nlmsghdr header;
        inet_diag_req_v2 request;
    } query{};
    query.header.nlmsg_len = sizeof query;
    query.header.nlmsg_type = SOCK_DIAG_BY_FAMILY;
    query.header.nlmsg_flags = NLM_F_REQUEST;
    query.request.sdiag_family = AF_INET;
    query.request.sdiag_protocol = IPPROTO_TCP;
    query.request.idiag_states = ~0U;
    query.request.id.idiag_sport = htons(peer.port());
    query.request.id.idiag_dport = htons(own.port());
    query.request.id.idiag_src[0] = htonl(peer.address().to_v4().to_uint());
    query.request.id.idiag_dst[0] = htonl(own.address().to_v4().to_uint());
    query.request.id.idiag_cookie[0] = INET_DIAG_NOCOOKIE;
    query.request.id.idiag_cookie[1] = INET_DIAG_NOCOOKIE;
    const int fd = ::socket(AF_NETLINK, SOCK_DGRAM | SOCK_CLOEXEC, NETLINK_SOCK_DIAG);
    std::array<char, 1'024> reply{};
    const bool isAnswered = fd >= 0 && ::send(fd, &query, sizeof query, 0) > 0
                            && ::recv(fd, reply.data(), reply.size(), 0) > 0;
    ::close(fd);
    const auto *header = reinterpret_cast<const nlmsghdr *>(reply.data());
    if (!isAnswered || header->nlmsg_type != SOCK_DIAG_BY_FAMILY)
        return 0;
    return static_cast<const inet_diag_msg *>(NLMSG_DATA(header))->idiag_inode;
}

/// Targets of the links below /proc for the descriptors of a process.
std::set<std::string> descriptorsOf(pid_t process)
{
    std::set<std::string> descriptors;
    std::error_code ec;
    const std::filesystem::path folder = "/proc/" + std::to_string(process) + "/fd";
    for (const auto &it : std::filesystem::directory_iterator(folder, ec))
        descriptors.insert(std::filesystem::read_symlink(it.path(), ec).string());
    return descriptors;
}

} // namespace

class UplinkGate::Impl
{
public:
    Impl()
        : m_work(boost::asio::make_work_guard(m_io))
        , m_acceptWork(boost::asio::make_work_guard(m_acceptIo))
        , m_thread([this] { m_io.run(); })
        , m_acceptThread([this] { m_acceptIo.run(); })
    { }

    ~Impl()
    {
        m_acceptIo.stop();
        m_io.stop();
        m_acceptThread.join();
        m_thread.join();
    }

    void forward(const base::Endpoint &listen, const base::Endpoint &target)
    {
        auto gate = std::make_shared<Gate>(m_acceptIo, endpointOf(listen), endpointOf(target));
        boost::asio::post(m_acceptIo, [this, gate] {
            m_gates.push_back(gate);
            accept(gate);
        });
    }

    void set(pid_t process, Uplinks uplinks)
    {
        boost::asio::post(m_acceptIo, [this, process] { m_processes.insert(process); });
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

    /// Finds the owners of all connections that were accepted since the last time, in one pass
    /// over the processes, and opens them.
    void openAccepted()
    {
        const auto accepted = std::exchange(m_accepted, {});
        std::map<std::string, SessionPtr> unowned;
        for (const auto &[session, gate] : accepted) {
            if (const std::uint32_t inode = peerInode(session->near); inode != 0)
                unowned["socket:[" + std::to_string(inode) + "]"] = session;
        }
        for (auto it = m_processes.begin(); it != m_processes.end() && !unowned.empty(); ++it) {
            for (const std::string &descriptor : descriptorsOf(*it)) {
                const auto session = unowned.find(descriptor);
                if (session == unowned.end())
                    continue;
                session->second->process = *it;
                unowned.erase(session);
            }
        }
        for (const auto &[session, gate] : accepted)
            boost::asio::post(
                    m_io, [this, gate = gate, session = session] { open(session, gate->target); });
    }

    void accept(const std::shared_ptr<Gate> &gate)
    {
        gate->acceptor.async_accept(
                m_io, [this, gate](boost::system::error_code ec, tcp::socket socket) {
                    if (ec)
                        return;
                    const auto session = std::make_shared<Session>(m_io, std::move(socket));
                    if (m_accepted.empty())
                        boost::asio::post(m_acceptIo, [this] { openAccepted(); });
                    m_accepted.emplace_back(session, gate);
                    accept(gate);
                });
    }

    void open(const SessionPtr &session, const tcp::endpoint &target)
    {
        m_sessions.insert(session);
        const Uplinks uplinks = uplinksOf(session->process);
        if (uplinks == Uplinks::Reset || uplinks == Uplinks::NoNew)
            reset(session);
        else
            connect(session, target);
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
    /// Finding the owner of a socket takes long, so what passes must not wait for it.
    boost::asio::io_context m_acceptIo;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_acceptWork;
    std::vector<std::shared_ptr<Gate>> m_gates;
    std::set<SessionPtr> m_sessions;
    std::map<pid_t, Uplinks> m_uplinks;
    // Used on the accepting thread.
    std::set<pid_t> m_processes;
    std::vector<std::pair<SessionPtr, std::shared_ptr<Gate>>> m_accepted;
    std::thread m_thread;
    std::thread m_acceptThread;
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
