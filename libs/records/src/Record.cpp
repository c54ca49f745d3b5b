#include "records/Records.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <set>

namespace hyssop::records {

std::string_view kindName(Kind kind)
{
    switch (kind) {
    case Kind::Team:
        return "team";
    case Kind::Route:
        return "route";
    case Kind::ControlGroup:
        return "control-group";
    case Kind::Deployment:
        return "deployment";
    }
    return "unknown";
}

std::optional<Kind> parseKind(std::string_view name)
{
    for (const Kind kind : kAllKinds) {
        if (kindName(kind) == name)
            return kind;
    }
    return std::nullopt;
}

std::string_view urgencyName(Urgency urgency)
{
    switch (urgency) {
    case Urgency::Urgent:
        return "urgent";
    case Urgency::Normal:
        return "normal";
    case Urgency::Batch:
        return "batch";
    }
    return "unknown";
}

std::optional<Urgency> parseUrgency(std::string_view name)
{
    for (const Urgency urgency : {Urgency::Urgent, Urgency::Normal, Urgency::Batch}) {
        if (urgencyName(urgency) == name)
            return urgency;
    }
    return std::nullopt;
}

std::string RecordError::text() const
{
    std::string location = file;
    if (line > 0)
        location += fmt::format(":{}", line);
    if (!field.empty())
        location += fmt::format("{}{}", location.empty() ? "" : ": ", field);
    return location.empty() ? message : location + ": " + message;
}

std::string toJson(const Record &record)
{
    const nlohmann::json json{{"kind", kindName(record.kind)},
                              {"name", record.name},
                              {"schema", record.schema},
                              {"version", record.version.count()},
                              {"spec", nlohmann::json::parse(record.spec, nullptr, false)}};
    return json.dump();
}

tl::expected<Record, RecordError> recordFromJson(std::string_view text)
{
    const auto makeError = [](std::string field, std::string message) {
        return tl::unexpected(RecordError{"", 0, std::move(field), std::move(message)});
    };
    const auto json = base::parseJson(text);
    if (!json || !json->is_object())
        return makeError("", "not a JSON object");
    Record record;
    const auto kind = json->find("kind");
    if (kind == json->end() || !kind->is_string())
        return makeError("kind", "missing");
    const auto parsedKind = parseKind(kind->get<std::string>());
    if (!parsedKind)
        return makeError("kind", "not team, route, control-group or deployment");
    record.kind = *parsedKind;
    const auto name = json->find("name");
    if (name == json->end() || !name->is_string() || name->get<std::string>().empty())
        return makeError("name", "missing");
    record.name = name->get<std::string>();
    const auto schema = json->find("schema");
    if (schema == json->end() || !schema->is_number_integer() || schema->get<int>() < 1)
        return makeError("schema", "missing or not an integer of at least 1");
    record.schema = schema->get<int>();
    const auto version = json->find("version");
    if (version == json->end() || !version->is_number_integer() || version->get<std::int64_t>() < 1)
        return makeError("version", "missing or not an integer of at least 1");
    record.version = Version(version->get<std::int64_t>());
    const auto spec = json->find("spec");
    if (spec == json->end() || !spec->is_object())
        return makeError("spec", "missing or not a mapping");
    record.spec = spec->dump();
    return record;
}

std::vector<FieldChange> diff(const Record &before, const Record &after)
{
    const auto flatten = [](const Record &record) {
        return nlohmann::json::parse(toJson(record), nullptr, false).flatten();
    };
    const nlohmann::json a = flatten(before);
    const nlohmann::json b = flatten(after);
    std::set<std::string> fields;
    for (const auto &it : a.items())
        fields.insert(it.key());
    for (const auto &it : b.items())
        fields.insert(it.key());
    std::vector<FieldChange> changes;
    for (const std::string &field : fields) {
        const std::string oldValue = a.contains(field) ? a[field].dump() : "";
        const std::string newValue = b.contains(field) ? b[field].dump() : "";
        if (oldValue != newValue)
            changes.push_back({field, oldValue, newValue});
    }
    return changes;
}

} // namespace hyssop::records
