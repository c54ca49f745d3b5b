#include "Faults.h"

#include <catch2/catch.hpp>

namespace hyssop::harness {

namespace {

constexpr base::Millis kStartLimit{20'000};
constexpr base::Millis kOrderTimeout{10'000};

} // namespace

base::Endpoint Faults::link(const std::string &from, const std::string &to,
                            const base::Endpoint &target, Addresses &addresses)
{
    const Link link{addresses.nextEndpoint(target.address), target};
    m_links.push_back({{from, to}, link});
    return link.listen;
}

void Faults::start(Client *client, const std::filesystem::path &log, Addresses &addresses)
{
    m_client = client;
    m_control = addresses.nextEndpoint(addresses.nextHost());
    std::string links;
    for (const auto &[ends, link] : m_links)
        links += (links.empty() ? "" : ",") + link.listen.text() + "=" + link.target.text();
    m_process = std::make_unique<Process>(ProcessOptions{
            "fault-proxy", {"--listen-control", m_control.text(), "--links", links}, log});
    REQUIRE(eventually(kStartLimit,
                       [this] { return m_client->get(m_control, "/v1/links").status == 200; }));
}

void Faults::order(const std::string &from, const std::string &to, const nlohmann::json &order)
{
    std::vector<Pending> sent;
    for (std::size_t i = 0; i < m_links.size(); ++i) {
        const auto &[linkFrom, linkTo] = m_links[i].first;
        if ((!from.empty() && from != linkFrom) || (!to.empty() && to != linkTo))
            continue;
        http::Call call;
        call.to = m_control;
        call.method = http::Method::Post;
        call.path = "/v1/links/" + std::to_string(i);
        call.body = order.dump();
        call.timeout = kOrderTimeout;
        sent.push_back(m_client->start(std::move(call)));
    }
    for (const Pending &pending : sent)
        REQUIRE(pending.wait().status == 200);
}

void Faults::cut(const std::string &from, const std::string &to)
{
    order(from, to, {{"action", "rules"}, {"drop", true}});
}

void Faults::heal(const std::string &from, const std::string &to)
{
    order(from, to, {{"action", "heal"}});
}

} // namespace hyssop::harness
