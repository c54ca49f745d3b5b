#include "records/Records.h"

#include <nlohmann/json.hpp>
#include <yaml-cpp/yaml.h>

namespace hyssop::records {

namespace {

/// Bound on nesting, so that hostile input cannot exhaust the stack.
constexpr int kMaxDepth = 32;

nlohmann::json scalarToJson(const YAML::Node &node)
{
    // A quoted scalar carries the tag "!", and stays text.
    if (node.Tag() == "!")
        return node.Scalar();
    std::int64_t n = 0;
    if (YAML::convert<std::int64_t>::decode(node, n))
        return n;
    double real = 0;
    if (YAML::convert<double>::decode(node, real))
        return real;
    bool truth = false;
    if (YAML::convert<bool>::decode(node, truth))
        return truth;
    return node.Scalar();
}

nlohmann::json toJson(const YAML::Node &node, int depth)
{
    if (depth > kMaxDepth)
        throw YAML::ParserException(node.Mark(), "nested too deeply");
    if (node.IsScalar())
        return scalarToJson(node);
    if (node.IsSequence()) {
        nlohmann::json list = nlohmann::json::array();
        for (const YAML::Node &one : node)
            list.push_back(toJson(one, depth + 1));
        return list;
    }
    if (!node.IsMap())
        return nullptr;
    nlohmann::json map = nlohmann::json::object();
    for (const auto &one : node)
        map[one.first.Scalar()] = toJson(one.second, depth + 1);
    return map;
}

/// Line of the field named by a dotted path, or of the nearest parent that is there.
int lineOf(const YAML::Node &document, std::string_view path)
{
    YAML::Node node = document;
    int line = document.Mark().line + 1;
    while (!path.empty()) {
        const auto dot = path.find('.');
        const std::string key(path.substr(0, dot));
        if (!node.IsMap())
            break;
        bool isFound = false;
        for (const auto &one : node) {
            if (one.first.Scalar() != key)
                continue;
            line = one.first.Mark().line + 1;
            node.reset(one.second);
            isFound = true;
            break;
        }
        if (!isFound)
            break;
        path = dot == std::string_view::npos ? "" : path.substr(dot + 1);
    }
    return line;
}

tl::expected<Record, RecordError> readDocument(const std::string &file, const YAML::Node &document)
{
    auto record = recordFromJson(toJson(document, 0).dump());
    std::optional<RecordError> fault;
    if (!record)
        fault = record.error();
    else
        fault = validate(*record);
    if (!fault)
        return record;
    fault->file = file;
    fault->line = lineOf(document, fault->field);
    return tl::unexpected(*fault);
}

} // namespace

tl::expected<std::vector<Record>, std::vector<RecordError>> readYaml(const std::string &file,
                                                                     const std::string &text)
{
    std::vector<Record> records;
    std::vector<RecordError> faults;
    try {
        for (const YAML::Node &document : YAML::LoadAll(text)) {
            if (document.IsNull())
                continue;
            auto record = readDocument(file, document);
            if (record)
                records.push_back(*std::move(record));
            else
                faults.push_back(record.error());
        }
    } catch (const YAML::Exception &e) {
        faults.push_back({file, e.mark.line + 1, "", e.msg});
    } catch (const nlohmann::json::exception &) {
        faults.push_back({file, 0, "", "text that is not UTF-8"});
    }
    if (!faults.empty())
        return tl::unexpected(std::move(faults));
    return records;
}

} // namespace hyssop::records
