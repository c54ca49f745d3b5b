#pragma once

#include "records/Records.h"

#include <nlohmann/json.hpp>

namespace hyssop::records {

/// Reads and checks fields of a record's spec. Keeps the first error.
class FieldReader
{
public:
    explicit FieldReader(const Record &record);

    // The read functions leave \a out unchanged if the field is absent or invalid, except that
    // readStrings() appends the items before an invalid one. \a min and \a max are inclusive.
    void readInteger(const char *field, std::int64_t min, std::int64_t max, std::int64_t &out);
    void readString(const char *field, std::string &out);
    void readBool(const char *field, bool &out);
    void readStrings(const char *field, std::vector<std::string> &out);

    /// Checks a value that is not directly a field of the spec. \a path is used in the error.
    void parseInteger(const std::string &path, const nlohmann::json &value, std::int64_t min,
                      std::int64_t max, std::int64_t &out);
    const nlohmann::json *find(const char *field) const;

    /// Records an error at a field of the spec, or at the spec itself if \a field is empty.
    void setError(const std::string &field, std::string message);
    /// Records an error at a path from the root of the record.
    void setErrorAt(std::string path, std::string message);
    const std::optional<RecordError> &error() const { return m_error; }

private:
    nlohmann::json m_json;
    std::optional<RecordError> m_error;
};

/// Validates the spec of a record by its kind and schema.
std::optional<RecordError> validateSpec(const Record &record);

} // namespace hyssop::records
