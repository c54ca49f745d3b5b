#include "replog/Replog.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <fstream>
#include <sys/resource.h>
#include <unistd.h>

using namespace hyssop;
using namespace hyssop::replog;

namespace {

namespace fs = std::filesystem;

struct Folder
{
    Folder()
    {
        std::string pattern = (fs::temp_directory_path() / "replog-XXXXXX").string();
        path = ::mkdtemp(pattern.data());
    }
    ~Folder() { fs::remove_all(path); }
    std::vector<fs::path> segments() const
    {
        std::vector<fs::path> found;
        for (const auto &it : fs::directory_iterator(path)) {
            if (it.path().filename().string().starts_with("segment-"))
                found.push_back(it.path());
        }
        std::sort(found.begin(), found.end());
        return found;
    }
    fs::path path;
};

Entry entry(std::int64_t index, const std::string &payload = "payload")
{
    return {{Term(1), Index(index)}, EntryKind::Command, payload};
}

/// Writes entries 1 to \a count and syncs after each.
void fill(const Folder &folder, std::int64_t count, base::Bytes segmentSize)
{
    const auto storage = makeFileStorage(folder.path, segmentSize);
    REQUIRE(storage->open());
    storage->setHardState({Term(1), ReplicaId("a")});
    for (std::int64_t n = 1; n <= count; ++n) {
        storage->append({entry(n)});
        REQUIRE(storage->sync());
    }
}

tl::expected<RecoveredState, StorageError> reopen(const Folder &folder)
{
    return makeFileStorage(folder.path)->open();
}

void flipByte(const fs::path &file, std::int64_t at)
{
    std::fstream stream(file, std::ios::in | std::ios::out | std::ios::binary);
    stream.seekg(at);
    const auto before = static_cast<char>(stream.get());
    stream.seekp(at);
    stream.put(static_cast<char>(before ^ 0x40));
}

constexpr base::Bytes kLarge(1 << 20);
constexpr base::Bytes kSmall(200);

} // namespace

TEST_CASE("an incomplete last frame of any length is truncated and earlier entries are kept")
{
    const Folder whole;
    fill(whole, 3, kLarge);
    const Folder shorter;
    fill(shorter, 2, kLarge);
    const auto size = fs::file_size(whole.segments().back());
    const auto lastFrame = size - fs::file_size(shorter.segments().back());
    for (std::uintmax_t cut = 1; cut < lastFrame; ++cut) {
        const Folder folder;
        fs::copy(whole.path, folder.path, fs::copy_options::recursive);
        fs::resize_file(folder.segments().back(), size - cut);
        const auto recovered = reopen(folder);
        REQUIRE(recovered);
        CHECK(recovered->entries.size() == 2);
        CHECK(recovered->hardState.vote == ReplicaId("a"));
        // Entries appended after the repair can be read back.
        const auto storage = makeFileStorage(folder.path);
        REQUIRE(storage->open());
        storage->append({entry(3, "again")});
        REQUIRE(storage->sync());
        CHECK(reopen(folder)->entries.back().payload == "again");
    }
}

TEST_CASE("unwritten bytes at the end of the last segment are truncated")
{
    const Folder folder;
    fill(folder, 3, kLarge);
    fs::resize_file(folder.segments().back(), fs::file_size(folder.segments().back()) + 4096);
    CHECK(reopen(folder)->entries.size() == 3);
}

TEST_CASE("any damaged byte before the end fails the open with an error that names the file")
{
    const Folder whole;
    fill(whole, 3, kLarge);
    const auto size = static_cast<std::int64_t>(fs::file_size(whole.segments().back()));
    for (std::int64_t at = 0; at < size; ++at) {
        const Folder folder;
        fs::copy(whole.path, folder.path, fs::copy_options::recursive);
        flipByte(folder.segments().back(), at);
        const auto recovered = reopen(folder);
        REQUIRE_FALSE(recovered);
        CHECK(recovered.error().fault == StorageFault::Damaged);
        CHECK(recovered.error().message.find("segment-") != std::string::npos);
    }
}

