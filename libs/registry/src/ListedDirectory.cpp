#include "ListedDirectory.h"

namespace hyssop::registry {

namespace {

/// Lists the upstreams of evacuated data centres as timed out.
void hideEvacuated(const fleet::Evacuations &evacuations, fleet::DirectoryChanges &changes)
{
    std::vector<fleet::Upstream> listed;
    for (fleet::Upstream &it : changes.upstreams) {
        if (evacuations.dataCentres.contains(it.dataCentre))
            changes.departed.push_back({it.id, it.incarnation, fleet::DepartureKind::TimedOut});
        else
            listed.push_back(std::move(it));
    }
    changes.upstreams = std::move(listed);
}

/// Sum that wraps around; incarnations are random.
std::int64_t wrappingSum(std::int64_t a, std::int64_t b)
{
    return static_cast<std::int64_t>(static_cast<std::uint64_t>(a) + static_cast<std::uint64_t>(b));
}

} // namespace

std::int64_t listedIncarnation(const fleet::WatchRequest &request, std::int64_t incarnation,
                               std::int64_t evacuationsRevision)
{
    return ignoresEvacuations(request) ? wrappingSum(incarnation, evacuationsRevision)
                                       : incarnation;
}

void ListedDirectory::list(const fleet::Directory &directory, const fleet::Evacuations &evacuations,
                           const fleet::WatchRequest &request, fleet::WatchReply &reply)
{
    const bool isEarlier = ignoresEvacuations(request);
    const std::int64_t listed =
            listedIncarnation(request, directory.incarnation(), evacuations.revision);
    const auto read = [&] {
        // Another incarnation than that of the directory yields a snapshot.
        const std::int64_t known = request.directoryIncarnation == listed
                                           ? directory.incarnation()
                                           : wrappingSum(directory.incarnation(), 1);
        fleet::DirectoryChanges changes = directory.changesSince(known, request.directoryRevision);
        changes.incarnation = listed;
        if (isEarlier)
            hideEvacuated(evacuations, changes);
        return changes;
    };
    if (!request.acceptsPackedDirectory) {
        reply.directory = read();
        return;
    }
    PackedDirectory &packed = isEarlier ? m_packedForEarlierBuilds : m_packed;
    const PackedDirectory::Changes &changes =
            packed.changesSince({listed, directory.revision()}, request.directoryIncarnation,
                                request.directoryRevision, read);
    reply.directory = changes.header;
    reply.packedDirectory = changes.packed;
}

} // namespace hyssop::registry
