// Evacuations of data centres, as operators ordered them.

#include "EdgeImpl.h"

namespace hyssop::edge {

void Edge::Impl::applyEvacuations(const fleet::WatchReply &reply, base::TimePoint now)
{
    const fleet::Evacuations previous = m_evacuations.state();
    const bool wasConfirmed = m_evacuations.isConfirmed();
    const bool isChange = m_evacuations.receive(reply, now);
    const fleet::Evacuations &state = m_evacuations.state();
    if (!wasConfirmed && m_evacuations.isConfirmed())
        base::logEvent("evacuations_confirmed",
                       {{"revision", state.revision}, {"data_centres", state.dataCentres.size()}});
    if (!isChange)
        return;
    const auto log = [&](const char *event, const base::DataCentreId &dataCentre) {
        base::logEvent(event, {{"data_centre", dataCentre}, {"revision", state.revision}});
        m_metrics->count("hyssop_evacuation_changes_total", {{"event", event}});
    };
    for (const base::DataCentreId &it : state.dataCentres) {
        if (!previous.dataCentres.contains(it))
            log("evacuation_begun", it);
    }
    for (const base::DataCentreId &it : previous.dataCentres) {
        if (!state.dataCentres.contains(it))
            log("evacuation_ended", it);
    }
    execute(m_dispatcher.handle(dispatch::EvacuationsChanged{state}, now), now);
}

void Edge::Impl::updateGateGauges(const dispatch::DispatcherStats &stats)
{
    m_metrics->set("hyssop_evacuated_data_centres",
                   static_cast<double>(m_evacuations.state().dataCentres.size()));
    for (const auto reason :
         {dispatch::SendRefusalReason::Leaving, dispatch::SendRefusalReason::Evacuated,
          dispatch::SendRefusalReason::BackOff, dispatch::SendRefusalReason::Cold,
          dispatch::SendRefusalReason::Ejected, dispatch::SendRefusalReason::Unreachable}) {
        const auto it = stats.refused.find(reason);
        m_metrics->set("hyssop_refused_upstreams",
                       it == stats.refused.end() ? 0 : static_cast<double>(it->second),
                       {{"reason", std::string(dispatch::sendRefusalReasonName(reason))}});
    }
}

} // namespace hyssop::edge
