#include "Server.h"

namespace hyssop::peers {

Server::Server(Service *service, std::shared_ptr<Wakeup> wakeup)
    : m_service(service)
    , m_wakeup(std::move(wakeup))
{ }

template <typename Reply>
kj::Promise<Reply> Server::ask(const std::function<void(Answer<Reply>)> &call)
{
    auto paf = kj::newPromiseAndFulfiller<Reply>();
    using Fulfiller = kj::Own<kj::PromiseFulfiller<Reply>>;
    // The fulfiller belongs to the loop's thread: it is fulfilled and destroyed through the wakeup.
    const std::shared_ptr<Fulfiller> fulfiller(
            new Fulfiller(kj::mv(paf.fulfiller)),
            [wakeup = m_wakeup](Fulfiller *it) { wakeup->post([it] { delete it; }); });
    call([fulfiller, wakeup = m_wakeup](Reply reply) {
        wakeup->post(
                [fulfiller, reply = std::move(reply)] { (*fulfiller)->fulfill(Reply(reply)); });
    });
    return kj::mv(paf.promise);
}

kj::Promise<void> Server::watch(WatchContext context)
{
    const auto params = context.getParams();
    const auto applied = params.getApplied();
    WatchRequest request;
    request.host = base::HostId(toString(applied.getHost()));
    request.dataCentre = base::DataCentreId(toString(applied.getDataCentre()));
    request.applied = {applied.getPosition().getTerm(), applied.getPosition().getIndex()};
    request.wait = base::Millis(params.getWaitMs());
    context.releaseParams();
    return ask<WatchReply>([&](Answer<WatchReply> answer) {
               m_service->onWatch(std::move(request), std::move(answer));
           })
            .then([context](WatchReply &&reply) mutable {
                auto results = context.getResults();
                results.getPosition().setTerm(reply.position.term);
                results.getPosition().setIndex(reply.position.index);
                results.setConfirmed(reply.isConfirmed);
                results.setChanged(reply.hasChanged);
                auto list = results.initRecords(static_cast<unsigned>(reply.records.size()));
                for (unsigned i = 0; i < list.size(); ++i)
                    list[i].setJson(reply.records[i]);
            });
}

kj::Promise<void> Server::execute(ExecuteContext context)
{
    const auto params = context.getParams();
    ExecuteRequest request{toString(params.getGroup()), toString(params.getCommand())};
    context.releaseParams();
    return ask<ExecuteReply>([&](Answer<ExecuteReply> answer) {
               m_service->onExecute(std::move(request), std::move(answer));
           })
            .then([context](ExecuteReply &&reply) mutable {
                auto results = context.getResults();
                results.setStatus(static_cast<wire::ExecuteStatus>(reply.status));
                results.setReply(toData(reply.reply));
                results.setLeader(reply.leader);
            });
}

kj::Promise<void> Server::replicate(ReplicateContext context)
{
    const auto params = context.getParams();
    m_service->onReplicate({toString(params.getGroup()), toString(params.getSender()),
                            toString(params.getBody())});
    return kj::READY_NOW;
}

kj::Promise<void> Server::gossip(GossipContext context)
{
    const auto params = context.getParams();
    m_service->onGossip({base::HostId(toString(params.getSender())), toString(params.getBody())});
    return kj::READY_NOW;
}

kj::Promise<void> Server::query(QueryContext context)
{
    const auto params = context.getParams();
    QueryRequest request{toString(params.getTopic()), toString(params.getBody())};
    return ask<std::string>([&](Answer<std::string> answer) {
               m_service->onQuery(std::move(request), std::move(answer));
           })
            .then([context](std::string &&reply) mutable {
                context.getResults().setBody(toData(reply));
            });
}

} // namespace hyssop::peers
