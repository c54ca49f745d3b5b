#include "membership/Membership.h"

#include <nlohmann/json.hpp>

namespace hyssop::membership {

namespace {

constexpr std::int64_t kMaxTtlMs = 60'000;
constexpr std::size_t kMaxModels = 256;

tl::unexpected<AnnouncementError> fieldError(std::string field, std::string message)
{
    return tl::unexpected(AnnouncementError{std::move(field), std::move(message)});
}

std::string stringField(const nlohmann::json &json, const char *field)
{
    const auto it = json.find(field);
    return it != json.end() && it->is_string() ? it->get<std::string>() : std::string();
}

std::int64_t integerField(const nlohmann::json &json, const char *field, std::int64_t fallback)
{
    const auto it = json.find(field);
    return it != json.end() && it->is_number_integer() ? it->get<std::int64_t>() : fallback;
}

bool isTrueField(const nlohmann::json &json, const char *field)
{
    const auto it = json.find(field);
    return it != json.end() && it->is_boolean() && it->get<bool>();
}

std::optional<std::vector<std::string>> modelsField(const nlohmann::json &json)
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
        return fieldError("", "not a JSON object");
    Announcement announcement;
    routing::UpstreamInfo &upstream = announcement.upstream;
    upstream.id = base::UpstreamId(stringField(*json, "id"));
    if (upstream.id.isEmpty())
        return fieldError("id", "missing");
    upstream.incarnation = base::Incarnation(integerField(*json, "incarnation", -1));
    if (upstream.incarnation.count() < 0)
        return fieldError("incarnation", "missing");
    announcement.sequence = integerField(*json, "sequence", -1);
    if (announcement.sequence < 0)
        return fieldError("sequence", "missing");
    const std::string kind = stringField(*json, "kind");
    if (kind != "engine" && kind != "service")
        return fieldError("kind", "must be engine or service");
    upstream.kind =
            kind == "engine" ? routing::UpstreamKind::Engine : routing::UpstreamKind::Service;
    const auto address = base::parseEndpoint(stringField(*json, "address"));
    if (!address)
        return fieldError("address", "must be an address of the form A.B.C.D:PORT");
    announcement.address = *address;
    upstream.dataCentre = base::DataCentreId(stringField(*json, "dataCentre"));
    upstream.role = stringField(*json, "role");
    auto models = modelsField(*json);
    if (!models)
        return fieldError("models", "must be a list of names");
    upstream.models = *std::move(models);
    upstream.kvTokens = base::Tokens(integerField(*json, "kvTokens", 0));
    announcement.checksFencing = isTrueField(*json, "checksFencing");
    const std::string state = stringField(*json, "state");
    if (state != "serving" && state != "leaving")
        return fieldError("state", "must be serving or leaving");
    upstream.isLeaving = state == "leaving";
    announcement.ttl = base::Millis(integerField(*json, "ttlMs", 0));
    if (announcement.ttl.count() < 1 || announcement.ttl.count() > kMaxTtlMs)
        return fieldError("ttlMs", "must be an integer from 1 to " + std::to_string(kMaxTtlMs));
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
