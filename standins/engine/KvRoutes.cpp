#include "KvRoutes.h"

#include "JsonFields.h"
#include "Owners.h"

namespace hyssop::standins {

namespace {

constexpr std::string_view kKv = "/v1/kv";

using nlohmann::json;

} // namespace

KvRoutes::KvRoutes(Responder *responder, EngineModel *model, EventFeed *feed,
                   std::function<void()> onMemoryChanged)
    : m_responder(responder)
    , m_model(model)
    , m_feed(feed)
    , m_onMemoryChanged(std::move(onMemoryChanged))
{ }

void KvRoutes::serve(http::ExchangeId id, const http::Request &request)
{
    const std::string name = restOf(request.path, kKv);
    if (request.method == http::Method::Get && name.empty()) {
        list(id, ownerOf(request));
        return;
    }
    if (request.method == http::Method::Delete && !name.empty()) {
        const bool wasThere = m_model->memory().unhold(name);
        m_onMemoryChanged();
        m_responder->respond(id, wasThere ? 200 : 404, "{}");
        return;
    }
    const auto body = base::parseJson(request.body);
    const bool isOrder = request.method == http::Method::Post && body && body->is_object()
                         && !textOf(*body, "id").empty() && !textOf(*body, "owner").empty();
    if (isOrder && name == "exports")
        exportKv(id, *body);
    else if (isOrder && name == "imports")
        importKv(id, *body);
    else
        m_responder->refuse(id, 400, "bad_request");
}

void KvRoutes::exportKv(http::ExchangeId id, const json &body)
{
    const Sequence *sequence = m_model->find(textOf(body, "attempt"));
    if (!sequence) {
        m_responder->refuse(id, 404, "unknown_attempt");
        return;
    }
    const std::int64_t tokens = sequence->prefilled;
    if (!m_model->memory().hold(textOf(body, "id"), {textOf(body, "owner"), tokens})) {
        m_responder->refuse(id, 409, "no_memory");
        return;
    }
    m_model->shrinkCache();
    m_responder->respond(id, 200, json{{"tokens", tokens}, {"blocks", sequence->blocks}}.dump());
}

void KvRoutes::importKv(http::ExchangeId id, const json &body)
{
    const std::int64_t tokens = numberOf(body, "tokens", 0);
    const auto blocks = body.find("blocks");
    if (tokens <= 0 || blocks == body.end() || !blocks->is_array()) {
        m_responder->refuse(id, 400, "bad_request");
        return;
    }
    std::vector<std::uint64_t> wanted;
    for (const json &block : *blocks) {
        if (block.is_number_unsigned())
            wanted.push_back(block.get<std::uint64_t>());
    }
    if (!m_model->memory().hold(textOf(body, "id"), {textOf(body, "owner"), tokens})) {
        m_responder->refuse(id, 409, "no_memory");
        return;
    }
    m_model->shrinkCache();
    m_model->cache().remember(wanted, m_model->memory().free());
    m_feed->cacheChanged(m_model->cache().takeChanges());
    m_responder->respond(id, 200, "{}");
}

void KvRoutes::list(http::ExchangeId id, const std::string &owner)
{
    json all = json::array();
    for (const auto &[name, hold] : m_model->memory().holds()) {
        if (isOwnedBy(hold.owner, owner))
            all.push_back({{"id", name}, {"owner", hold.owner}, {"tokens", hold.tokens}});
    }
    m_responder->respond(id, 200, json{{"kv", all}}.dump());
}

} // namespace hyssop::standins
