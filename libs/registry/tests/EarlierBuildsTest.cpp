// Answers of a control host to entry hosts of earlier builds.

#include "registry/Registry.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <cstdlib>
#include <future>
#include <thread>

using namespace hyssop;
using namespace hyssop::registry;
using base::Millis;
using nlohmann::json;

namespace {

constexpr Millis kTimeout{5'000};
/// Fields of a watch request of builds that know no packed directory.
constexpr std::size_t kFieldsWithoutPacking = 9;
/// Fields of one of builds that read a packed directory, but do not say so.
constexpr std::size_t kFieldsOfFirstPacking = 11;
/// Fields of one of builds that do not know evacuations.
constexpr std::size_t kFieldsWithoutEvacuations = 12;
/// Positions in a watch reply.
constexpr std::size_t kUpstreams = 6;
constexpr std::size_t kDeparted = 7;
constexpr std::size_t kPackedDirectory = 19;

class NoService : public peers::Service
{
public:
    void onWatch(peers::WatchRequest, peers::Answer<peers::WatchReply> answer) override
    {
        answer({});
    }
    void onExecute(peers::ExecuteRequest, peers::Answer<peers::ExecuteReply> answer) override
    {
        answer({});
    }
    void onReplicate(peers::ReplicateMessage) override { }
    void onGossip(peers::GossipMessage) override { }
    void onQuery(peers::QueryRequest, peers::Answer<std::string> answer) override { answer(""); }
};

/// A control host with its loop on a thread, and a node that asks it.
class ControlHost
{
public:
    ControlHost()
    {
        std::string folder =
                (std::filesystem::temp_directory_path() / "hyssop-registry-XXXXXX").string();
        REQUIRE(::mkdtemp(folder.data()));
        m_folder = folder;
        m_loop = std::move(*http::Loop::create());
        m_node = std::move(*peers::Node::start({"127.0.0.1", 0}, &m_service));
        RegistryOptions options;
        options.listenPeers = freeEndpoint();
        options.dataCentre = base::DataCentreId("d");
        options.dataDirectory = m_folder;
        options.seeds = {options.listenPeers};
        options.canBootstrap = true;
        options.voterCount = 1;
        m_address = options.listenPeers;
        auto started = Registry::start(std::move(options), m_loop.get(), [] {});
        REQUIRE(started);
        m_registry = *std::move(started);
        m_thread = std::thread([this] { m_loop->run(); });
    }
    ~ControlHost()
    {
        m_loop->stop();
        m_thread.join();
        m_registry.reset();
        std::filesystem::remove_all(m_folder);
    }

    void announce(const fleet::Upstream &upstream)
    {
        std::promise<void> done;
        m_loop->post([&] {
            m_registry->announce(
                    upstream, [&done] { done.set_value(); }, base::monotonicNow());
        });
        REQUIRE(done.get_future().wait_for(kTimeout) == std::future_status::ready);
    }
    void setEvacuation(const std::string &dataCentre, bool isEvacuated)
    {
        std::promise<PutOutcome> done;
        m_loop->post([&] {
            m_registry->setEvacuation(base::DataCentreId(dataCentre), isEvacuated,
                                      [&done](PutOutcome outcome) { done.set_value(outcome); });
        });
        auto outcome = done.get_future();
        REQUIRE(outcome.wait_for(kTimeout) == std::future_status::ready);
        REQUIRE(outcome.get() == PutOutcome::Accepted);
    }
    json watch(const std::string &request)
    {
        std::promise<tl::expected<std::string, peers::PeerError>> done;
        m_node->query(m_address, {fleet::kWatchTopic, request}, kTimeout,
                      [&done](auto answer) { done.set_value(std::move(answer)); });
        const auto answer = done.get_future().get();
        REQUIRE(answer);
        return json::from_cbor(*answer);
    }

private:
    base::Endpoint freeEndpoint()
    {
        return std::move(*peers::Node::start({"127.0.0.1", 0}, &m_service))->address();
    }

    NoService m_service;
    std::filesystem::path m_folder;
    base::Endpoint m_address;
    std::unique_ptr<http::Loop> m_loop;
    std::unique_ptr<peers::Node> m_node;
    std::unique_ptr<Registry> m_registry;
    std::thread m_thread;
};

/// The form of a message in builds that had only the first \a count of its fields.
std::string firstFields(const std::string &message, std::size_t count)
{
    const json fields = json::from_cbor(message);
    REQUIRE(fields.size() >= count);
    return base::toCbor(json(std::vector<json>(
            fields.begin(), fields.begin() + static_cast<std::ptrdiff_t>(count))));
}

fleet::WatchRequest watchRequest()
{
    fleet::WatchRequest request;
    request.host = base::HostId("entry");
    request.dataCentre = base::DataCentreId("d");
    request.address = {"127.0.0.9", 7000};
    request.maxWait = Millis(100);
    return request;
}

fleet::Upstream upstream()
{
    fleet::Upstream it;
    it.id = base::UpstreamId("u");
    it.service = base::ServiceId("s");
    it.address = {"127.0.0.8", 9000};
    it.dataCentre = base::DataCentreId("d");
    it.incarnation = base::Incarnation(1);
    return it;
}

} // namespace

TEST_CASE("an entry host that does not say that it reads packed directories gets a plain one")
{
    const std::size_t fields = GENERATE(kFieldsWithoutPacking, kFieldsOfFirstPacking);
    CAPTURE(fields);
    ControlHost control;
    control.announce(upstream());
    const json reply = control.watch(firstFields(fleet::encode(watchRequest()), fields));
    REQUIRE(reply.at(kUpstreams).size() == 1);
    CHECK(reply.at(kUpstreams).at(0).at(0) == "u");
    CHECK(reply.at(kDeparted).empty());
}

TEST_CASE("an entry host that says that it reads packed directories gets a packed one")
{
    ControlHost control;
    control.announce(upstream());
    fleet::WatchRequest request = watchRequest();
    request.acceptsPackedDirectory = true;
    const json reply = control.watch(fleet::encode(request));
    CHECK(reply.at(kUpstreams).empty());
    CHECK_FALSE(reply.at(kPackedDirectory).get<std::string>().empty());
    const auto decoded = fleet::decodeWatchReply(base::toCbor(reply));
    REQUIRE(decoded);
    CHECK(decoded->directory.upstreams == std::vector{upstream()});
}

TEST_CASE("an entry host that does not know evacuations is told that upstreams time out and return")
{
    ControlHost control;
    control.announce(upstream());
    fleet::WatchRequest request = watchRequest();
    request.acceptsPackedDirectory = true;
    const auto poll = [&] {
        const json reply =
                control.watch(firstFields(fleet::encode(request), kFieldsWithoutEvacuations));
        const auto decoded = fleet::decodeWatchReply(base::toCbor(reply));
        REQUIRE(decoded);
        request.directoryIncarnation = decoded->directory.incarnation;
        request.directoryRevision = decoded->directory.revision;
        return decoded->directory;
    };
    CHECK(poll().upstreams == std::vector{upstream()});
    control.setEvacuation("d", true);
    const auto evacuated = poll();
    CHECK(evacuated.upstreams.empty());
    CHECK(evacuated.departed
          == std::vector{fleet::DepartedUpstream{base::UpstreamId("u"), base::Incarnation(1),
                                                 fleet::DepartureKind::TimedOut}});
    // Nothing changes until the next order.
    CHECK_FALSE(poll().isSnapshot);
    control.setEvacuation("d", false);
    CHECK(poll().upstreams == std::vector{upstream()});
}
