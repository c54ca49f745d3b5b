#include "records/Records.h"

#include <nlohmann/json.hpp>
#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <charconv>
#include <limits>
#include <sstream>

namespace hyssop::records {

namespace {

/// Bounds the recursion, so that malicious input cannot exhaust the stack.
constexpr int kMaxNestingDepth = 32;

nlohmann::json scalarToJson(const YAML::Node &node)
{
    // Quoted scalars have the tag "!" and are always strings.
    if (node.Tag() == "!")
        return node.Scalar();
    std::int64_t n = 0;
    if (YAML::convert<std::int64_t>::decode(node, n))
        return n;
    double number = 0;
    if (YAML::convert<double>::decode(node, number))
        return number;
    // Only true and false are booleans, as in YAML 1.2. "no", "on" or "y" may be a team's name.
    if (node.Scalar() == "true" || node.Scalar() == "false")
        return node.Scalar() == "true";
    return node.Scalar();
}

nlohmann::json toJson(const YAML::Node &node, int depth)
{
    if (depth > kMaxNestingDepth)
        throw YAML::ParserException(node.Mark(), "nested too deeply");
    if (node.IsScalar())
        return scalarToJson(node);
    if (node.IsSequence()) {
        nlohmann::json list = nlohmann::json::array();
        for (const YAML::Node &item : node)
            list.push_back(toJson(item, depth + 1));
        return list;
    }
    if (!node.IsMap())
        return nullptr;
    nlohmann::json map = nlohmann::json::object();
    for (const auto &entry : node)
        map[entry.first.Scalar()] = toJson(entry.second, depth + 1);
    return map;
}

/// List index in a part of a dotted path; the largest std::size_t if it is not a number.
std::size_t parseIndex(const std::string &key)
{
    std::size_t itemIndex = std::numeric_limits<std::size_t>::max();
    std::from_chars(key.data(), key.data() + key.size(), itemIndex);
    return itemIndex;
}

/// Line of the field at a dotted path, or of its nearest existing parent.
int lineOfField(const YAML::Node &document, std::string_view path)
{
    YAML::Node node = document;
    int line = document.Mark().line + 1;
    while (!path.empty()) {
        const auto dot = path.find('.');
        const std::string key(path.substr(0, dot));
        if (node.IsSequence()) {
            const std::size_t itemIndex = parseIndex(key);
            if (itemIndex >= node.size())
                break;
            const YAML::Node item = node[itemIndex];
            line = item.Mark().line + 1;
            node.reset(item);
            path = dot == std::string_view::npos ? "" : path.substr(dot + 1);
            continue;
        }
        if (!node.IsMap())
            break;
        bool isFound = false;
        for (const auto &entry : node) {
            if (entry.first.Scalar() != key)
                continue;
            line = entry.first.Mark().line + 1;
            node.reset(entry.second);
            isFound = true;
            break;
        }
        if (!isFound)
            break;
        path = dot == std::string_view::npos ? "" : path.substr(dot + 1);
    }
    return line;
}

/// Adds the file and the line of the field to an error.
RecordError withLocation(RecordError error, const std::string &file, const YAML::Node &document)
{
    error.file = file;
    error.line = lineOfField(document, error.field);
    return error;
}

tl::expected<Record, RecordError> readDocument(const std::string &file, const YAML::Node &document,
                                               std::vector<RecordError> *warnings)
{
    auto record = recordFromJson(toJson(document, 0).dump());
    std::optional<RecordError> error;
    if (!record)
        error = record.error();
    else
        error = validate(*record);
    if (warnings && record) {
        for (RecordError &warning : misspeltFields(*record))
            warnings->push_back(withLocation(std::move(warning), file, document));
    }
    if (!error)
        return record;
    return tl::unexpected(withLocation(*std::move(error), file, document));
}

/// Counts documents and ignores their content.
class DocumentCounter final : public YAML::EventHandler
{
public:
    void OnDocumentStart(const YAML::Mark &mark) override
    {
        m_mark = mark;
        ++m_count;
    }
    void OnDocumentEnd() override { }
    void OnNull(const YAML::Mark &, YAML::anchor_t) override { }
    void OnAlias(const YAML::Mark &, YAML::anchor_t) override { }
    void OnScalar(const YAML::Mark &, const std::string &, YAML::anchor_t,
                  const std::string &) override
    { }
    void OnSequenceStart(const YAML::Mark &, const std::string &, YAML::anchor_t,
                         YAML::EmitterStyle::value) override
    { }
    void OnSequenceEnd() override { }
    void OnMapStart(const YAML::Mark &, const std::string &, YAML::anchor_t,
                    YAML::EmitterStyle::value) override
    { }
    void OnMapEnd() override { }

    std::ptrdiff_t count() const { return m_count; }
    const YAML::Mark &mark() const { return m_mark; }

private:
    std::ptrdiff_t m_count = 0;
    YAML::Mark m_mark;
};

/// Throws on text from which yaml-cpp parses documents endlessly, such as a leading comma.
void checkDocumentCount(const std::string &text)
{
    // Every document except the first starts on its own line.
    const std::ptrdiff_t maxDocuments = std::count(text.begin(), text.end(), '\n') + 1;
    std::istringstream stream(text);
    YAML::Parser parser(stream);
    DocumentCounter counter;
    while (parser.HandleNextDocument(counter)) {
        if (counter.count() > maxDocuments)
            throw YAML::ParserException(counter.mark(), "text outside of any document");
    }
}

} // namespace

tl::expected<std::vector<Record>, std::vector<RecordError>> readYaml(
        const std::string &file, const std::string &text, std::vector<RecordError> *warnings)
{
    std::vector<Record> records;
    std::vector<RecordError> errors;
    try {
        checkDocumentCount(text);
        for (const YAML::Node &document : YAML::LoadAll(text)) {
            if (document.IsNull())
                continue;
            auto record = readDocument(file, document, warnings);
            if (record)
                records.push_back(*std::move(record));
            else
                errors.push_back(record.error());
        }
    } catch (const YAML::Exception &e) {
        errors.push_back({file, e.mark.line + 1, "", e.msg});
    } catch (const nlohmann::json::exception &) {
        errors.push_back({file, 0, "", "the text is not valid UTF-8"});
    }
    if (!errors.empty())
        return tl::unexpected(std::move(errors));
    return records;
}

} // namespace hyssop::records