TEST_CASE("a short or missing segment before the last one fails the open")
{
    const Folder folder;
    fill(folder, 20, kSmall);
    const auto segments = folder.segments();
    REQUIRE(segments.size() > 3);
    SECTION("short")
    {
        fs::resize_file(segments[1], fs::file_size(segments[1]) - 1);
    }
    SECTION("missing")
    {
        fs::remove(segments[1]);
    }
    const auto recovered = reopen(folder);
    REQUIRE_FALSE(recovered);
    CHECK(recovered.error().fault == StorageFault::Damaged);
}

TEST_CASE("a snapshot removes the segments that it covers and keeps term and vote")
{
    const Folder folder;
    fill(folder, 20, kSmall);
    const auto before = folder.segments().size();
    {
        const auto storage = makeFileStorage(folder.path, kSmall);
        REQUIRE(storage->open());
        storage->saveSnapshot({{Term(1), Index(19)}, {{ReplicaId("a")}, {}}, "state"});
        REQUIRE(storage->sync());
    }
    CHECK(folder.segments().size() < before);
    const auto recovered = reopen(folder);
    REQUIRE(recovered);
    CHECK(recovered->snapshot.data == "state");
    CHECK(recovered->snapshot.configuration.voters == std::vector<ReplicaId>{ReplicaId("a")});
    CHECK(recovered->entries == std::vector<Entry>{entry(20)});
    CHECK(recovered->hardState.vote == ReplicaId("a"));
    flipByte(folder.path / "snapshot", 30);
    CHECK(reopen(folder).error().fault == StorageFault::Damaged);
}

TEST_CASE("a full disk fails every later sync and loses no synced entry")
{
    const Folder folder;
    fill(folder, 3, kLarge);
    std::signal(SIGXFSZ, SIG_IGN);
    rlimit before{};
    REQUIRE(::getrlimit(RLIMIT_FSIZE, &before) == 0);
    const auto storage = makeFileStorage(folder.path);
    REQUIRE(storage->open());
    rlimit full = before;
    full.rlim_cur = fs::file_size(folder.segments().back()) + 10;
    REQUIRE(::setrlimit(RLIMIT_FSIZE, &full) == 0);
    storage->append({entry(4, std::string(1000, 'x'))});
    const auto synced = storage->sync();
    REQUIRE(::setrlimit(RLIMIT_FSIZE, &before) == 0);
    REQUIRE_FALSE(synced);
    CHECK(synced.error().fault == StorageFault::NoSpace);
    // Free space must not make a later sync succeed, since bytes were lost.
    CHECK_FALSE(storage->sync());
    CHECK(reopen(folder)->entries.size() == 3);
}

TEST_CASE("a folder without a log gets a new replica id and one with a log keeps its id")
{
    const Folder folder;
    const base::HostId host("a");
    const auto first = *loadReplicaId(folder.path, host, 1);
    CHECK(hostOf(first) == host);
    fill(folder, 1, kLarge);
    CHECK(*loadReplicaId(folder.path, host, 2) == first);
    CHECK(loadReplicaId(folder.path, base::HostId("b"), 3).error().fault == StorageFault::Damaged);
    for (const fs::path &segment : folder.segments())
        fs::remove(segment);
    CHECK(*loadReplicaId(folder.path, host, 4) != first);
}

