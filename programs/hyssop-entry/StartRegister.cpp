#include "StartRegister.h"

#include "StartedHosts.h"

namespace hyssop::entry {

namespace {

/// A host that is killed a second after its start must be known to others well before its streams
/// would end by themselves. An unchanged list takes some 20 bytes.
constexpr base::Millis kPollInterval{1'000};
constexpr base::Millis kRetryInterval{1'000};

} // namespace

StartRegister::StartRegister(http::Loop *loop, process::Metrics *metrics,
                             ControlClient *controlClient, ledger::Owner self,
                             base::DataCentreId dataCentre, Hooks hooks)
    : m_loop(loop)
    , m_metrics(metrics)
    , m_controlClient(controlClient)
    , m_self(std::move(self))
    , m_dataCentre(std::move(dataCentre))
    , m_hooks(std::move(hooks))
{ }

void StartRegister::start()
{
    m_startedAt = base::monotonicNow();
    if (m_controlClient->controlHosts().empty()) {
        settle("no_control_hosts");
        return;
    }
    registerStart();
    poll();
}

void StartRegister::registerStart()
{
    m_controlClient->execute("home-" + m_dataCentre.text(), ledger::startOfEntryHost(m_self),
                             [this](const tl::expected<ledger::Reply, ExecuteFailure> &reply) {
                                 if (reply && reply->status == ledger::Status::Accepted) {
                                     settle("stored");
                                     return;
                                 }
                                 m_metrics->count("hyssop_start_register_failures_total");
                                 // Serving matters more than what a crash in the next seconds would
                                 // leave behind.
                                 settle("not_stored");
                                 m_loop->after(kRetryInterval, [this] { registerStart(); });
                             });
}

void StartRegister::settle(std::string_view outcome)
{
    if (std::exchange(m_isSettled, true))
        return;
    const auto elapsed =
            std::chrono::floor<base::Millis>(base::monotonicNow() - m_startedAt).count();
    base::logEvent("start_registered", {{"outcome", outcome}, {"ms", elapsed}});
    m_hooks.onSettled();
}

void StartRegister::poll()
{
    m_controlClient->query("started-hosts", startedHostsQueryJson(m_dataCentre, m_revision),
                           [this](const std::optional<std::string> &answer) {
                               const auto started =
                                       answer ? parseStartedHosts(*answer) : std::nullopt;
                               if (started) {
                                   m_revision = started->revision;
                                   for (const ledger::Owner &it : started->hosts)
                                       onStarted(it);
                               }
                               m_loop->after(kPollInterval, [this] { poll(); });
                           });
}

void StartRegister::onStarted(const ledger::Owner &owner)
{
    if (owner.host != m_self.host)
        m_hooks.onHostStarted(owner);
    else if (owner.incarnation < m_self.incarnation && m_isSettled)
        // A delayed copy of an earlier start's command was stored after this one's.
        registerStart();
}

} // namespace hyssop::entry
