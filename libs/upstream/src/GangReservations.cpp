#include "upstream/Upstream.h"

#include <nlohmann/json.hpp>

#include <cassert>

namespace hyssop::upstream {

namespace {

constexpr base::Millis kRenewTimeout{2'000};
constexpr auto kReservationsPath = "/v1/reservations";

bool isSortedById(const std::vector<GangMember> &members)
{
    const auto isNotBefore = [](const auto &a, const auto &b) { return !(a.id < b.id); };
    return std::adjacent_find(members.begin(), members.end(), isNotBefore) == members.end();
}

} // namespace

GangReservations::GangReservations(http::Loop *loop, OwnerId owner, OnLost onLost,
                                   base::Millis renewInterval)
    : m_loop(loop)
    , m_owner(std::move(owner))
    , m_onLost(std::move(onLost))
    , m_renewInterval(renewInterval)
    , m_deletions(loop, m_owner)
{ }

GangReservations::~GangReservations()
{
    for (const auto &[id, call] : m_calls)
        m_loop->cancel(id);
    for (const auto &[id, gang] : m_gangs)
        m_loop->cancelTimer(gang.timer);
}

void GangReservations::reserve(GangRequest request, OnReserved onReserved)
{
    assert(!request.members.empty() && "the gang has no members");
    assert(isSortedById(request.members) && "the members of the gang are not in order of id");
    assert(!m_gangs.contains(request.id) && "the attempt already has a gang");
    const base::AttemptId id = request.id;
    Gang &gang = m_gangs[id];
    gang.deadline = base::monotonicNow() + request.timeout;
    gang.timer = m_loop->after(request.timeout, [this, id] { finishReserving(id, false); });
    gang.request = std::move(request);
    gang.onReserved = std::move(onReserved);
    reserveNext(gang);
}

void GangReservations::reserveNext(Gang &gang)
{
    const auto timeLeft = std::chrono::ceil<base::Millis>(gang.deadline - base::monotonicNow());
    const GangMember &member = gang.request.members[gang.requestedCount];
    ++gang.requestedCount;
    gang.callId = sendReservation(gang, member, std::max(timeLeft, base::Millis(1)));
    m_calls.emplace(gang.callId, MemberCall{gang.request.id, false, 0});
}

http::CallId GangReservations::sendReservation(const Gang &gang, const GangMember &member,
                                               base::Millis timeout)
{
    base::Tokens totalTokens;
    nlohmann::json memberIds = nlohmann::json::array();
    for (const GangMember &each : gang.request.members) {
        totalTokens += each.kvTokens;
        memberIds.push_back(each.id.text());
    }
    http::Call call;
    call.to = member.to;
    call.method = http::Method::Post;
    call.path = kReservationsPath;
    call.headers = {{"content-type", "application/json"}, {"x-owner", m_owner.text()}};
    call.body =
            nlohmann::json{{"id", gang.request.id.text()},      {"owner", m_owner.text()},
                           {"tokens", member.kvTokens.count()}, {"ttlMs", kReservationTtl.count()},
                           {"waitMs", timeout.count()},         {"gang", memberIds},
                           {"gangTokens", totalTokens.count()}}
                    .dump();
    call.timeout = timeout;
    return m_loop->call(std::move(call), this);
}

void GangReservations::scheduleRenewal(Gang &gang)
{
    gang.timer = m_loop->after(m_renewInterval, [this, id = gang.request.id] { renew(id); });
}

void GangReservations::renew(const base::AttemptId &id)
{
    Gang &gang = m_gangs.at(id);
    scheduleRenewal(gang);
    for (const GangMember &member : gang.request.members)
        m_calls.emplace(sendReservation(gang, member, kRenewTimeout), MemberCall{id, true, 0});
}

void GangReservations::onRenewalResponse(const base::AttemptId &id, bool isReserved)
{
    if (isReserved)
        return;
    release(id);
    m_onLost(id);
}

void GangReservations::release(const base::AttemptId &id)
{
    const auto it = m_gangs.find(id);
    if (it == m_gangs.end())
        return;
    releaseMembers(it->second);
    m_gangs.erase(it);
}

void GangReservations::releaseMembers(const Gang &gang)
{
    m_loop->cancelTimer(gang.timer);
    // A renewal that arrives after the deletion would create the reservation again.
    std::erase_if(m_calls, [&](const auto &it) {
        if (it.second.gangId != gang.request.id)
            return false;
        m_loop->cancel(it.first);
        return true;
    });
    for (std::size_t i = 0; i < gang.requestedCount; ++i)
        m_deletions.add(gang.request.members[i].to,
                        std::string(kReservationsPath) + '/' + gang.request.id.text());
}

void GangReservations::finishReserving(const base::AttemptId &id, bool isHeld)
{
    const auto it = m_gangs.find(id);
    if (it == m_gangs.end())
        return;
    const OnReserved onReserved = std::move(it->second.onReserved);
    if (isHeld) {
        it->second.isHeld = true;
        m_loop->cancelTimer(it->second.timer);
        scheduleRenewal(it->second);
    } else {
        releaseMembers(it->second);
        m_gangs.erase(it);
    }
    onReserved(isHeld);
}

void GangReservations::onHead(http::CallId id, int status, const http::Headers &)
{
    m_calls.at(id).status = status;
}

void GangReservations::onDone(http::CallId id)
{
    const auto it = m_calls.find(id);
    const MemberCall call = it->second;
    m_calls.erase(it);
    const bool isReserved = call.status == 200 || call.status == 201;
    if (call.isRenewal) {
        onRenewalResponse(call.gangId, isReserved);
        return;
    }
    Gang &gang = m_gangs.at(call.gangId);
    if (isReserved && gang.requestedCount < gang.request.members.size())
        reserveNext(gang);
    else
        finishReserving(call.gangId, isReserved);
}

void GangReservations::onFailed(http::CallId id, const http::CallError &)
{
    const auto it = m_calls.find(id);
    const MemberCall call = it->second;
    m_calls.erase(it);
    if (!call.isRenewal)
        finishReserving(call.gangId, false);
}

} // namespace hyssop::upstream