// Guards against a log with a gap that ends the host at every start, or from which it answers.
TEST_CASE("a log in which a segment is missing is set aside and the replica gets a new id")
{
    const Folder folder;
    const base::HostId host("a");
    const auto first = *loadReplicaId(folder.path, host, 1);
    fill(folder, 20, kSmall);
    {
        const auto storage = makeFileStorage(folder.path, kSmall);
        REQUIRE(storage->open());
        storage->saveSnapshot({{Term(1), Index(2)}, {{first}, {}}, "state"});
        REQUIRE(storage->sync());
    }
    const auto segments = folder.segments();
    REQUIRE(segments.size() > 4);
    CHECK(*loadReplicaId(folder.path, host, 2) == first);
    CHECK_FALSE(hasSetAsideLog(folder.path));
    fs::remove(segments[2]);

    const auto second = loadReplicaId(folder.path, host, 3);
    REQUIRE(second);
    CHECK(*second != first);
    CHECK(hostOf(*second) == host);
    CHECK(hasSetAsideLog(folder.path));
    CHECK(folder.segments().empty());
    CHECK_FALSE(fs::exists(folder.path / "snapshot"));
    const fs::path aside = folder.path / "incomplete-log-1";
    CHECK(fs::exists(aside / "replica-id"));
    CHECK(fs::exists(aside / "snapshot"));
    for (std::size_t n = 0; n < segments.size(); ++n)
        CHECK(fs::exists(aside / segments[n].filename()) == (n != 2));
    const auto recovered = reopen(folder);
    REQUIRE(recovered);
    CHECK(recovered->entries.empty());
    CHECK(recovered->snapshot.position == Position());

    // The next log is kept, and a second incomplete one does not replace the first.
    const Folder next;
    fill(next, 20, kSmall);
    for (const auto &segment : folder.segments())
        fs::remove(segment);
    for (const auto &segment : next.segments())
        fs::copy(segment, folder.path);
    CHECK(*loadReplicaId(folder.path, host, 4) == *second);
    fs::remove(folder.segments()[1]);
    CHECK(*loadReplicaId(folder.path, host, 5) != *second);
    CHECK(fs::exists(folder.path / "incomplete-log-2" / "replica-id"));
    CHECK(fs::exists(aside / "snapshot"));
}

// Guards against a crash between two renames, after which the rest of a log may have no gap and
// would be taken for the whole one.
TEST_CASE("setting aside an incomplete log is completed after a crash at any step")
{
    const Folder whole;
    const base::HostId host("a");
    const auto first = *loadReplicaId(whole.path, host, 1);
    fill(whole, 20, kSmall);
    fs::remove(whole.segments()[2]);
    std::vector<std::string> files{"replica-id"};
    for (const fs::path &segment : whole.segments())
        files.push_back(segment.filename().string());
    // The renames of the segments may become durable in any order, that of the id is the first.
    for (std::size_t moved = 0; moved <= files.size(); ++moved) {
        for (const bool isBackwards : {false, true}) {
            const Folder folder;
            fs::copy(whole.path, folder.path, fs::copy_options::recursive);
            const fs::path aside = folder.path / "incomplete-log-1";
            fs::create_directories(aside);
            for (std::size_t n = 0; n < moved; ++n) {
                const std::string &name = files[n > 0 && isBackwards ? files.size() - n : n];
                fs::rename(folder.path / name, aside / name);
            }
            const auto id = loadReplicaId(folder.path, host, 2);
            REQUIRE(id);
            CHECK(*id != first);
            CHECK(folder.segments().empty());
            CHECK(hasSetAsideLog(folder.path));
            std::size_t kept = 0;
            for (const auto &it : fs::recursive_directory_iterator(folder.path)) {
                const std::string name = it.path().filename().string();
                const bool isNewId = it.path().parent_path() == folder.path;
                kept += it.is_regular_file() && !isNewId ? 1U : 0U;
                CHECK((it.is_directory() || !isNewId || name == "replica-id"));
            }
            CHECK(kept == files.size());
        }
    }
}

// A leader that is lost with a segment would make the replica wait after each restart.
TEST_CASE("the leader of the term is recovered, also after the segment that it was written to")
{
    const Folder folder;
    {
        const auto storage = makeFileStorage(folder.path, kSmall);
        REQUIRE(storage->open());
        storage->setHardState({Term(4), ReplicaId("a"), ReplicaId("b")});
        for (std::int64_t n = 1; n <= 6; ++n) {
            storage->append({entry(n)});
            REQUIRE(storage->sync());
        }
        storage->saveSnapshot({{Term(1), Index(6)}, {}, "state"});
        REQUIRE(storage->sync());
    }
    const auto recovered = reopen(folder);
    REQUIRE(recovered);
    CHECK(recovered->hardState.term == Term(4));
    CHECK(recovered->hardState.vote == ReplicaId("a"));
    CHECK(recovered->hardState.leader == ReplicaId("b"));
}
