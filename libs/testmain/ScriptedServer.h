#pragma once

#include "base/Base.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <condition_variable>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace hyssop::testing {

/// What a server does with a connection after its response.
enum class Ending {
    Reset, ///< Resets it, with what it has not read of the request.
    Close, ///< Ends its side and reads the rest of the request.
    CloseAndReset, ///< Ends its side and resets the connection later, without reading on.
    ReadAndReset, ///< Reads the whole request, responds and resets the connection.
    ReadAndClose, ///< Reads the whole request, responds and closes the connection.
};

struct Script
{
    /// Bytes to send once the head of a request has been read. "{id}" stands for the request's
    /// Request-Id.
    std::string response;
    Ending ending = Ending::Close;
    base::Millis delay{0}; ///< From the response to the ending.
};

/// A server that sends the bytes of its script as they are, to one request on each connection. It
/// has a thread for each connection.
class ScriptedServer
{
public:
    /// Port 0 selects a free port.
    explicit ScriptedServer(Script script, const base::Endpoint &listen = {"127.0.0.1", 0});
    ~ScriptedServer();
    ScriptedServer(const ScriptedServer &) = delete;
    ScriptedServer &operator=(const ScriptedServer &) = delete;

    base::Endpoint address() const { return m_address; }
    /// Applies from the next request on.
    void setScript(Script script);
    /// Requests whose head has been read.
    int requestCount() const;

private:
    using Socket = boost::asio::ip::tcp::socket;

    void accept();
    void serve(const std::shared_ptr<Socket> &socket);

    boost::asio::io_context m_io;
    boost::asio::ip::tcp::acceptor m_acceptor;
    base::Endpoint m_address;
    mutable std::mutex m_mutex;
    std::condition_variable m_stopped;
    Script m_script;
    int m_requestCount = 0;
    bool m_isStopping = false;
    std::vector<std::shared_ptr<Socket>> m_sockets;
    std::vector<std::thread> m_threads;
    std::thread m_acceptThread;
};

} // namespace hyssop::testing
