#include "replog/Replog.h"

#include <catch2/catch.hpp>

#include <fstream>
#include <unistd.h>

using namespace hyssop;
using namespace hyssop::replog;

namespace {

struct Folder
{
    Folder()
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "replog-XXXXXX").string();
        path = ::mkdtemp(pattern.data());
    }
    ~Folder() { std::filesystem::remove_all(path); }
    std::filesystem::path path;
};

ReplicaOptions solo()
{
    ReplicaOptions options;
    options.group = GroupId("g");
    options.self = ReplicaId("a");
    options.voters = {ReplicaId("a")};
    return options;
}

} // namespace

TEST_CASE("synced entries are recovered in order after a restart")
{
    const Folder folder;
    const base::TimePoint now{};
    {
        const auto storage = makeFileStorage(folder.path);
        const auto replica = *Replica::open(solo(), storage.get(), now);
        replica->tick(now + base::Millis(5000));
        REQUIRE(replica->propose("one", now));
        REQUIRE(replica->propose("two", now));
        REQUIRE(replica->flush(now));
    }
    const auto storage = makeFileStorage(folder.path);
    const auto replica = *Replica::open(solo(), storage.get(), now);
    replica->tick(now + base::Millis(5000));
    std::vector<std::string> commands;
    const auto output = replica->flush(now);
    REQUIRE(output);
    for (const Entry &entry : output->committed) {
        if (entry.kind == EntryKind::Command)
            commands.push_back(entry.payload);
    }
    CHECK(commands == std::vector<std::string>{"one", "two"});
}
