#include "FieldReader.h"

namespace hyssop::records {

namespace {

constexpr std::size_t kMaxListItems = 1'000;
constexpr std::size_t kMaxTextBytes = 4'096;

} // namespace

FieldReader::FieldReader(const Record &record)
    : m_json(nlohmann::json::parse(record.spec, nullptr, false))
{
    if (!m_json.is_object())
        setError("", "not a mapping");
}

void FieldReader::readInteger(const char *field, std::int64_t min, std::int64_t max,
                              std::int64_t &out)
{
    if (const auto *it = find(field))
        parseInteger(std::string("spec.") + field, *it, min, max, out);
}

void FieldReader::readString(const char *field, std::string &out)
{
    const auto *it = find(field);
    if (!it)
        return;
    if (!it->is_string())
        return setError(field, "not a string");
    if (it->get_ref<const std::string &>().size() > kMaxTextBytes)
        return setError(field, "longer than 4096 bytes");
    out = it->get<std::string>();
}

void FieldReader::readBool(const char *field, bool &out)
{
    const auto *it = find(field);
    if (!it)
        return;
    if (!it->is_boolean())
        return setError(field, "neither true nor false");
    out = it->get<bool>();
}

void FieldReader::readStrings(const char *field, std::vector<std::string> &out)
{
    const auto *it = find(field);
    if (!it)
        return;
    if (!it->is_array())
        return setError(field, "not a list");
    if (it->size() > kMaxListItems)
        return setError(field, "more than 1000 entries");
    for (const auto &item : *it) {
        if (!item.is_string())
            return setError(field, "contains an item that is not a string");
        out.push_back(item.get<std::string>());
    }
}

void FieldReader::parseInteger(const std::string &path, const nlohmann::json &value,
                               std::int64_t min, std::int64_t max, std::int64_t &out)
{
    if (!value.is_number_integer() || value.get<std::int64_t>() < min
        || value.get<std::int64_t>() > max) {
        setErrorAt(path,
                   "not an integer from " + std::to_string(min) + " to " + std::to_string(max));
        return;
    }
    out = value.get<std::int64_t>();
}

const nlohmann::json *FieldReader::find(const char *field) const
{
    const auto it = m_json.find(field);
    return it == m_json.end() ? nullptr : &*it;
}

void FieldReader::setError(const std::string &field, std::string message)
{
    setErrorAt(field.empty() ? "spec" : "spec." + field, std::move(message));
}

void FieldReader::setErrorAt(std::string path, std::string message)
{
    if (!m_error)
        m_error = RecordError{"", 0, std::move(path), std::move(message)};
}

} // namespace hyssop::records
