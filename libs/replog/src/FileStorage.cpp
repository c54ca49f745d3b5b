#include "Frames.h"
#include "LogFiles.h"

#include <fmt/format.h>

#include <algorithm>
#include <deque>

namespace hyssop::replog {

using nlohmann::json;

namespace {

StorageError damagedError(const std::filesystem::path &path, const std::string &reason)
{
    return {StorageFault::Damaged, fmt::format("{} is damaged: {}", path.string(), reason)};
}

class FileStorage : public Storage
{
public:
    FileStorage(std::filesystem::path folder, base::Bytes segmentSize)
        : m_folder(std::move(folder))
        , m_segmentSize(static_cast<std::size_t>(segmentSize.count()))
    { }

    tl::expected<RecoveredState, StorageError> open() override;
    void append(const std::vector<Entry> &entries) override;
    void truncateFrom(Index first) override;
    void setHardState(const HardState &state) override;
    void saveSnapshot(const Snapshot &snapshot) override;
    tl::expected<void, StorageError> sync() override;

private:
    using Result = tl::expected<void, StorageError>;

    /// One segment file.
    struct Segment
    {
        std::filesystem::path path;
        Index highestIndex; ///< Of all entries ever written to it, also truncated ones.
    };

    Result readSnapshot(RecoveredState &recovered) const;
    Result findSegments();
    /// Replays a segment; \a end receives the total size of its complete frames.
    Result readSegment(Segment &segment, bool isLast, RecoveredState &recovered,
                       std::size_t &end) const;
    static void replay(const json &operation, Segment &segment, RecoveredState &recovered);
    Result writeBuffer();
    Result startSegment();
    Result writeSnapshot(const Snapshot &snapshot);
    json hardStateToJson() const;

