#pragma once

#include "ControlClient.h"
#include "Gossiper.h"
#include "ReclaimPlan.h"
#include "upstream/Upstream.h"

namespace hyssop::entry {

/// Deletes the leftovers of ended hosts at the engines of the data centre, and retires these hosts
/// in the log.
///
/// Carries out the steps of a ReclaimPlan: lists attempts, reservations and held caches by owner,
/// and deletes each. Belongs to the entry server's loop.
class Reclaimer final : private http::CallHandler
{
public:
    static constexpr base::Millis kTickInterval{500};

    /// \a gossiper, \a controlClient and \a metrics must outlive this object.
    Reclaimer(http::Loop *loop, process::Metrics *metrics, const Gossiper *gossiper,
              ControlClient *controlClient, base::DataCentreId dataCentre);
    ~Reclaimer() override;

    /// Starts with the leftovers of earlier processes of this host.
    void start();
    void onHostChange(const membership::HostChange &change);
    /// Continues deletions that a stopping host handed over unconfirmed.
    void takeOverDeletions(const std::vector<upstream::DeletionQueue::Deletion> &deletions);

private:
    /// Listing of one engine, which queries its lists one after the other.
    struct Listing
    {
        ReclaimPlan::Step step;
        base::Endpoint address;
        std::size_t listIndex = 0;
        int status = 0;
        std::string body;
        bool hasLeftovers = false;
    };

    void tick();
    void startStep(const ReclaimPlan::Step &step);
    void retireOwner(const ReclaimPlan::Step &step);
    void sendRetireCommands(const ReclaimPlan::Step &step, std::vector<std::string> groups);
    void requestList(Listing listing);
    bool orderDeletions(const Listing &listing, bool &hasLeftovers);
    void endStep(const ReclaimPlan::Step &step, ReclaimPlan::Result result);
    std::vector<base::UpstreamId> engineIds() const;
    void onHead(http::CallId id, int status, const http::Headers &headers) override;
    void onData(http::CallId id, std::string_view data) override;
    void onDone(http::CallId id) override;
    void onFailed(http::CallId id, const http::CallError &error) override;

    http::Loop *m_loop;
    process::Metrics *m_metrics;
    const Gossiper *m_gossiper;
    ControlClient *m_controlClient;
    base::DataCentreId m_dataCentre;
    ReclaimPlan m_plan;
    upstream::DeletionQueue m_deletions;
    std::map<http::CallId, Listing> m_listings;
};

} // namespace hyssop::entry
