#include "LoopContext.h"

namespace hyssop::http {

namespace {

void onTimer(lws_sorted_usec_list_t *sul)
{
    Timer *timer = lws_container_of(sul, TimerEntry, sul)->timer;
    Loop::Context &context = *timer->context;
    const auto it = context.timers.find(timer->id.count());
    const std::unique_ptr<Timer> owned = std::move(it->second);
    context.timers.erase(it);
    owned->action();
}

} // namespace

Loop::Context &contextOf(lws *wsi)
{
    return *static_cast<Loop::Context *>(lws_context_user(lws_get_context(wsi)));
}

std::string headerText(lws *wsi, lws_token_indexes token)
{
    const int n = lws_hdr_total_length(wsi, token);
    if (n <= 0)
        return {};
    std::string text(static_cast<std::size_t>(n) + 1, '\0');
    lws_hdr_copy(wsi, text.data(), n + 1, token);
    text.resize(static_cast<std::size_t>(n));
    return text;
}

std::string customHeader(lws *wsi, const std::string &name)
{
    const int length = static_cast<int>(name.size());
    const int n = lws_hdr_custom_length(wsi, name.c_str(), length);
    if (n <= 0)
        return {};
    std::string text(static_cast<std::size_t>(n) + 1, '\0');
    lws_hdr_custom_copy(wsi, text.data(), n + 1, name.c_str(), length);
    text.resize(static_cast<std::size_t>(n));
    return text;
}

TimerId Loop::Context::startTimer(base::Millis delay, std::function<void()> action)
{
    auto timer = std::make_unique<Timer>();
    timer->entry.timer = timer.get();
    timer->context = this;
    timer->id = TimerId(++lastId);
    timer->action = std::move(action);
    Timer *raw = timer.get();
    timers.emplace(raw->id.count(), std::move(timer));
    const base::Micros us = std::max(base::Micros(delay), base::Micros(1));
    lws_sul_schedule(lwsContext, 0, &raw->entry.sul, onTimer, us.count());
    return raw->id;
}

void Loop::Context::stopTimer(TimerId id)
{
    const auto it = timers.find(id.count());
    if (it == timers.end())
        return;
    lws_sul_cancel(&it->second->entry.sul);
    timers.erase(it);
}

Exchange *Loop::Context::exchange(ExchangeId id) const
{
    const auto it = exchanges.find(id.count());
    return it == exchanges.end() ? nullptr : it->second.get();
}

PendingCall *Loop::Context::call(CallId id) const
{
    const auto it = calls.find(id.count());
    return it == calls.end() ? nullptr : it->second.get();
}

} // namespace hyssop::http
