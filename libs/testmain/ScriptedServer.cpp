#include "ScriptedServer.h"

#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <charconv>
#include <strings.h>
#include <sys/socket.h>

namespace hyssop::testing {

namespace {

using boost::asio::ip::tcp;

constexpr std::string_view kEndOfHead = "\r\n\r\n";
constexpr std::string_view kIdMark = "{id}";

/// Value of a field of a request, or empty text.
std::string fieldOf(const std::string &head, std::string_view name)
{
    for (std::size_t pos = head.find("\r\n"); pos != std::string::npos;
         pos = head.find("\r\n", pos + 2)) {
        const char *line = head.data() + pos + 2;
        if (::strncasecmp(line, name.data(), name.size()) != 0 || line[name.size()] != ':')
            continue;
        const std::size_t start = head.find_first_not_of(' ', pos + 2 + name.size() + 1);
        return head.substr(start, head.find("\r\n", start) - start);
    }
    return "";
}

/// Reads what is missing of a body of which \a received holds the head and the start.
void readBody(tcp::socket &socket, const std::string &received)
{
    const std::size_t headBytes = received.find(kEndOfHead) + kEndOfHead.size();
    const std::string length = fieldOf(received, "Content-Length");
    std::size_t n = 0;
    std::from_chars(length.data(), length.data() + length.size(), n);
    std::string rest(n - std::min(n, received.size() - headBytes), '\0');
    boost::system::error_code ec;
    boost::asio::read(socket, boost::asio::buffer(rest), ec);
}

} // namespace

ScriptedServer::ScriptedServer(Script script, const base::Endpoint &listen)
    : m_acceptor(m_io, {boost::asio::ip::make_address(listen.address), listen.port})
    , m_address{listen.address, m_acceptor.local_endpoint().port()}
    , m_script(std::move(script))
    , m_acceptThread([this] { accept(); })
{ }

ScriptedServer::~ScriptedServer()
{
    {
        const std::lock_guard guard(m_mutex);
        m_isStopping = true;
        m_stopped.notify_all();
        for (const auto &socket : m_sockets)
            ::shutdown(socket->native_handle(), SHUT_RDWR);
    }
    // Ends the wait for a connection.
    ::shutdown(m_acceptor.native_handle(), SHUT_RDWR);
    m_acceptThread.join();
    for (std::thread &it : m_threads)
        it.join();
}

void ScriptedServer::setScript(Script script)
{
    const std::lock_guard guard(m_mutex);
    m_script = std::move(script);
}

int ScriptedServer::requestCount() const
{
    const std::lock_guard guard(m_mutex);
    return m_requestCount;
}

void ScriptedServer::accept()
{
    for (;;) {
        const auto socket = std::make_shared<Socket>(m_io);
        boost::system::error_code ec;
        m_acceptor.accept(*socket, ec);
        const std::lock_guard guard(m_mutex);
        if (ec || m_isStopping)
            return;
        m_sockets.push_back(socket);
        m_threads.emplace_back([this, socket] {
            serve(socket);
            const std::lock_guard guard(m_mutex);
            std::erase(m_sockets, socket);
        });
    }
}

void ScriptedServer::serve(const std::shared_ptr<Socket> &socket)
{
    boost::system::error_code ec;
    std::string received;
    boost::asio::read_until(*socket, boost::asio::dynamic_buffer(received), kEndOfHead, ec);
    if (ec)
        return;
    Script script;
    {
        const std::lock_guard guard(m_mutex);
        ++m_requestCount;
        script = m_script;
    }
    if (const auto mark = script.response.find(kIdMark); mark != std::string::npos)
        script.response.replace(mark, kIdMark.size(), fieldOf(received, "Request-Id"));
    if (script.ending == Ending::ReadAndReset || script.ending == Ending::ReadAndClose)
        readBody(*socket, received);
    boost::asio::write(*socket, boost::asio::buffer(script.response), ec);
    if (script.ending == Ending::Close || script.ending == Ending::CloseAndReset)
        socket->shutdown(tcp::socket::shutdown_send, ec);
    {
        std::unique_lock lock(m_mutex);
        m_stopped.wait_for(lock, script.delay, [this] { return m_isStopping; });
    }
    if (script.ending == Ending::Close)
        readBody(*socket, received);
    // The destructor uses the descriptors of the sockets in the list.
    const std::lock_guard guard(m_mutex);
    if (script.ending != Ending::Close && script.ending != Ending::ReadAndClose)
        socket->set_option(boost::asio::socket_base::linger(true, 0), ec);
    socket->close(ec);
}

} // namespace hyssop::testing
