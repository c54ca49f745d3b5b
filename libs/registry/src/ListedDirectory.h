#pragma once

#include "PackedDirectory.h"

namespace hyssop::registry {

/// Whether a watch comes from an entry host of a build that does not know evacuations.
inline bool ignoresEvacuations(const fleet::WatchRequest &request)
{
    return request.evacuationsRevision == fleet::kEvacuationsUnread;
}

/// Incarnation under which the directory is listed to the sender of \a request. To hosts that do
/// not know evacuations it changes with each order of an operator, so that they get a snapshot.
std::int64_t listedIncarnation(const fleet::WatchRequest &request, std::int64_t incarnation,
                               std::int64_t evacuationsRevision);

/// Lists the directory in replies to watches.
///
/// Entry hosts that do not know evacuations get the upstreams of evacuated data centres as timed
/// out: those that left would stay away for two minutes after the end of the evacuation, and
/// those that drain until their next start.
class ListedDirectory
{
public:
    /// Sets the changes of \a directory since \a request.
    void list(const fleet::Directory &directory, const fleet::Evacuations &evacuations,
              const fleet::WatchRequest &request, fleet::WatchReply &reply);

private:
    PackedDirectory m_packed;
    PackedDirectory m_packedForEarlierBuilds;
};

} // namespace hyssop::registry
