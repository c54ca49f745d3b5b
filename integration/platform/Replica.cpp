#include "Replica.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <cassert>

namespace hyssop::harness {

namespace {

/// Between two events of a stream.
constexpr base::Millis kStep{20};
constexpr base::Millis kSleep{5};
/// From a request that crashes the replica to the head of its answer, and from there to the crash.
constexpr base::Millis kPrefillBeforeCrash{60};
constexpr base::Millis kHeadBeforeCrash{25};
/// From the start of a request without token counts to the crash.
constexpr base::Millis kRunBeforeCrash{50};

std::string fieldOf(const gateway::Exchange &exchange, std::string_view name)
{
    return std::string(gateway::fieldValue(exchange.head().fields, name).value_or(""));
}

} // namespace

/// An answer in events, as far as it was written.
struct Replica::Stream
{
    explicit Stream(boost::asio::io_context *io)
        : timer(*io)
    { }

    std::shared_ptr<gateway::Exchange> exchange;
    boost::asio::steady_timer timer;
    std::string request;
    std::int64_t next = 1;
    std::int64_t last = 1;
    std::int64_t breaksAt = 0; ///< Event that is cut in the middle; 0 for none.
};

Replica::Replica(std::string id, const base::Endpoint &listen, ReplicaFaults faults,
                 std::uint64_t seed)
    : m_id(std::move(id))
    , m_faults(faults)
    , m_rng(seed)
    , m_work(boost::asio::make_work_guard(m_io))
    , m_server(&m_io, this)
{
    const auto listening = m_server.listen(listen);
    INFO((listening ? "" : listening.error().message));
    REQUIRE(listening);
    m_thread = std::thread([this] { m_io.run(); });
}

Replica::~Replica()
{
    m_io.stop();
    m_thread.join();
}

std::vector<gateway::RequestHead> Replica::seen() const
{
    const std::lock_guard guard(m_mutex);
    return m_seen;
}

std::vector<Run> Replica::runs() const
{
    const std::lock_guard guard(m_mutex);
    return m_runs;
}

std::size_t Replica::reservations(base::TimePoint now) const
{
    const std::lock_guard guard(m_mutex);
    return static_cast<std::size_t>(
            std::count_if(m_reservations.begin(), m_reservations.end(),
                          [now](const auto &it) { return it.second > now; }));
}

void Replica::limitRequests(std::optional<double> perSecond)
{
    const std::lock_guard guard(m_mutex);
    m_traffic.limits.push_back({perSecond, base::monotonicNow()});
}

ReplicaTraffic Replica::traffic() const
{
    const std::lock_guard guard(m_mutex);
    ReplicaTraffic traffic = m_traffic;
    traffic.replica = m_id;
    return traffic;
}

gateway::Fields Replica::withLimit(gateway::Fields fields, const std::string &request)
{
    const std::lock_guard guard(m_mutex);
    if (m_saysLeaving)
        fields.push_back({"Server-Leaving", "1"});
    if (m_traffic.limits.empty() || !m_traffic.limits.back().perSecond)
        return fields;
    fields.push_back({"Server-Limit", fmt::format("{}", *m_traffic.limits.back().perSecond)});
    m_traffic.limitedAnswers.push_back({request, base::monotonicNow()});
    return fields;
}

void Replica::sayLeaving()
{
    const std::lock_guard guard(m_mutex);
    m_saysLeaving = true;
}

void Replica::turnAway(std::optional<base::Millis> duration)
{
    const std::lock_guard guard(m_mutex);
    m_turnsAwayFor = duration;
}

std::optional<base::Millis> Replica::turnsAwayFor() const
{
    const std::lock_guard guard(m_mutex);
    return m_turnsAwayFor;
}

void Replica::fallSilent(base::Millis duration)
{
    // In short sleeps, so that its owner need not wait for the end.
    boost::asio::post(m_io, [this, duration] {
        const base::TimePoint until = base::monotonicNow() + duration;
        while (!m_io.stopped() && base::monotonicNow() < until)
            std::this_thread::sleep_for(kSleep);
    });
}

void Replica::answerResumes(std::optional<int> status)
{
    const std::lock_guard guard(m_mutex);
    m_statusOfResumes = status;
}

std::optional<int> Replica::statusOfResumes() const
{
    const std::lock_guard guard(m_mutex);
    return m_statusOfResumes;
}

void Replica::crashOn(CrashTriggers triggers)
{
    const std::lock_guard guard(m_mutex);
    m_crashTriggers = std::move(triggers);
}

std::string Replica::crashedBy() const
{
    const std::lock_guard guard(m_mutex);
    return m_crashedBy;
}

bool Replica::hasDeadlyPart(const gateway::Exchange &exchange) const
{
    const std::string parts = "," + fieldOf(exchange, "Prompt-Prefix");
    const std::lock_guard guard(m_mutex);
    return std::any_of(m_crashTriggers.parts.begin(), m_crashTriggers.parts.end(),
                       [&parts](const std::string &it) {
                           return parts.find("," + it + ":") != std::string::npos;
                       });
}

bool Replica::isDeadly(const gateway::Exchange &exchange) const
{
    const std::string text = fieldOf(exchange, "Tenant") + " " + exchange.head().target + " "
                             + std::string(exchange.body());
    const std::lock_guard guard(m_mutex);
    return m_crashTriggers.requests.contains(text);
}

void Replica::crashOnRequest(const std::shared_ptr<gateway::Exchange> &exchange)
{
    const std::string id = fieldOf(*exchange, "Request-Id");
    m_unanswered.push_back(exchange);
    const auto timer = std::make_shared<boost::asio::steady_timer>(m_io, kRunBeforeCrash);
    timer->async_wait([this, timer, id](boost::system::error_code) { crash(id); });
}

void Replica::crashOnStream(const std::shared_ptr<gateway::Exchange> &exchange)
{
    const std::string id = fieldOf(*exchange, "Request-Id");
    m_unanswered.push_back(exchange);
    const auto timer = std::make_shared<boost::asio::steady_timer>(m_io, kPrefillBeforeCrash);
    timer->async_wait([this, timer, it = exchange.get(), id](boost::system::error_code) {
        it->start(200, withLimit({{"Request-Id", id},
                                  {"Response-Seal", m_id},
                                  {"Content-Type", "text/event-stream"}},
                                 id));
        timer->expires_after(kHeadBeforeCrash);
        timer->async_wait([this, timer, id](boost::system::error_code) { crash(id); });
    });
}

void Replica::crash(const std::string &request)
{
    m_io.stop();
    const std::lock_guard guard(m_mutex);
    if (m_crashedBy.empty())
        m_crashedBy = request;
}

void Replica::noteBreak(const std::string &request)
{
    const std::lock_guard guard(m_mutex);
    const auto run = std::find_if(m_runs.rbegin(), m_runs.rend(),
                                  [&request](const Run &it) { return it.request == request; });
    assert(run != m_runs.rend() && "only a request that runs is broken off");
    run->isBrokenOff = true;
}

bool Replica::draws(int percent)
{
    return std::uniform_int_distribution<int>(0, 99)(m_rng) < percent;
}

void Replica::onRequest(const std::shared_ptr<gateway::Exchange> &exchange)
{
    if (exchange->head().target == "/api/order")
        return order(*exchange);
    const std::string id = fieldOf(*exchange, "Request-Id");
    {
        const std::lock_guard guard(m_mutex);
        m_traffic.arrivals.push_back({id, base::monotonicNow()});
    }
    const gateway::Fields echo{{"Request-Id", id}};
    const std::string expected = fieldOf(*exchange, "Expect-Instance");
    if (!expected.empty() && expected != m_id)
        return exchange->respond(421, {{"Request-Id", id}, {"Not-Executed", "1"}}, "");
    if (const auto duration = turnsAwayFor())
        return exchange->respond(
                503,
                withLimit({{"Request-Id", id},
                           {"Not-Executed", "1"},
                           {"Retry-After",
                            fmt::format("{}", static_cast<double>(duration->count()) / 1e3)}},
                          id),
                "");
    if (draws(m_faults.refuse))
        return exchange->respond(503, withLimit({{"Request-Id", id}, {"Not-Executed", "1"}}, id),
                                 "");
    {
        const std::lock_guard guard(m_mutex);
        m_seen.push_back(exchange->head());
        m_runs.push_back({id, m_id, fieldOf(*exchange, "Tenant"), base::monotonicNow()});
    }
    if (draws(m_faults.lose)) {
        noteBreak(id);
        return exchange->abort();
    }
    if (const auto status = statusOfResumes();
        status && gateway::fieldValue(exchange->head().fields, "Last-Event-Id"))
        return exchange->respond(*status, {{"Request-Id", id}, {"Response-Seal", m_id}}, "");
    if (hasDeadlyPart(*exchange))
        return crashOnStream(exchange);
    if (!fieldOf(*exchange, "Token-Counts").empty())
        return startStream(exchange);
    if (isDeadly(*exchange))
        return crashOnRequest(exchange);
    exchange->respond(200, withLimit({{"Request-Id", id}, {"Response-Seal", m_id}}, id),
                      id + " " + exchange->body());
}

void Replica::order(gateway::Exchange &exchange)
{
    const auto body = nlohmann::json::parse(exchange.body(), nullptr, false);
    if (!body.is_object())
        return exchange.respond(400, {}, "");
    const std::string id = body.value("Id", "");
    const gateway::Fields fields = withLimit({{"Content-Type", "application/json"}}, id);
    const std::lock_guard guard(m_mutex);
    m_traffic.arrivals.push_back({id, base::monotonicNow()});
    if (body.value("Operation", "") == "reserve")
        m_reservations[id] = base::monotonicNow() + base::Millis(body.value("HoldMs", 0));
    else
        m_reservations.erase(id);
    exchange.respond(200, fields, R"({"FreeSlots":1})");
}

void Replica::startStream(const std::shared_ptr<gateway::Exchange> &exchange)
{
    const std::string counts = fieldOf(*exchange, "Token-Counts");
    auto stream = std::make_shared<Stream>(&m_io);
    stream->exchange = exchange;
    stream->request = fieldOf(*exchange, "Request-Id");
    stream->last = std::atoll(counts.c_str() + counts.find(',') + 1);
    stream->next = std::atoll(fieldOf(*exchange, "Last-Event-Id").c_str()) + 1;
    if (draws(m_faults.breakOff))
        stream->breaksAt = std::min(stream->next + 2, stream->last);
    m_streams[exchange.get()] = stream;
    exchange->start(200, withLimit({{"Request-Id", stream->request},
                                    {"Response-Seal", m_id},
                                    {"Content-Type", "text/event-stream"}},
                                   stream->request));
    writeEvent(stream);
}

void Replica::writeEvent(const std::shared_ptr<Stream> &stream)
{
    gateway::Exchange *exchange = stream->exchange.get();
    if (!m_streams.contains(exchange))
        return;
    if (stream->next > stream->last) {
        exchange->finish();
        m_streams.erase(exchange);
        return;
    }
    const std::string event = fmt::format("id: {}\ndata: {}\n\n", stream->next, stream->next);
    if (stream->next == stream->breaksAt) {
        noteBreak(stream->request);
        exchange->send(event.substr(0, event.size() / 2));
        exchange->abort();
        m_streams.erase(exchange);
        return;
    }
    exchange->send(event);
    ++stream->next;
    stream->timer.expires_after(kStep);
    stream->timer.async_wait([this, weak = std::weak_ptr(stream)](boost::system::error_code ec) {
        const auto it = weak.lock();
        if (!ec && it)
            writeEvent(it);
    });
}

void Replica::onCallerDisconnected(gateway::Exchange &exchange)
{
    m_streams.erase(&exchange);
}

} // namespace hyssop::harness
