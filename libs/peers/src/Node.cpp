#include "AcceptGuard.h"
#include "Server.h"

#include <capnp/rpc-twoparty.h>
#include <kj/timer.h>

#include <future>
#include <map>
#include <thread>

namespace hyssop::peers {

namespace {

PeerError errorFrom(const kj::Exception &e)
{
    PeerError error;
    error.message = e.getDescription().cStr();
    switch (e.getType()) {
    case kj::Exception::Type::OVERLOADED:
        error.fault = CallFault::Timeout;
        break;
    case kj::Exception::Type::DISCONNECTED:
        error.fault = CallFault::Unreachable;
        break;
    default:
        error.fault = CallFault::Failed;
        break;
    }
    return error;
}

/// One outgoing connection, kept for later calls until one of them fails.
struct Connection
{
    kj::Own<kj::AsyncIoStream> stream;
    kj::Own<capnp::TwoPartyClient> client;
    /// Asked for once: doing so again on a broken connection ends in a second shutdown of it.
    kj::Maybe<wire::Peer::Client> peer;
    kj::ForkedPromise<void> ready = nullptr; ///< Kept once the stream is connected.
};

} // namespace

class Node::Impl final : public kj::TaskSet::ErrorHandler
{
public:
    Impl(base::Endpoint listen, Service *service, InboundLimits limits)
        : m_listen(std::move(listen))
        , m_service(service)
        , m_limits(limits)
    { }

    tl::expected<void, PeerError> start();
    void stop();
    base::Endpoint address() const { return m_listen; }

    /// Posts a call to the loop; \a send starts it, \a read turns the answer into a Reply.
    template <typename Reply>
    void call(const base::Endpoint &to, base::Millis timeout, Callback<Reply> callback,
              std::function<kj::Promise<Reply>(wire::Peer::Client)> send);

private:
    void run(std::promise<tl::expected<base::Endpoint, PeerError>> started);
    std::shared_ptr<Connection> connection(const base::Endpoint &to);
    void drop(const base::Endpoint &to, const std::shared_ptr<Connection> &connection);
    void taskFailed(kj::Exception &&) override { }

