#include "group/Group.h"

#include <nlohmann/json.hpp>

namespace hyssop::group {

using nlohmann::json;

namespace {

constexpr int kHelloTag = 0;
constexpr int kMessageTag = 1;

json toJson(const Hello &hello)
{
    return {kHelloTag, hello.id.text(), hello.isEmpty, hello.echoedId.text(),
            hello.dataCentre.text()};
}

json toJson(const replog::Message &message)
{
    return {kMessageTag, message.from.text(), message.to.text(), message.body};
}

Envelope envelopeFromJson(const json &j)
{
    const replog::ReplicaId from(j.at(1).get<std::string>());
    if (j.at(0).get<int>() == kHelloTag)
        return Hello{from, j.at(2).get<bool>(), replog::ReplicaId(j.at(3).get<std::string>()),
                     base::DataCentreId(j.size() > 4 ? j.at(4).get<std::string>() : "")};
    return replog::Message{from, replog::ReplicaId(j.at(2).get<std::string>()),
                           j.at(3).get<std::string>()};
}

} // namespace

std::string encode(const Envelope &envelope)
{
    return base::toCbor(std::visit([](const auto &it) { return toJson(it); }, envelope));
}

std::optional<Envelope> decodeEnvelope(std::string_view bytes)
{
    const auto parsed = base::parseCbor(bytes);
    if (!parsed)
        return std::nullopt;
    const json &j = *parsed;
    try {
        return envelopeFromJson(j);
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

} // namespace hyssop::group
