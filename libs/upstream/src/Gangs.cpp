#include "upstream/Upstream.h"

#include <nlohmann/json.hpp>

#include <cassert>

namespace hyssop::upstream {

namespace {

constexpr base::Millis kRenewTimeout{2'000};
constexpr auto kReservations = "/v1/reservations";

bool isOrdered(const std::vector<GangMember> &members)
{
    const auto isNotBefore = [](const auto &a, const auto &b) { return !(a.id < b.id); };
    return std::adjacent_find(members.begin(), members.end(), isNotBefore) == members.end();
}

} // namespace

Gangs::Gangs(http::Loop *loop, OwnerName owner, OnLost onLost, base::Millis renewInterval)
    : m_loop(loop)
    , m_owner(std::move(owner))
    , m_onLost(std::move(onLost))
    , m_renewInterval(renewInterval)
    , m_deletions(loop, m_owner)
{ }

Gangs::~Gangs()
{
    for (const auto &[id, question] : m_questions)
        m_loop->cancel(id);
    for (const auto &[id, gang] : m_gangs)
        m_loop->cancelTimer(gang.timer);
}

void Gangs::reserve(GangOrder order, OnReserved onReserved)
{
    assert(!order.members.empty() && "a gang without members was asked for");
    assert(isOrdered(order.members) && "the members of a gang are not in id order");
    assert(!m_gangs.contains(order.id) && "a gang of this attempt is held already");
    const base::AttemptId id = order.id;
    Gang &gang = m_gangs[id];
    gang.deadline = base::monotonicNow() + order.limit;
    gang.timer = m_loop->after(order.limit, [this, id] { answer(id, false); });
    gang.order = std::move(order);
    gang.onReserved = std::move(onReserved);
    askNext(gang);
}

void Gangs::askNext(Gang &gang)
{
    const auto left = std::chrono::ceil<base::Millis>(gang.deadline - base::monotonicNow());
    const GangMember &member = gang.order.members[gang.asked];
    ++gang.asked;
    gang.call = ask(gang, member, std::max(left, base::Millis(1)));
    m_questions.emplace(gang.call, Question{gang.order.id, false, 0});
}

http::CallId Gangs::ask(const Gang &gang, const GangMember &member, base::Millis limit)
{
    base::Tokens total;
    nlohmann::json ids = nlohmann::json::array();
    for (const GangMember &one : gang.order.members) {
        total += one.tokens;
        ids.push_back(one.id.text());
    }
    http::Call call;
    call.to = member.to;
    call.method = http::Method::Post;
    call.path = kReservations;
    call.headers = {{"content-type", "application/json"}, {"x-owner", m_owner.text()}};
    call.body =
            nlohmann::json{{"id", gang.order.id.text()},      {"owner", m_owner.text()},
                           {"tokens", member.tokens.count()}, {"ttlMs", kReservationTtl.count()},
                           {"waitMs", limit.count()},         {"gang", ids},
                           {"gangTokens", total.count()}}
                    .dump();
    call.timeout = limit;
    return m_loop->call(std::move(call), this);
}

void Gangs::renewLater(Gang &gang)
{
    gang.timer = m_loop->after(m_renewInterval, [this, id = gang.order.id] { renew(id); });
}

void Gangs::renew(const base::AttemptId &id)
{
    Gang &gang = m_gangs.at(id);
    renewLater(gang);
    for (const GangMember &member : gang.order.members)
        m_questions.emplace(ask(gang, member, kRenewTimeout), Question{id, true, 0});
}

void Gangs::onRenewed(const base::AttemptId &id, bool isReserved)
{
    if (isReserved)
        return;
    release(id);
    m_onLost(id);
}

void Gangs::release(const base::AttemptId &id)
{
    const auto it = m_gangs.find(id);
    if (it == m_gangs.end())
        return;
    giveBack(it->second);
    m_gangs.erase(it);
}

void Gangs::giveBack(const Gang &gang)
{
    m_loop->cancelTimer(gang.timer);
    // A renewal that arrives after the order to give up would reserve anew.
    std::erase_if(m_questions, [&](const auto &it) {
        if (it.second.gang != gang.order.id)
            return false;
        m_loop->cancel(it.first);
        return true;
    });
    for (std::size_t i = 0; i < gang.asked; ++i)
        m_deletions.add(gang.order.members[i].to,
                        std::string(kReservations) + '/' + gang.order.id.text());
}

void Gangs::answer(const base::AttemptId &id, bool isHeld)
{
    const auto it = m_gangs.find(id);
    if (it == m_gangs.end())
        return;
    const OnReserved onReserved = std::move(it->second.onReserved);
    if (isHeld) {
        it->second.isHeld = true;
        m_loop->cancelTimer(it->second.timer);
        renewLater(it->second);
    } else {
        giveBack(it->second);
        m_gangs.erase(it);
    }
    onReserved(isHeld);
}

void Gangs::onHead(http::CallId id, int status, const http::Headers &)
{
    m_questions.at(id).status = status;
}

void Gangs::onDone(http::CallId id)
{
    const auto it = m_questions.find(id);
    const Question question = it->second;
    m_questions.erase(it);
    const bool isReserved = question.status == 200 || question.status == 201;
    if (question.isRenewal) {
        onRenewed(question.gang, isReserved);
        return;
    }
    Gang &gang = m_gangs.at(question.gang);
    if (isReserved && gang.asked < gang.order.members.size())
        askNext(gang);
    else
        answer(question.gang, isReserved);
}

void Gangs::onFailed(http::CallId id, const http::CallError &)
{
    const auto it = m_questions.find(id);
    const Question question = it->second;
    m_questions.erase(it);
    if (!question.isRenewal)
        answer(question.gang, false);
}

} // namespace hyssop::upstream
