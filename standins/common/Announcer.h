#pragma once

#include "http/Http.h"
#include "membership/Membership.h"

namespace hyssop::standins {

/// Announces a stand-in to entry hosts again and again, by HTTP.
class Announcer final : private http::CallHandler
{
public:
    Announcer(http::Loop *loop, membership::Announcement announcement,
              std::vector<base::Endpoint> entries)
        : m_loop(loop)
        , m_announcement(std::move(announcement))
        , m_entries(std::move(entries))
    { }

    void start() { beat(); }
    /// Tells the entries at once that no new work is wanted.
    void leave()
    {
        m_announcement.upstream.isLeaving = true;
        send();
    }
    membership::Announcement &announcement() { return m_announcement; }
    void send()
    {
        ++m_announcement.sequence;
        for (const base::Endpoint &entry : m_entries) {
            http::Call call;
            call.to = entry;
            call.method = http::Method::Post;
            call.path = "/v1/announcements";
            call.headers = {{"content-type", "application/json"}};
            call.body = membership::toJson(m_announcement);
            call.timeout = base::Millis(1'000);
            m_loop->call(std::move(call), this);
        }
    }

private:
    void beat()
    {
        send();
        m_loop->after(m_announcement.ttl / 4, [this] { beat(); });
    }
    void onHead(http::CallId, int, const http::Headers &) override { }
    void onData(http::CallId, std::string_view) override { }
    void onDone(http::CallId) override { }
    void onFailed(http::CallId, const http::CallError &) override { }

    http::Loop *m_loop;
    membership::Announcement m_announcement;
    std::vector<base::Endpoint> m_entries;
};

} // namespace hyssop::standins
