#pragma once

#include "Connection.h"

#include <functional>
#include <list>
#include <memory>

namespace hyssop::standins {

struct LinkAddress
{
    base::Endpoint listen;
    base::Endpoint target;
};

/// Forwards TCP connections and brings faults about. Owns its sockets; serves on the thread of
/// run(). Only post() and stop() may be called from other threads.
class Forwarder
{
public:
    using Action = std::function<void(Forwarder &)>;

    static tl::expected<std::unique_ptr<Forwarder>, std::string> create(
            const std::vector<LinkAddress> &links);
    ~Forwarder();
    Forwarder(const Forwarder &) = delete;
    Forwarder &operator=(const Forwarder &) = delete;

    void run();
    void stop();
    void post(Action action);

    std::size_t linkCount() const { return m_links.size(); }
    /// Address with its actual port.
    base::Endpoint address(std::size_t link) const;
    LinkState &state(std::size_t link);
    std::size_t openConnections(std::size_t link) const;
    void reset(std::size_t link);
    void halfClose(std::size_t link, Direction direction);
    /// Drops every rule. Connections that have lost bytes are reset: no stream goes on with a hole.
    void heal(std::size_t link);

private:
    struct Link
    {
        LinkAddress address;
        int listener = -1;
        LinkState state;
        std::list<Connection> connections;
    };

    Forwarder() = default;
    tl::expected<void, std::string> open(const LinkAddress &address);
    void turn(base::TimePoint now);
    void runActions();
    void acceptOne(Link &link);

    std::vector<std::unique_ptr<Link>> m_links;
    base::Mailbox<Action> m_mailbox;
    int m_wakeup = -1;
    bool m_isStopping = false;
};

} // namespace hyssop::standins
