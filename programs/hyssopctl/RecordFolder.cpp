#include "RecordFolder.h"

#include <algorithm>
#include <fstream>
#include <map>
#include <sstream>

namespace hyssop::ctl {

namespace {

std::vector<std::filesystem::path> yamlFiles(const std::filesystem::path &folder)
{
    std::vector<std::filesystem::path> files;
    std::error_code ec;
    if (std::filesystem::is_regular_file(folder, ec))
        return {folder};
    for (const auto &it : std::filesystem::recursive_directory_iterator(folder, ec)) {
        if (it.is_regular_file() && it.path().extension() == ".yaml")
            files.push_back(it.path());
    }
    std::sort(files.begin(), files.end());
    return files;
}

} // namespace

tl::expected<std::vector<records::Record>, std::vector<records::RecordError>> readFolder(
        const std::filesystem::path &folder, std::vector<records::RecordError> *warnings)
{
    std::vector<records::Record> all;
    std::vector<records::RecordError> faults;
    std::map<std::pair<records::Kind, std::string>, std::string> seen;
    const auto files = yamlFiles(folder);
    if (files.empty())
        faults.push_back({folder.string(), 0, "", "no .yaml files here"});
    for (const auto &path : files) {
        std::ifstream file(path);
        std::stringstream text;
        text << file.rdbuf();
        auto records = records::readYaml(path.string(), text.str(), warnings);
        if (!records) {
            faults.insert(faults.end(), records.error().begin(), records.error().end());
            continue;
        }
        for (records::Record &record : *records) {
            const auto [it, isNew] =
                    seen.emplace(std::pair(record.kind, record.name), path.string());
            if (isNew)
                all.push_back(std::move(record));
            else
                faults.push_back({path.string(), 0, "name",
                                  "'" + record.name + "' stands in " + it->second + " too"});
        }
    }
    if (!faults.empty())
        return tl::unexpected(std::move(faults));
    return all;
}

} // namespace hyssop::ctl
