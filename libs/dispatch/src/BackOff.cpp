// Upstreams that want no requests from this host for some time.

#include "DispatcherImpl.h"

namespace hyssop::dispatch {

namespace {

/// Statements that are kept of upstreams that the directory does not list. They come back under
/// their id within seconds, or not at all.
constexpr std::size_t kMaxBackOffs = 1'024;

} // namespace

void Dispatcher::Impl::handle(const BackOffStated &event, base::TimePoint now)
{
    UpstreamState *state = findUpstream(event.upstream);
    if (!state || state->info().incarnation != event.incarnation)
        return;
    const base::TimePoint until = now + event.duration;
    state->backOffUntil(until);
    if (m_backOffs.size() >= kMaxBackOffs)
        std::erase_if(m_backOffs, [now](const auto &it) { return now >= it.second.second; });
    m_backOffs[event.upstream] = {event.incarnation, state->backsOffUntil()};
}

void Dispatcher::Impl::restoreBackOff(UpstreamState &state, base::TimePoint now)
{
    const auto it = m_backOffs.find(state.info().id);
    if (it == m_backOffs.end())
        return;
    if (it->second.first == state.info().incarnation && now < it->second.second)
        state.backOffUntil(it->second.second);
    else
        m_backOffs.erase(it);
}

} // namespace hyssop::dispatch