    base::Endpoint m_listen;
    Service *m_service;
    InboundLimits m_limits;
    std::shared_ptr<Wakeup> m_wakeup = std::make_shared<Wakeup>();
    std::thread m_thread;
    kj::Own<kj::PromiseFulfiller<void>> m_stopper;
    kj::AsyncIoContext *m_io = nullptr;
    kj::TaskSet *m_tasks = nullptr;
    std::map<base::Endpoint, std::shared_ptr<Connection>> m_connections;
};

tl::expected<void, PeerError> Node::Impl::start()
{
    std::promise<tl::expected<base::Endpoint, PeerError>> started;
    auto result = started.get_future();
    m_thread = std::thread([this, p = std::move(started)]() mutable { run(std::move(p)); });
    auto address = result.get();
    if (!address) {
        m_thread.join();
        return tl::unexpected(address.error());
    }
    m_listen = *address;
    return {};
}

void Node::Impl::stop()
{
    if (!m_thread.joinable())
        return;
    m_wakeup->post([this] { m_stopper->fulfill(); });
    m_thread.join();
}

void Node::Impl::run(std::promise<tl::expected<base::Endpoint, PeerError>> started)
{
    auto io = kj::setupAsyncIo();
    auto stop = kj::newPromiseAndFulfiller<void>();
    m_stopper = kj::mv(stop.fulfiller);
    m_io = &io;
    kj::Own<kj::ConnectionReceiver> receiver;
    try {
        auto address = io.provider->getNetwork()
                               .parseAddress(m_listen.address, m_listen.port)
                               .wait(io.waitScope);
        receiver = address->listen();
    } catch (const kj::Exception &e) {
        started.set_value(tl::unexpected(errorFrom(e)));
        return;
    }
    auto tasks = kj::heap<kj::TaskSet>(*this);
    m_tasks = tasks.get();
    AcceptGuard guard(m_limits, io.provider->getTimer());
    capnp::TwoPartyServer server(kj::heap<Server>(m_service, m_wakeup));
    tasks->add(guard.listen(*receiver, server));
    tasks->add(m_wakeup->serve(*io.lowLevelProvider));
    base::Endpoint bound = m_listen;
    bound.port = static_cast<std::uint16_t>(receiver->getPort());
    started.set_value(bound);
    stop.promise.wait(io.waitScope);
    tasks = nullptr;
    m_connections.clear();
    m_wakeup->close();
    m_stopper = nullptr;
    m_tasks = nullptr;
}

std::shared_ptr<Connection> Node::Impl::connection(const base::Endpoint &to)
{
    std::shared_ptr<Connection> &slot = m_connections[to];
    if (slot)
        return slot;
    slot = std::make_shared<Connection>();
    // Calls made while the connection is on its way share it.
    slot->ready = kj::evalNow([&] {
                      return m_io->provider->getNetwork().parseAddress(to.address, to.port);
                  })
                          .then([](kj::Own<kj::NetworkAddress> &&address) {
                              auto connected = address->connect();
                              return connected.attach(kj::mv(address));
                          })
                          .then([raw = slot.get()](kj::Own<kj::AsyncIoStream> &&stream) {
                              raw->stream = kj::mv(stream);
                              raw->client = kj::heap<capnp::TwoPartyClient>(*raw->stream);
                              raw->peer = raw->client->bootstrap().castAs<wire::Peer>();
                          })
                          .fork();
    return slot;
}

void Node::Impl::drop(const base::Endpoint &to, const std::shared_ptr<Connection> &connection)
{
    const auto it = m_connections.find(to);
    if (it != m_connections.end() && it->second == connection)
        m_connections.erase(it);
}

template <typename Reply>
void Node::Impl::call(const base::Endpoint &to, base::Millis timeout, Callback<Reply> callback,
                      std::function<kj::Promise<Reply>(wire::Peer::Client)> send)
{
    m_wakeup->post([this, to, timeout, callback = std::move(callback), send = std::move(send)] {
        const std::shared_ptr<Connection> used = connection(to);
        const auto wasSent = std::make_shared<bool>(false);
        kj::Promise<Reply> answer = used->ready.addBranch().then([used, send, wasSent] {
            *wasSent = true;
            return send(KJ_ASSERT_NONNULL(used->peer));
        });
        auto bounded = m_io->provider->getTimer().timeoutAfter(timeout.count() * kj::MILLISECONDS,
                                                               kj::mv(answer));
        m_tasks->add(bounded.then([callback](Reply &&reply) { callback(std::move(reply)); },
                                  [this, to, used, callback, wasSent](kj::Exception &&e) {
                                      // The next call makes a fresh connection.
                                      drop(to, used);
                                      PeerError error = errorFrom(e);
                                      error.mayHaveArrived = *wasSent;
                                      callback(tl::unexpected(std::move(error)));
                                  }));
    });
}

Node::Node(std::unique_ptr<Impl> impl)
    : m_impl(std::move(impl))
{ }

Node::~Node()
{
    m_impl->stop();
}

tl::expected<std::unique_ptr<Node>, PeerError> Node::start(const base::Endpoint &listen,
                                                           Service *service, InboundLimits limits)
{
    auto impl = std::make_unique<Impl>(listen, service, limits);
    if (const auto started = impl->start(); !started)
        return tl::unexpected(started.error());
    return std::unique_ptr<Node>(new Node(std::move(impl)));
}

base::Endpoint Node::address() const
{
    return m_impl->address();
}

void Node::watch(const base::Endpoint &to, WatchRequest request, base::Millis timeout,
                 Callback<WatchReply> callback)
{
    m_impl->call<
            WatchReply>(to, timeout, std::move(callback), [request](wire::Peer::Client client) {
        auto call = client.watchRequest();
        call.setWaitMs(request.wait.count());
        auto applied = call.initApplied();
        applied.setHost(request.host.text());
        applied.setDataCentre(request.dataCentre.text());
        applied.getPosition().setTerm(request.applied.term);
        applied.getPosition().setIndex(request.applied.index);
        return call.send().then([](capnp::Response<wire::Peer::WatchResults> &&results) {
            WatchReply reply;
            reply.position = {results.getPosition().getTerm(), results.getPosition().getIndex()};
            reply.isConfirmed = results.getConfirmed();
            reply.hasChanged = results.getChanged();
            for (const auto record : results.getRecords())
                reply.records.push_back(toString(record.getJson()));
            return reply;
        });
    });
}

void Node::execute(const base::Endpoint &to, ExecuteRequest request, base::Millis timeout,
                   Callback<ExecuteReply> callback)
{
    m_impl->call<ExecuteReply>(
            to, timeout, std::move(callback), [request](wire::Peer::Client client) {
                auto call = client.executeRequest();
                call.setGroup(request.group);
                call.setCommand(toData(request.command));
                return call.send().then([](capnp::Response<wire::Peer::ExecuteResults> &&results) {
                    ExecuteReply reply;
                    reply.status = static_cast<ExecuteStatus>(results.getStatus());
                    reply.reply = toString(results.getReply());
                    reply.leader = toString(results.getLeader());
                    return reply;
                });
            });
}

namespace {

/// Stands in for the answer of calls that have none.
struct Nothing
{ };

} // namespace

void Node::replicate(const base::Endpoint &to, ReplicateMessage message, base::Millis timeout)
{
    m_impl->call<Nothing>(
            to, timeout, [](const auto &) {},
            [message](wire::Peer::Client client) {
                auto call = client.replicateRequest();
                call.setGroup(message.group);
                call.setSender(message.from);
                call.setBody(toData(message.body));
                return call.send().then(
                        [](capnp::Response<wire::Peer::ReplicateResults> &&) { return Nothing(); });
            });
}

void Node::gossip(const base::Endpoint &to, GossipMessage message, base::Millis timeout)
{
    m_impl->call<Nothing>(
            to, timeout, [](const auto &) {},
            [message](wire::Peer::Client client) {
                auto call = client.gossipRequest();
                call.setSender(message.from.text());
                call.setBody(toData(message.body));
                return call.send().then(
                        [](capnp::Response<wire::Peer::GossipResults> &&) { return Nothing(); });
            });
}

void Node::query(const base::Endpoint &to, QueryRequest request, base::Millis timeout,
                 Callback<std::string> callback)
{
    m_impl->call<std::string>(
            to, timeout, std::move(callback), [request](wire::Peer::Client client) {
                auto call = client.queryRequest();
                call.setTopic(request.topic);
                call.setBody(toData(request.body));
                return call.send().then([](capnp::Response<wire::Peer::QueryResults> &&results) {
                    return toString(results.getBody());
                });
            });
}

} // namespace hyssop::peers
