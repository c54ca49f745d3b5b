#include "upstream/Upstream.h"

namespace hyssop::upstream {

namespace {

constexpr base::Millis kTimeout{1'000};
constexpr base::Millis kFirstDelay{100};
constexpr base::Millis kMaxDelay{5'000};

bool confirms(int status)
{
    return status == 200 || status == 202 || status == 204 || status == 404 || status == 410;
}

} // namespace

Deletions::Deletions(http::Loop *loop, OwnerName owner)
    : m_loop(loop)
    , m_owner(std::move(owner))
{ }

Deletions::~Deletions()
{
    for (const auto &[id, open] : m_calls)
        m_loop->cancel(id);
    for (const auto &[order, timer] : m_waits)
        m_loop->cancelTimer(timer);
}

void Deletions::add(const base::Endpoint &to, const std::string &path)
{
    const Order order{to, path};
    if (!m_orders.emplace(order, Progress{}).second)
        return;
    m_queue.push_back(order);
    sendNext();
}

std::vector<Deletions::Order> Deletions::pending() const
{
    std::vector<Order> orders;
    for (const auto &[order, progress] : m_orders)
        orders.push_back(order);
    return orders;
}

void Deletions::sendNext()
{
    while (!m_queue.empty() && m_calls.size() < kMaxOpen) {
        const Order order = m_queue.front();
        m_queue.pop_front();
        send(order);
    }
}

void Deletions::send(const Order &order)
{
    http::Call call;
    call.to = order.to;
    call.method = http::Method::Delete;
    call.path = order.path;
    call.headers = {{"x-owner", m_owner.text()}};
    call.connectTimeout = kTimeout;
    call.timeout = kTimeout;
    m_calls.emplace(m_loop->call(std::move(call), this), Open{order, 0});
}

void Deletions::onHead(http::CallId id, int status, const http::Headers &)
{
    m_calls.at(id).status = status;
}

void Deletions::onDone(http::CallId id)
{
    end(id);
}

void Deletions::onFailed(http::CallId id, const http::CallError &)
{
    m_calls.at(id).status = 0;
    end(id);
}

void Deletions::end(http::CallId id)
{
    const auto it = m_calls.find(id);
    const Open open = it->second;
    m_calls.erase(it);
    if (confirms(open.status))
        m_orders.erase(open.order);
    else
        repeatLater(open.order);
    sendNext();
}

void Deletions::repeatLater(const Order &order)
{
    Progress &progress = m_orders.at(order);
    progress.delay = std::clamp(progress.delay * 2, kFirstDelay, kMaxDelay);
    progress.waited += progress.delay + kTimeout;
    if (progress.waited >= kLimit) {
        ++m_givenUp;
        base::logEvent("deletion_given_up", {{"to", order.to.text()}, {"path", order.path}});
        m_orders.erase(order);
        return;
    }
    m_waits[order] = m_loop->after(progress.delay, [this, order] {
        m_waits.erase(order);
        m_queue.push_back(order);
        sendNext();
    });
}

} // namespace hyssop::upstream