    std::filesystem::path m_folder;
    std::size_t m_segmentSize;
    std::deque<Segment> m_segments; ///< Oldest first; the last one is open for writing.
    std::int64_t m_nextSegment = 1;
    AppendFile m_file;
    std::string m_buffer;
    HardState m_hardState;
    Result m_status; ///< Keeps the first error, after which nothing is written.
};

FileStorage::Result FileStorage::readSnapshot(RecoveredState &recovered) const
{
    const std::filesystem::path path = m_folder / kSnapshotFile;
    std::error_code ec;
    if (!std::filesystem::exists(path, ec))
        return {};
    const auto data = readFile(path);
    if (!data)
        return tl::unexpected(data.error());
    std::string_view rest = *data;
    json parsed;
    if (decodeFrame(rest, parsed) != FrameState::Complete || !rest.empty())
        return tl::unexpected(damagedError(path, "its checksum does not match"));
    try {
        recovered.snapshot = snapshotFromJson(parsed);
    } catch (const json::exception &) {
        return tl::unexpected(damagedError(path, "its content cannot be decoded"));
    }
    return {};
}

FileStorage::Result FileStorage::findSegments()
{
    const auto found = listSegments(m_folder);
    if (!found)
        return tl::unexpected(found.error());
    if (const auto gap = findGap(*found); gap != found->end())
        return tl::unexpected(
                damagedError(m_folder, "a segment before " + gap->name + " is missing"));
    for (const SegmentName &it : *found) {
        m_segments.push_back({m_folder / it.name, Index()});
        m_nextSegment = it.number + 1;
    }
    return {};
}

void FileStorage::replay(const json &operation, Segment &segment, RecoveredState &recovered)
{
    const std::string op = operation.at("op");
    if (op == "append") {
        Entry entry;
        entry.position = {Term(operation.at("term").get<std::int64_t>()),
                          Index(operation.at("index").get<std::int64_t>())};
        entry.kind = static_cast<EntryKind>(operation.at("kind").get<int>());
        entry.payload = operation.at("payload");
        segment.highestIndex = std::max(segment.highestIndex, entry.position.index);
        const Position last = recovered.entries.empty() ? recovered.snapshot.position
                                                        : recovered.entries.back().position;
        if (entry.position.index <= recovered.snapshot.position.index)
            return;
        if (entry.position.index != last.index + Index(1))
            throw json::other_error::create(500, "an entry is missing", &operation);
        recovered.entries.push_back(std::move(entry));
    } else if (op == "truncate") {
        const Index first(operation.at("index").get<std::int64_t>());
        std::erase_if(recovered.entries,
                      [first](const Entry &entry) { return entry.position.index >= first; });
    } else if (op == "hard") {
        recovered.hardState = {Term(operation.at("term").get<std::int64_t>()),
                               ReplicaId(operation.at("vote").get<std::string>()),
                               ReplicaId(operation.value("leader", std::string()))};
    } else {
        throw json::other_error::create(500, "unknown operation", &operation);
    }
}

FileStorage::Result FileStorage::readSegment(Segment &segment, bool isLast,
                                             RecoveredState &recovered, std::size_t &end) const
{
    const auto data = readFile(segment.path);
    if (!data)
        return tl::unexpected(data.error());
    std::string_view rest = *data;
    while (!rest.empty()) {
        const std::size_t offset = data->size() - rest.size();
        json operation;
        const FrameState state = decodeFrame(rest, operation);
        if (state == FrameState::Incomplete && isLast)
            break;
        if (state != FrameState::Complete)
            return tl::unexpected(damagedError(
                    segment.path, fmt::format("its checksum does not match at byte {}", offset)));
        try {
            replay(operation, segment, recovered);
        } catch (const json::exception &e) {
            return tl::unexpected(
                    damagedError(segment.path, fmt::format("{} at byte {}", e.what(), offset)));
        }
    }
    end = data->size() - rest.size();
    return {};
}

tl::expected<RecoveredState, StorageError> FileStorage::open()
{
    std::error_code ec;
    std::filesystem::create_directories(m_folder, ec);
    RecoveredState recovered;
    if (const auto read = readSnapshot(recovered); !read)
        return tl::unexpected(read.error());
    if (const auto found = findSegments(); !found)
        return tl::unexpected(found.error());
    std::size_t end = 0;
    for (Segment &segment : m_segments) {
        const bool isLast = &segment == &m_segments.back();
        if (const auto read = readSegment(segment, isLast, recovered, end); !read)
            return tl::unexpected(read.error());
    }
    m_hardState = recovered.hardState;
    if (m_segments.empty()) {
        if (const auto started = startSegment(); !started)
            return tl::unexpected(started.error());
        return recovered;
    }
    if (const auto opened = m_file.open(m_segments.back().path); !opened)
        return tl::unexpected(opened.error());
    if (m_file.size() != end) {
        base::logEvent("torn_tail_cut",
                       {{"file", m_segments.back().path.string()}, {"bytes", m_file.size() - end}});
        if (const auto cut = m_file.truncate(end); !cut)
            return tl::unexpected(cut.error());
    }
    // An earlier writer may have ended between a write and its sync.
    if (const auto synced = m_file.sync(); !synced)
        return tl::unexpected(synced.error());
    return recovered;
}

json FileStorage::hardStateToJson() const
{
    return {{"op", "hard"},
            {"term", m_hardState.term.count()},
            {"vote", m_hardState.vote.text()},
            {"leader", m_hardState.leader.text()}};
}

FileStorage::Result FileStorage::startSegment()
{
    const std::string name = fmt::format("{}{:012}", kSegmentPrefix, m_nextSegment);
    if (const auto opened = m_file.open(m_folder / name); !opened)
        return opened;
    ++m_nextSegment;
    m_segments.push_back({m_folder / name, Index()});
    // Older segments may be removed, so each segment starts with the term and vote.
    if (const auto written = m_file.write(encodeFrame(hardStateToJson())); !written)
        return written;
    if (const auto synced = m_file.sync(); !synced)
        return synced;
    return syncFolder(m_folder);
}

void FileStorage::append(const std::vector<Entry> &entries)
{
    for (const Entry &entry : entries) {
        m_segments.back().highestIndex =
                std::max(m_segments.back().highestIndex, entry.position.index);
        m_buffer += encodeFrame({{"op", "append"},
                                 {"term", entry.position.term.count()},
                                 {"index", entry.position.index.count()},
                                 {"kind", static_cast<int>(entry.kind)},
                                 {"payload", entry.payload}});
    }
}

void FileStorage::truncateFrom(Index first)
{
    m_buffer += encodeFrame({{"op", "truncate"}, {"index", first.count()}});
}

void FileStorage::setHardState(const HardState &state)
{
    m_hardState = state;
    m_buffer += encodeFrame(hardStateToJson());
}

void FileStorage::saveSnapshot(const Snapshot &snapshot)
{
    // Earlier writes must be durable before the snapshot, later ones must follow it.
    if (m_status)
        m_status = writeBuffer();
    if (m_status)
        m_status = writeSnapshot(snapshot);
}

FileStorage::Result FileStorage::writeSnapshot(const Snapshot &snapshot)
{
    const std::string bytes = encodeFrame(snapshotToJson(snapshot));
    if (const auto replaced = replaceFile(m_folder / kSnapshotFile, bytes); !replaced)
        return replaced;
    if (const auto started = startSegment(); !started)
        return started;
    std::error_code ec;
    while (m_segments.size() > 1 && m_segments.front().highestIndex <= snapshot.position.index) {
        std::filesystem::remove(m_segments.front().path, ec);
        m_segments.pop_front();
    }
    return syncFolder(m_folder);
}

FileStorage::Result FileStorage::writeBuffer()
{
    if (m_buffer.empty())
        return {};
    if (const auto written = m_file.write(m_buffer); !written)
        return written;
    m_buffer.clear();
    return m_file.sync();
}

tl::expected<void, StorageError> FileStorage::sync()
{
    if (m_status)
        m_status = writeBuffer();
    if (m_status && m_file.size() >= m_segmentSize)
        m_status = startSegment();
    return m_status;
}

} // namespace

tl::expected<ReplicaId, StorageError> loadReplicaId(const std::filesystem::path &folder,
                                                    const base::HostId &host, std::uint64_t random)
{
    std::error_code ec;
    std::filesystem::create_directories(folder, ec);
    if (const auto done = setAsideIncompleteLog(folder); !done)
        return tl::unexpected(done.error());
    const std::filesystem::path path = folder / kReplicaIdFile;
    bool hasLog = std::filesystem::exists(folder / kSnapshotFile, ec);
    for (const auto &it : std::filesystem::directory_iterator(folder, ec))
        hasLog = hasLog || it.path().filename().string().starts_with(kSegmentPrefix);
    if (hasLog) {
        const auto text = readFile(path);
        if (!text)
            return tl::unexpected(text.error());
        const ReplicaId id(*text);
        if (hostOf(id) != host)
            return tl::unexpected(StorageError{
                    StorageFault::Damaged, fmt::format("{} belongs to replica '{}', not to host {}",
                                                       folder.string(), id.text(), host.text())});
        return id;
    }
    const ReplicaId id(fmt::format("{}.{:016x}", host.text(), random));
    if (const auto replaced = replaceFile(path, id.text()); !replaced)
        return tl::unexpected(replaced.error());
    return id;
}

std::unique_ptr<Storage> makeFileStorage(std::filesystem::path folder, base::Bytes segmentSize)
{
    return std::make_unique<FileStorage>(std::move(folder), segmentSize);
}

} // namespace hyssop::replog
