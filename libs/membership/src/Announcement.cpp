#include "membership/Membership.h"

#include <nlohmann/json.hpp>

namespace hyssop::membership {

namespace {

constexpr std::int64_t kMaxTtlMs = 60'000;
constexpr std::size_t kMaxModels = 256;

tl::unexpected<AnnouncementError> fault(std::string field, std::string message)
{
    return tl::unexpected(AnnouncementError{std::move(field), std::move(message)});
}

std::string textOf(const nlohmann::json &json, const char *field)
{
    const auto it = json.find(field);
    return it != json.end() && it->is_string() ? it->get<std::string>() : std::string();
}

std::int64_t numberOf(const nlohmann::json &json, const char *field, std::int64_t fallback)
{
    const auto it = json.find(field);
    return it != json.end() && it->is_number_integer() ? it->get<std::int64_t>() : fallback;
}

bool isTrue(const nlohmann::json &json, const char *field)
{
    const auto it = json.find(field);
    return it != json.end() && it->is_boolean() && it->get<bool>();
}

std::optional<std::vector<std::string>> modelsOf(const nlohmann::json &json)
{
    const auto it = json.find("models");
    if (it == json.end() || !it->is_array() || it->size() > kMaxModels)
        return std::nullopt;
    std::vector<std::string> models;
    for (const auto &model : *it) {
        if (!model.is_string())
            return std::nullopt;
        models.push_back(model.get<std::string>());
    }
    return models;
}

} // namespace

tl::expected<Announcement, AnnouncementError> parseAnnouncement(std::string_view text)
{
    const auto json = base::parseJson(text);
    if (!json || !json->is_object())
        return fault("", "not a JSON object");
    Announcement announcement;
    routing::UpstreamInfo &upstream = announcement.upstream;
    upstream.id = base::UpstreamId(textOf(*json, "id"));
    if (upstream.id.isEmpty())
        return fault("id", "missing");
    upstream.incarnation = base::Incarnation(numberOf(*json, "incarnation", -1));
    if (upstream.incarnation.count() < 0)
        return fault("incarnation", "missing");
    announcement.sequence = numberOf(*json, "sequence", -1);
    if (announcement.sequence < 0)
        return fault("sequence", "missing");
    const std::string kind = textOf(*json, "kind");
    if (kind != "engine" && kind != "service")
        return fault("kind", "not engine or service");
    upstream.kind =
            kind == "engine" ? routing::UpstreamKind::Engine : routing::UpstreamKind::Service;
    const auto address = base::parseEndpoint(textOf(*json, "address"));
    if (!address)
        return fault("address", "not an address of the form A.B.C.D:PORT");
    announcement.address = *address;
    upstream.dataCentre = base::DataCentreId(textOf(*json, "dataCentre"));
    upstream.role = textOf(*json, "role");
    auto models = modelsOf(*json);
    if (!models)
        return fault("models", "not a list of names");
    upstream.models = *std::move(models);
    upstream.kvTokens = base::Tokens(numberOf(*json, "kvTokens", 0));
    announcement.checksFencing = isTrue(*json, "checksFencing");
    const std::string state = textOf(*json, "state");
    if (state != "serving" && state != "leaving")
        return fault("state", "not serving or leaving");
    upstream.isLeaving = state == "leaving";
    announcement.ttl = base::Millis(numberOf(*json, "ttlMs", 0));
    if (announcement.ttl.count() < 1 || announcement.ttl.count() > kMaxTtlMs)
        return fault("ttlMs", "not a whole number from 1 to " + std::to_string(kMaxTtlMs));
    return announcement;
}

std::string toJson(const Announcement &announcement)
{
    const routing::UpstreamInfo &upstream = announcement.upstream;
    const bool isEngine = upstream.kind == routing::UpstreamKind::Engine;
    const nlohmann::json json{{"id", upstream.id.text()},
                              {"incarnation", upstream.incarnation.count()},
                              {"sequence", announcement.sequence},
                              {"kind", isEngine ? "engine" : "service"},
                              {"address", announcement.address.text()},
                              {"dataCentre", upstream.dataCentre.text()},
                              {"role", upstream.role},
                              {"models", upstream.models},
                              {"kvTokens", upstream.kvTokens.count()},
                              {"checksFencing", announcement.checksFencing},
                              {"state", upstream.isLeaving ? "leaving" : "serving"},
                              {"ttlMs", announcement.ttl.count()}};
    return json.dump();
}

} // namespace hyssop::membership
