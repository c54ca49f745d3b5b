#include "ReservationRoutes.h"

#include "JsonFields.h"
#include "Owners.h"

namespace hyssop::standins {

namespace {

constexpr std::string_view kReservations = "/v1/reservations";
/// How often reservations are checked against their limits.
constexpr base::Millis kSettleInterval{20};

using nlohmann::json;

} // namespace

ReservationRoutes::ReservationRoutes(http::Loop *loop, Responder *responder, EngineModel *model,
                                     AttemptStreams *streams, std::function<void()> onMemoryChanged)
    : m_loop(loop)
    , m_responder(responder)
    , m_model(model)
    , m_streams(streams)
    , m_onMemoryChanged(std::move(onMemoryChanged))
{ }

void ReservationRoutes::drop(http::ExchangeId id)
{
    std::erase_if(m_waiting, [id](const auto &it) { return it.second == id; });
}

void ReservationRoutes::serve(http::ExchangeId id, const http::Request &request)
{
    const std::string reservation = restOf(request.path, kReservations);
    if (request.method == http::Method::Post && reservation.empty()) {
        reserve(id, request);
    } else if (request.method == http::Method::Get && reservation.empty()) {
        list(id, ownerOf(request));
    } else if (request.method == http::Method::Delete && !reservation.empty()) {
        const bool wasThere = m_model->memory().reservation(reservation);
        unreserve(reservation);
        m_responder->respond(id, wasThere ? 200 : 404, "{}");
    } else {
        m_responder->refuse(id, 404, "unknown_path");
    }
}

void ReservationRoutes::reserve(http::ExchangeId id, const http::Request &request)
{
    const auto body = base::parseJson(request.body);
    if (!body || !body->is_object()) {
        m_responder->refuse(id, 400, "bad_request");
        return;
    }
    const base::TimePoint now = base::monotonicNow();
    Reservation reservation;
    reservation.id = textOf(*body, "id");
    reservation.owner = textOf(*body, "owner");
    reservation.tokens = numberOf(*body, "tokens", 0);
    reservation.gangTokens = numberOf(*body, "gangTokens", reservation.tokens);
    reservation.ttl = base::Millis(numberOf(*body, "ttlMs", 0));
    reservation.waitUntil = now + base::Millis(numberOf(*body, "waitMs", 0));
    const std::string name = reservation.id;
    const bool isValid = !name.empty() && reservation.tokens > 0 && reservation.ttl.count() > 0;
    const bool isNew = !m_model->memory().reservation(name);
    if (!isValid || (m_isLeaving && isNew)) {
        m_responder->refuse(id, isValid ? 503 : 400, isValid ? "leaving" : "bad_request");
        return;
    }
    switch (m_model->memory().reserve(std::move(reservation), now)) {
    case KvMemory::Verdict::Held:
        m_model->shrinkCache();
        m_responder->respond(id, 200, "{}");
        break;
    case KvMemory::Verdict::Waiting:
        m_waiting[name] = id;
        break;
    case KvMemory::Verdict::TooLarge:
        m_responder->refuse(id, 409, "too_large");
        break;
    }
    settle();
}

void ReservationRoutes::list(http::ExchangeId id, const std::string &owner)
{
    json all = json::array();
    for (const Reservation &it : m_model->memory().reservations()) {
        if (isOwnedBy(it.owner, owner))
            all.push_back({{"id", it.id}, {"owner", it.owner}, {"tokens", it.held}});
    }
    m_responder->respond(id, 200, json{{"reservations", all}}.dump());
}

void ReservationRoutes::unreserve(const std::string &reservation)
{
    if (const auto it = m_waiting.find(reservation); it != m_waiting.end()) {
        m_responder->refuse(it->second, 409, "released");
        m_waiting.erase(it);
    }
    m_model->memory().unreserve(reservation);
    // An attempt that lives in reserved memory ends with it.
    if (const Sequence *sequence = m_model->find(reservation); sequence && sequence->isGang) {
        m_model->cancel(reservation);
        m_streams->cancel(reservation);
    }
    m_onMemoryChanged();
}

void ReservationRoutes::settle()
{
    const base::TimePoint now = base::monotonicNow();
    const auto answer = [this](const std::string &name, bool isHeld) {
        const auto it = m_waiting.find(name);
        if (it == m_waiting.end())
            return;
        const http::ExchangeId id = it->second;
        m_waiting.erase(it);
        if (isHeld)
            m_responder->respond(id, 200, "{}");
        else
            m_responder->refuse(id, 409, "no_memory");
    };
    for (const std::string &name : m_model->memory().expire(now))
        answer(name, false);
    for (const std::string &name : m_model->memory().gather(now))
        answer(name, true);
    m_model->shrinkCache();
    if (m_model->memory().reservations().empty() || std::exchange(m_isSettling, true))
        return;
    m_loop->after(kSettleInterval, [this] {
        m_isSettling = false;
        m_onMemoryChanged();
    });
}

} // namespace hyssop::standins
