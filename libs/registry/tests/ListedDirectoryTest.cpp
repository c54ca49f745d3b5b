// What the directory lists to entry hosts, also to those of builds that do not know evacuations.

#include "ListedDirectory.h"
#include "PendingWatches.h"

#include <catch2/catch.hpp>

using namespace hyssop;
using namespace hyssop::registry;
using base::Millis;

namespace {

constexpr base::TimePoint kStart{std::chrono::hours(1)};
constexpr std::int64_t kFirstRevision = 7;

fleet::Upstream upstream(const std::string &id, const std::string &dataCentre)
{
    fleet::Upstream it;
    it.id = base::UpstreamId(id);
    it.service = base::ServiceId("s");
    const auto port = 10U * static_cast<unsigned char>(id.front()) + id.size();
    it.address = {"127.0.0.8", static_cast<std::uint16_t>(port)};
    it.dataCentre = base::DataCentreId(dataCentre);
    it.incarnation = base::Incarnation(3);
    it.sequence = 1;
    return it;
}

/// A control host that lists its directory.
struct Control
{
    explicit Control(std::int64_t incarnation)
        : directory(incarnation, Millis(4'000))
    {
        directory.announce(upstream("north", "north"), kStart);
        directory.announce(upstream("south", "south"), kStart);
    }

    fleet::Directory directory;
    ListedDirectory listed;
};

/// An entry host and what it knows from the replies of control hosts.
class EntryHost
{
public:
    EntryHost(bool knowsEvacuations, bool acceptsPackedDirectory)
    {
        m_request.evacuationsRevision = knowsEvacuations ? 0 : fleet::kEvacuationsUnread;
        m_request.acceptsPackedDirectory = acceptsPackedDirectory;
    }

    fleet::DirectoryChanges poll(Control &control, const fleet::Evacuations &evacuations)
    {
        const std::int64_t id = control.directory.incarnation();
        const auto [incarnation, revision] = m_known[id];
        m_request.directoryIncarnation = incarnation;
        m_request.directoryRevision = revision;
        fleet::WatchReply reply;
        control.listed.list(control.directory, evacuations, m_request, reply);
        const auto changes = fleet::decodeWatchReply(fleet::encode(reply))->directory;
        m_known[id] = {changes.incarnation, changes.revision};
        const auto changed = m_view.apply(base::HostId(std::to_string(id)), changes, kStart);
        for (const fleet::Upstream &it : changed.upstreams)
            m_upstreams.insert(it.id.text());
        for (const base::UpstreamId &it : changed.removed)
            m_upstreams.erase(it.text());
        return changes;
    }
    /// Those that it may send to.
    const std::set<std::string> &upstreams() const { return m_upstreams; }
    const fleet::WatchRequest &request() const { return m_request; }

private:
    fleet::WatchRequest m_request;
    std::map<std::int64_t, std::pair<std::int64_t, std::int64_t>> m_known;
    fleet::FleetView m_view{Millis(8'000)};
    std::set<std::string> m_upstreams;
};

fleet::Evacuations evacuations(std::int64_t revision, const std::set<std::string> &dataCentres)
{
    fleet::Evacuations state{revision, {}};
    for (const std::string &it : dataCentres)
        state.dataCentres.emplace(it);
    return state;
}

const std::set<std::string> kBoth{"north", "south"};

} // namespace

// Hosts of earlier builds went on sending to evacuated data centres.
TEST_CASE("hosts that do not know evacuations see the upstreams of evacuated data centres time out "
          "and return")
{
    const bool isPacked = GENERATE(false, true);
    CAPTURE(isPacked);
    std::vector<Control> controls{Control(100), Control(200), Control(300)};
    EntryHost earlier(false, isPacked);
    const auto pollAll = [&](const fleet::Evacuations &state) {
        for (Control &it : controls)
            earlier.poll(it, state);
    };
    pollAll({});
    CHECK(earlier.upstreams() == kBoth);
    pollAll(evacuations(kFirstRevision, {"north"}));
    CHECK(earlier.upstreams() == std::set<std::string>{"south"});
    pollAll(evacuations(kFirstRevision + 1, {"north", "south"}));
    CHECK(earlier.upstreams().empty());
    pollAll(evacuations(kFirstRevision + 2, {"south"}));
    CHECK(earlier.upstreams() == std::set<std::string>{"north"});
    pollAll(evacuations(kFirstRevision + 3, {}));
    CHECK(earlier.upstreams() == kBoth);
}

TEST_CASE("a host that does not know evacuations learns of upstreams that start during one only "
          "after its end")
{
    const bool isPacked = GENERATE(false, true);
    CAPTURE(isPacked);
    Control control(100);
    EntryHost earlier(false, isPacked);
    const auto state = evacuations(kFirstRevision, {"north"});
    earlier.poll(control, state);
    control.directory.announce(upstream("north2", "north"), kStart);
    control.directory.announce(upstream("south3", "south"), kStart);
    const auto changes = earlier.poll(control, state);
    CHECK_FALSE(changes.isSnapshot);
    CHECK(earlier.upstreams() == std::set<std::string>{"south", "south3"});
    earlier.poll(control, evacuations(kFirstRevision + 1, {}));
    CHECK(earlier.upstreams() == std::set<std::string>{"north", "north2", "south", "south3"});
}

TEST_CASE("hosts that know evacuations get the whole directory, and no snapshot for an order")
{
    const bool isPacked = GENERATE(false, true);
    CAPTURE(isPacked);
    Control control(100);
    EntryHost earlier(false, isPacked);
    EntryHost present(true, isPacked);
    const auto state = evacuations(kFirstRevision, {"north"});
    for (const auto &it : {fleet::Evacuations(), state}) {
        earlier.poll(control, it);
        present.poll(control, it);
    }
    CHECK(present.upstreams() == kBoth);
    CHECK(earlier.upstreams() == std::set<std::string>{"south"});
    control.directory.announce(upstream("south3", "south"), kStart);
    const auto changes = present.poll(control, state);
    CHECK_FALSE(changes.isSnapshot);
    CHECK(changes.incarnation == control.directory.incarnation());
    REQUIRE(changes.upstreams.size() == 1);
    CHECK(changes.upstreams.front().id.text() == "south3");
}

// An earlier host that waited for the next change of the directory would not learn of an order.
TEST_CASE("the watch of a host that does not know evacuations is answered once for each order")
{
    Control control(100);
    EntryHost earlier(false, true);
    earlier.poll(control, {});
    int answered = 0;
    PendingWatches watches;
    const auto watch = [&] {
        fleet::WatchRequest request = earlier.request();
        request.maxWait = Millis(1'000);
        watches.add(
                request, [&answered](const auto &) { ++answered; }, kStart);
    };
    PendingWatches::Revisions state;
    state.directoryIncarnation = control.directory.incarnation();
    state.directoryRevision = control.directory.revision();
    earlier.poll(control, {});
    watch();
    watches.answerReady(state, kStart);
    CHECK(answered == 0);
    state.evacuationsRevision = kFirstRevision;
    watches.answerReady(state, kStart);
    CHECK(answered == 1);
    earlier.poll(control, evacuations(kFirstRevision, {"north"}));
    earlier.poll(control, evacuations(kFirstRevision, {"north"}));
    watch();
    watches.answerReady(state, kStart);
    CHECK(answered == 1);
}
