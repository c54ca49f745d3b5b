#pragma once

#include "routing/Routing.h"

#include <algorithm>

namespace hyssop::routing {

inline constexpr base::TimePoint kStart{std::chrono::seconds(1000)};

/// The actions of type T.
template <typename T>
std::vector<T> actionsOf(const Actions &actions)
{
    std::vector<T> found;
    for (const Action &action : actions) {
        if (const T *it = std::get_if<T>(&action))
            found.push_back(*it);
    }
    return found;
}

inline RouterOptions testOptions(const std::string &policy = "adaptive")
{
    RouterOptions options;
    options.host = base::HostId("h1");
    options.incarnation = base::Incarnation(1);
    options.dataCentre = base::DataCentreId("hall-a");
    options.policy = policy;
    return options;
}

inline records::Record teamRecord(const std::string &name, const std::string &spec = "{}")
{
    return {records::Kind::Team, name, 1, records::Version(1), spec};
}

/// A router with a team "shop" and engines with a KV cache of 400,000 tokens.
struct RouterFixture
{
    explicit RouterFixture(const RouterOptions &options = testOptions(),
                           const std::vector<records::Record> &teams = {teamRecord("shop")})
        : router(options)
    {
        router.handle(CatalogueChanged{records::Catalogue::build(teams, nullptr)}, now);
    }
    static UpstreamInfo engine(const std::string &id, const std::string &dataCentre = "hall-a")
    {
        UpstreamInfo info;
        info.id = base::UpstreamId(id);
        info.incarnation = base::Incarnation(1);
        info.models = {"m"};
        info.kvTokens = base::Tokens(400'000);
        info.dataCentre = base::DataCentreId(dataCentre);
        return info;
    }
    void addEngine(const std::string &id, const std::string &dataCentre = "hall-a")
    {
        router.handle(UpstreamUpdated{engine(id, dataCentre)}, now);
    }
    RequestInfo request(const std::string &id, std::int64_t prompt,
                        records::Urgency urgency = records::Urgency::Normal) const
    {
        RequestInfo request;
        request.id = base::RequestId(id);
        request.team = base::TeamId("shop");
        request.modelOrService = "m";
        request.promptTokens = base::Tokens(prompt);
        request.maxOutputTokens = base::Tokens(16);
        request.urgency = urgency;
        request.deadline = now + std::chrono::seconds(60);
        return request;
    }
    Actions arrive(const RequestInfo &request)
    {
        return router.handle(RequestArrived{request}, now);
    }
    Actions arrive(const std::string &id, std::int64_t prompt,
                   records::Urgency urgency = records::Urgency::Normal)
    {
        return arrive(request(id, prompt, urgency));
    }
    /// Sends a request that must start at once.
    StartAttempt startRequest(const std::string &id, std::int64_t prompt)
    {
        return actionsOf<StartAttempt>(arrive(id, prompt)).at(0);
    }
    /// Runs all ticks due up to \a until, each at its time, and returns their actions.
    Actions advanceTo(base::TimePoint until)
    {
        Actions all;
        while (router.nextTick() <= until) {
            now = std::max(now, router.nextTick());
            Actions due = router.tick(now);
            all.insert(all.end(), due.begin(), due.end());
        }
        now = until;
        return all;
    }

    base::TimePoint now = kStart;
    Router router;
};

} // namespace hyssop::routing
