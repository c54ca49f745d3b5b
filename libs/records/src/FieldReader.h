#pragma once

#include "records/Records.h"

#include <nlohmann/json.hpp>

namespace hyssop::records {

/// Reads fields of one record's content and keeps the first fault.
class FieldReader
{
public:
    explicit FieldReader(const Record &record);

    /// Each leaves its target as it is where the field is absent.
    void readInteger(const char *field, std::int64_t min, std::int64_t max, std::int64_t &out);
    void readString(const char *field, std::string &out);
    void readBool(const char *field, bool &out);
    void readStrings(const char *field, std::vector<std::string> &out);

    void parseInteger(const std::string &path, const nlohmann::json &value, std::int64_t min,
                      std::int64_t max, std::int64_t &out);
    const nlohmann::json *find(const char *field) const;

    /// Notes a fault at a field of the content.
    void setError(const std::string &field, std::string message);
    void setErrorAt(std::string path, std::string message);
    const std::optional<RecordError> &error() const { return m_error; }

private:
    nlohmann::json m_json;
    std::optional<RecordError> m_error;
};

/// Checks the content of a record by its kind and schema.
std::optional<RecordError> validateSpec(const Record &record);

} // namespace hyssop::records
