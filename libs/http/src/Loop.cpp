#include "LoopContext.h"

#include <array>
#include <csignal>
#include <sys/epoll.h>

namespace hyssop::http {

namespace {

constexpr auto kServerProtocol = "hyssop-server";
constexpr auto kClientProtocol = "hyssop-client";

const std::array<lws_protocols, 2> kServerProtocols{{
        {kServerProtocol, serverCallback, sizeof(std::int64_t), 0, 0, nullptr, 0},
        {nullptr, nullptr, 0, 0, 0, nullptr, 0},
}};

const std::array<lws_protocols, 2> kClientProtocols{{
        {kClientProtocol, clientCallback, 0, 0, 0, nullptr, 0},
        {nullptr, nullptr, 0, 0, 0, nullptr, 0},
}};

/// Of the event loop itself: its wake-up and the poller of the calls.
constexpr std::size_t kOwnDescriptors = 2;

void logLine(int, const char *line)
{
    std::string_view text(line);
    while (!text.empty() && text.back() == '\n')
        text.remove_suffix(1);
    base::logEvent("http_library", {{"text", text}});
}

} // namespace

Loop::Loop(std::unique_ptr<Context> context)
    : m_context(std::move(context))
{ }

Loop::~Loop()
{
    m_context->isStopping = true;
    // Handlers may be gone already, so none of them hears of the connections that close here.
    m_context->calls.clear();
    lws_context_destroy(m_context->lwsContext);
}

tl::expected<std::unique_ptr<Loop>, LoopError> Loop::create(std::size_t maxOpen)
{
    lws_set_log_level(LLL_ERR, logLine);
    std::signal(SIGPIPE, SIG_IGN);
    auto context = std::make_unique<Context>();
    lws_context_creation_info info{};
    info.port = CONTEXT_PORT_NO_LISTEN;
    info.options = LWS_SERVER_OPTION_EXPLICIT_VHOSTS | LWS_SERVER_OPTION_DISABLE_IPV6;
    info.user = context.get();
    info.fd_limit_per_thread = static_cast<unsigned>(maxOpen + kOwnDescriptors);
    info.max_http_header_data = kMaxHeaderBytes;
    info.max_http_header_pool2 = static_cast<unsigned>(maxOpen);
    context->lwsContext = lws_create_context(&info);
    if (!context->lwsContext)
        return tl::unexpected(LoopError{"the event loop could not be created"});
    info.vhost_name = kClientProtocol;
    info.protocols = kClientProtocols.data();
    lws_vhost *clientVhost = lws_create_vhost(context->lwsContext, &info);
    lws_sock_file_fd_type poller{};
    poller.filefd = ::epoll_create1(EPOLL_CLOEXEC);
    context->callPoller = poller.filefd;
    if (!clientVhost || poller.filefd < 0
        || !lws_adopt_descriptor_vhost(clientVhost, LWS_ADOPT_RAW_FILE_DESC, poller,
                                       kClientProtocol, nullptr))
        return tl::unexpected(LoopError{"the HTTP client could not be created"});
    return std::unique_ptr<Loop>(new Loop(std::move(context)));
}

tl::expected<base::Endpoint, LoopError> Loop::listen(ServerOptions options, ServerHandler *handler)
{
    auto listener = std::make_unique<Listener>();
    listener->options = std::move(options);
    listener->handler = handler;
    for (const std::string &name : listener->options.headers)
        listener->headerNames.push_back(name + ":");
    base::Endpoint endpoint = listener->options.listen;
    lws_context_creation_info info{};
    info.port = endpoint.port;
    info.iface = endpoint.address.c_str();
    const std::string name = kServerProtocol + std::to_string(m_context->listeners.size());
    info.vhost_name = name.c_str();
    info.protocols = kServerProtocols.data();
    info.user = listener.get();
    info.options = LWS_SERVER_OPTION_FAIL_UPON_UNABLE_TO_BIND | LWS_SERVER_OPTION_DISABLE_IPV6;
    info.keepalive_timeout = 60;
    lws_vhost *vhost = lws_create_vhost(m_context->lwsContext, &info);
    if (!vhost)
        return tl::unexpected(LoopError{"cannot listen on " + endpoint.text()});
    endpoint.port = static_cast<std::uint16_t>(lws_get_vhost_listen_port(vhost));
    m_context->listeners.push_back(std::move(listener));
    return endpoint;
}

TimerId Loop::after(base::Millis delay, std::function<void()> action)
{
    return m_context->startTimer(delay, std::move(action));
}

void Loop::cancelTimer(TimerId id)
{
    m_context->stopTimer(id);
}

void Loop::post(std::function<void()> action)
{
    m_context->mailbox.post(std::move(action));
    lws_cancel_service(m_context->lwsContext);
}

void Loop::run()
{
    while (!m_context->isStopping) {
        for (const auto &action : m_context->mailbox.drain())
            action();
        if (!m_context->isStopping)
            lws_service(m_context->lwsContext, 0);
    }
}

void Loop::stop()
{
    m_context->isStopping = true;
    lws_cancel_service(m_context->lwsContext);
}

} // namespace hyssop::http
