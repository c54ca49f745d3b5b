#include "Standin.h"

#include "process/Process.h"

namespace hyssop::standins {

namespace {

constexpr base::Millis kIdlePoll{20};
constexpr base::Millis kDay{86'400'000};

/// Ends the loop once nothing is in flight.
void stopWhenIdle(http::Loop *loop, const StandinServer *server, base::TimePoint until)
{
    if (server->isIdle() || base::monotonicNow() >= until) {
        // One more turn lets the last answers leave.
        loop->after(kIdlePoll, [loop] { loop->stop(); });
        return;
    }
    loop->after(kIdlePoll, [loop, server, until] { stopWhenIdle(loop, server, until); });
}

} // namespace

void addStandinSettings(base::SettingsBuilder &builder)
{
    builder.required("id", "Id as an upstream")
            .required("data-centre", "Data centre")
            .endpoint("listen", "Where to serve", "127.0.0.1:0")
            .endpoint("announce-address", "Address to announce; empty: the one served", "")
            .endpoints("entries", "Entry hosts to announce to", "")
            .millis("ttl-ms", "Life of an announcement", base::Millis(2'000), base::Millis(100),
                    base::Millis(60'000))
            .millis("stop-notice-ms", "How long new work is taken after leaving was announced",
                    base::Millis(3'000), base::Millis(0), kDay)
            .millis("stop-limit-ms", "Bound on finishing work in flight", base::Millis(600'000),
                    base::Millis(0), kDay);
}

base::Incarnation freshIncarnation()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return base::Incarnation(std::chrono::duration_cast<base::Millis>(now).count());
}

membership::Announcement announcementFrom(const base::Settings &settings,
                                          base::Incarnation incarnation,
                                          const base::Endpoint &address)
{
    membership::Announcement announcement;
    announcement.upstream.id = base::UpstreamId(settings.text("id"));
    announcement.upstream.incarnation = incarnation;
    announcement.upstream.dataCentre = base::DataCentreId(settings.text("data-centre"));
    announcement.address = settings.text("announce-address").empty()
                                   ? address
                                   : settings.endpoint("announce-address");
    announcement.ttl = settings.millis("ttl-ms");
    return announcement;
}

void serveUntilStopped(http::Loop *loop, Announcer *announcer, StandinServer *server,
                       const base::Settings &settings)
{
    const base::Millis notice = settings.millis("stop-notice-ms");
    const base::Millis limit = settings.millis("stop-limit-ms");
    const auto empty = [loop, server, limit] {
        server->refuseNewWork();
        stopWhenIdle(loop, server, base::monotonicNow() + limit);
    };
    const auto leave = [loop, announcer, notice, empty] {
        base::logEvent("leaving", {{"upstream", announcer->announcement().upstream.id}});
        announcer->leave();
        loop->after(notice, empty);
    };
    process::runUntilStopped([loop] { loop->run(); }, [loop, leave] { loop->post(leave); });
}

} // namespace hyssop::standins
