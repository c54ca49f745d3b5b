#include "FieldReader.h"

#include <algorithm>
#include <numeric>

namespace hyssop::records {

namespace {

/// Largest edit distance at which an unknown field counts as a misspelt known one.
constexpr std::size_t kMaxMisspellingEdits = 2;

const std::vector<std::string> &knownFields(Kind kind)
{
    static const std::vector<std::string> kTeam{"weight", "maxRequests", "maxTokens",
                                                "maxLongPrompts", "keySha256"};
    static const std::vector<std::string> kRoute{
            "model",   "service",    "adapter",     "modelVersion", "role",
            "urgency", "deadlineMs", "deadlinesMs", "mayRepeat",    "teams"};
    static const std::vector<std::string> kControlGroup{"voters"};
    static const std::vector<std::string> kDeployment{
            "model",    "adapter", "modelVersion",   "role",      "dataCentre",
            "replicas", "fencing", "loadsPerMinute", "upstreams", "mayUnloadLast"};
    switch (kind) {
    case Kind::Team:
        return kTeam;
    case Kind::Route:
        return kRoute;
    case Kind::ControlGroup:
        return kControlGroup;
    case Kind::Deployment:
        break;
    }
    return kDeployment;
}

std::string lowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

/// Levenshtein distance: the least number of inserted, removed or replaced characters.
std::size_t editDistance(const std::string &a, const std::string &b)
{
    std::vector<std::size_t> row(b.size() + 1);
    std::iota(row.begin(), row.end(), 0);
    for (std::size_t i = 1; i <= a.size(); ++i) {
        std::size_t diagonal = row[0];
        row[0] = i;
        for (std::size_t j = 1; j <= b.size(); ++j) {
            const std::size_t replaced = diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);
            diagonal = row[j];
            row[j] = std::min({replaced, row[j] + 1, row[j - 1] + 1});
        }
    }
    return row[b.size()];
}

bool isMisspellingOf(const std::string &field, const std::string &known)
{
    if (known.size() <= kMaxMisspellingEdits)
        return false;
    // Bounds the work for long names and prevents matches between short, unrelated words.
    if (field.size() > known.size() + kMaxMisspellingEdits || field.size() < 3)
        return false;
    return editDistance(lowerCase(field), lowerCase(known)) <= kMaxMisspellingEdits;
}

int depthOf(const nlohmann::json &value)
{
    if (!value.is_structured())
        return 0;
    int deepest = 0;
    for (const auto &item : value)
        deepest = std::max(deepest, depthOf(item));
    return deepest + 1;
}

bool hasOnlyNameCharacters(const std::string &name)
{
    return std::all_of(name.begin(), name.end(), [](unsigned char c) {
        return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
    });
}

std::optional<RecordError> checkBounds(const Record &record)
{
    const auto makeError = [](std::string field, std::string message) {
        return RecordError{"", 0, std::move(field), std::move(message)};
    };
    if (record.schema > kNewestSchema)
        return makeError("schema", "newer than this program supports");
    if (record.name.empty() || record.name.size() > kMaxNameBytes
        || !hasOnlyNameCharacters(record.name))
        return makeError("name", "not 1 to 128 letters, digits, dots, dashes and underscores");
    if (record.spec.size() > kMaxSpecBytes)
        return makeError("spec", "larger than 64 KiB");
    const auto spec = base::parseJson(record.spec);
    if (!spec || !spec->is_object())
        return makeError("spec", "not a mapping");
    if (depthOf(*spec) > kMaxSpecDepth)
        return makeError("spec", "nested too deeply");
    return std::nullopt;
}

} // namespace

std::optional<RecordError> validate(const Record &record)
{
    if (auto error = checkBounds(record))
        return error;
    return validateSpec(record);
}

std::vector<RecordError> misspeltFields(const Record &record)
{
    std::vector<RecordError> warnings;
    const auto spec = base::parseJson(record.spec);
    if (!spec || !spec->is_object())
        return warnings;
    const auto &known = knownFields(record.kind);
    for (const auto &it : spec->items()) {
        if (std::find(known.begin(), known.end(), it.key()) != known.end())
            continue;
        const auto suggestion =
                std::find_if(known.begin(), known.end(), [&it](const auto &knownField) {
                    return isMisspellingOf(it.key(), knownField);
                });
        if (suggestion != known.end())
            warnings.push_back({"", 0, "spec." + it.key(),
                                "unknown field; did you mean " + *suggestion + "?"});
    }
    return warnings;
}

} // namespace hyssop::records
