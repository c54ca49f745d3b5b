#include "ControlServer.h"

#include <nlohmann/json.hpp>

#include <charconv>

namespace hyssop::standins {

namespace {

using nlohmann::json;

constexpr std::string_view kLinks = "/v1/links";

json describe(const DirectionRules &rules, const DirectionCounts &counts)
{
    return {{"delayMs", rules.delay.count()},
            {"drop", rules.drops},
            {"bytesPerSecond", rules.bytesPerSecond},
            {"received", counts.received},
            {"sent", counts.sent},
            {"dropped", counts.dropped}};
}

json describe(Forwarder &forwarder)
{
    json links = json::array();
    for (std::size_t i = 0; i < forwarder.linkCount(); ++i) {
        const LinkState &state = forwarder.state(i);
        links.push_back({{"listen", forwarder.address(i).text()},
                         {"open", forwarder.openConnections(i)},
                         {"accepted", state.accepted},
                         {"refused", state.refused},
                         {"refuse", state.refuses},
                         {"forward", describe(state.forward, state.forwardCounts)},
                         {"backward", describe(state.backward, state.backwardCounts)}});
    }
    return {{"links", links}};
}

bool applyRules(DirectionRules &rules, const json &order)
{
    rules.delay = base::Millis(order.value("delayMs", 0));
    rules.drops = order.value("drop", false);
    rules.bytesPerSecond = order.value("bytesPerSecond", std::int64_t(0));
    return rules.delay.count() >= 0 && rules.bytesPerSecond >= 0;
}

std::optional<std::size_t> linkOf(std::string_view path)
{
    path.remove_prefix(std::min(path.size(), kLinks.size() + 1));
    std::size_t link = 0;
    const auto [end, ec] = std::from_chars(path.data(), path.data() + path.size(), link);
    const bool isWhole = ec == std::errc() && end == path.data() + path.size();
    return isWhole ? std::optional(link) : std::nullopt;
}

bool applyTyped(Forwarder &forwarder, std::size_t link, const json &order)
{
    const std::string action = order.value("action", "");
    const std::string direction = order.value("direction", "both");
    const bool isForward = direction != "backward";
    const bool isBackward = direction != "forward";
    if (direction != "forward" && direction != "backward" && direction != "both")
        return false;
    LinkState &state = forwarder.state(link);
    if (action == "rules") {
        state.refuses = order.value("refuse", false);
        return (!isForward || applyRules(state.forward, order))
               && (!isBackward || applyRules(state.backward, order));
    }
    if (action == "reset") {
        forwarder.reset(link);
    } else if (action == "heal") {
        forwarder.heal(link);
    } else if (action == "half-close") {
        if (isForward)
            forwarder.halfClose(link, Direction::Forward);
        if (isBackward)
            forwarder.halfClose(link, Direction::Backward);
    } else {
        return false;
    }
    return true;
}

} // namespace

bool applyOrder(Forwarder &forwarder, std::size_t link, const json &order)
{
    if (link >= forwarder.linkCount() || !order.is_object())
        return false;
    try {
        return applyTyped(forwarder, link, order);
    } catch (const json::exception &) {
        return false; // A field of the wrong type.
    }
}

ControlServer::ControlServer(http::Loop *loop, Forwarder *forwarder)
    : m_loop(loop)
    , m_forwarder(forwarder)
{ }

tl::expected<base::Endpoint, http::LoopError> ControlServer::listen(const base::Endpoint &address)
{
    http::ServerOptions options;
    options.listen = address;
    return m_loop->listen(std::move(options), this);
}

void ControlServer::onRequest(http::ExchangeId id, http::Request request)
{
    if (request.method == http::Method::Get) {
        m_forwarder->post([this, id](Forwarder &it) { answer(id, 200, it); });
        return;
    }
    const auto link = linkOf(request.path);
    const auto order = base::parseJson(request.body);
    if (!link || !order) {
        m_loop->respond(id, {400, "application/json", {}, "{}"});
        return;
    }
    m_forwarder->post([this, id, link = *link, order = *order](Forwarder &it) {
        answer(id, applyOrder(it, link, order) ? 200 : 400, it);
    });
}

void ControlServer::answer(http::ExchangeId id, int status, Forwarder &forwarder)
{
    const http::Response response{status, "application/json", {}, describe(forwarder).dump()};
    m_loop->post([this, id, response] { m_loop->respond(id, response); });
}

} // namespace hyssop::standins
