#include "Reclaimer.h"

#include <nlohmann/json.hpp>

namespace hyssop::entry {

namespace {

constexpr base::Millis kListTimeout{2'000};
constexpr std::size_t kMaxListBytes = std::size_t(4) << 20;
constexpr int kHttpOk = 200;

/// A list that an engine serves by owner, and the JSON field that holds its items.
struct ListResource
{
    const char *path;
    const char *field;
};

constexpr ListResource kLists[] = {
        {"/v1/attempts", "attempts"}, {"/v1/reservations", "reservations"}, {"/v1/kv", "kv"}};

} // namespace

Reclaimer::Reclaimer(http::Loop *loop, process::Metrics *metrics, const Gossiper *gossiper,
                     ControlClient *controlClient, base::DataCentreId dataCentre)
    : m_loop(loop)
    , m_metrics(metrics)
    , m_gossiper(gossiper)
    , m_controlClient(controlClient)
    , m_dataCentre(std::move(dataCentre))
    , m_plan(gossiper->hosts().self().id)
    , m_deletions(loop, {gossiper->hosts().self().id, gossiper->hosts().self().incarnation})
{ }

Reclaimer::~Reclaimer()
{
    for (const auto &[id, listing] : m_listings)
        m_loop->cancel(id);
}

void Reclaimer::start()
{
    const membership::HostHeartbeat &self = m_gossiper->hosts().self();
    const base::Incarnation previous(self.incarnation.count() - 1);
    m_plan.onOwnerEnded({self.id, previous}, true, base::monotonicNow());
    tick();
}

void Reclaimer::onHostChange(const membership::HostChange &change)
{
    const EndedOwner owner{change.host, change.incarnation};
    const base::TimePoint now = base::monotonicNow();
    switch (change.kind) {
    case membership::HostChange::Kind::Dead:
    case membership::HostChange::Kind::Restarted:
        m_metrics->count("hyssop_reclaimed_hosts_total");
        m_plan.onOwnerEnded(owner, false, now);
        break;
    case membership::HostChange::Kind::Alive:
        m_plan.onOwnerReturned(owner);
        break;
    case membership::HostChange::Kind::Suspected:
        break;
    }
}

void Reclaimer::takeOverDeletions(const std::vector<upstream::DeletionQueue::Deletion> &deletions)
{
    m_metrics->count("hyssop_taken_over_orders_total", {}, static_cast<double>(deletions.size()));
    for (const upstream::DeletionQueue::Deletion &deletion : deletions)
        m_deletions.add(deletion.to, deletion.path);
}

std::vector<base::UpstreamId> Reclaimer::engineIds() const
{
    std::vector<base::UpstreamId> ids;
    for (const membership::Announcement &it : m_gossiper->directory().all()) {
        if (it.upstream.kind == routing::UpstreamKind::Engine)
            ids.push_back(it.upstream.id);
    }
    return ids;
}

void Reclaimer::tick()
{
    std::vector<base::HostId> live;
    for (const membership::HostHeartbeat &heartbeat : m_gossiper->hosts().live())
        live.push_back(heartbeat.id);
    for (const ReclaimPlan::Step &step : m_plan.nextSteps(engineIds(), live, base::monotonicNow()))
        startStep(step);
    m_metrics->set("hyssop_reclaim_owners", static_cast<double>(m_plan.ownerCount()));
    m_metrics->set("hyssop_unconfirmed_reclaims",
                   static_cast<double>(m_deletions.unconfirmedCount()));
    m_metrics->set("hyssop_reclaims_given_up",
                   static_cast<double>(m_plan.givenUpCount() + m_deletions.givenUpCount()));
    m_loop->after(kTickInterval, [this] { tick(); });
}

void Reclaimer::startStep(const ReclaimPlan::Step &step)
{
    if (!step.engine) {
        retireOwner(step);
        return;
    }
    const membership::Announcement *engine = m_gossiper->directory().find(*step.engine);
    if (!engine) {
        endStep(step, ReclaimPlan::Result::Failed);
        return;
    }
    Listing listing;
    listing.step = step;
    listing.address = engine->address;
    requestList(std::move(listing));
}

void Reclaimer::retireOwner(const ReclaimPlan::Step &step)
{
    if (m_controlClient->controlHosts().empty()) {
        endStep(step, ReclaimPlan::Result::Empty);
        return;
    }
    sendRetireCommands(step, {"home-" + m_dataCentre.text(), "global"});
}

void Reclaimer::sendRetireCommands(const ReclaimPlan::Step &step, std::vector<std::string> groups)
{
    const std::string group = groups.front();
    groups.erase(groups.begin());
    const ledger::RetireOwner command{{step.owner.host, step.owner.incarnation}};
    m_controlClient->execute(group, command, [this, step, groups](const auto &reply) {
        if (!reply || reply->status != ledger::Status::Accepted) {
            m_metrics->count("hyssop_reclaim_failures_total", {{"reason", "log"}});
            endStep(step, ReclaimPlan::Result::Failed);
        } else if (groups.empty()) {
            endStep(step, ReclaimPlan::Result::Empty);
        } else {
            sendRetireCommands(step, groups);
        }
    });
}

void Reclaimer::requestList(Listing listing)
{
    http::Call call;
    call.to = listing.address;
    call.path = std::string(kLists[listing.listIndex].path)
                + "?owner=" + listing.step.owner.host.text();
    call.connectTimeout = kListTimeout;
    call.timeout = kListTimeout;
    listing.status = 0;
    listing.body.clear();
    m_listings.emplace(m_loop->call(std::move(call), this), std::move(listing));
}

void Reclaimer::onHead(http::CallId id, int status, const http::Headers &)
{
    m_listings.at(id).status = status;
}

void Reclaimer::onData(http::CallId id, std::string_view data)
{
    Listing &listing = m_listings.at(id);
    if (listing.body.size() + data.size() > kMaxListBytes)
        listing.status = 0;
    else
        listing.body += data;
}

bool Reclaimer::orderDeletions(const Listing &listing, bool &hasLeftovers)
{
    const ListResource &list = kLists[listing.listIndex];
    const auto json = base::parseJson(listing.body);
    if (listing.status != kHttpOk || !json || !json->is_object() || !json->contains(list.field)
        || !json->at(list.field).is_array())
        return false;
    for (const auto &item : json->at(list.field)) {
        const bool isValid = item.is_object() && item.contains("id") && item.at("id").is_string()
                             && item.contains("owner") && item.at("owner").is_string();
        if (!isValid)
            return false;
        if (!covers(listing.step.owner, item.at("owner").get<std::string>()))
            continue;
        hasLeftovers = true;
        m_metrics->count("hyssop_reclaimed_total", {{"kind", list.field}});
        m_deletions.add(listing.address,
                        std::string(list.path) + '/' + item.at("id").get<std::string>());
    }
    return true;
}

void Reclaimer::onDone(http::CallId id)
{
    const auto it = m_listings.find(id);
    Listing listing = std::move(it->second);
    m_listings.erase(it);
    if (!orderDeletions(listing, listing.hasLeftovers)) {
        m_metrics->count("hyssop_reclaim_failures_total", {{"reason", "malformed"}});
        endStep(listing.step, ReclaimPlan::Result::Failed);
    } else if (++listing.listIndex < std::size(kLists)) {
        requestList(std::move(listing));
    } else {
        endStep(listing.step,
                listing.hasLeftovers ? ReclaimPlan::Result::Leftovers : ReclaimPlan::Result::Empty);
    }
}

void Reclaimer::onFailed(http::CallId id, const http::CallError &error)
{
    const auto it = m_listings.find(id);
    const ReclaimPlan::Step step = it->second.step;
    m_listings.erase(it);
    m_metrics->count("hyssop_reclaim_failures_total",
                     {{"reason", std::string(http::callFailureName(error.failure))}});
    endStep(step, ReclaimPlan::Result::Failed);
}

void Reclaimer::endStep(const ReclaimPlan::Step &step, ReclaimPlan::Result result)
{
    if (result == ReclaimPlan::Result::Leftovers)
        base::logEvent("reclaimed", {{"owner", step.owner.host},
                                     {"incarnation", step.owner.incarnation.count()},
                                     {"engine", *step.engine}});
    m_plan.onStepDone(step, result, base::monotonicNow());
}

} // namespace hyssop::entry
