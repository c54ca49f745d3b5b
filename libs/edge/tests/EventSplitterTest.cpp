#include "EventSplitter.h"

#include <catch2/catch.hpp>

using hyssop::edge::EventSplitter;

TEST_CASE("complete events are returned wherever the bytes are split")
{
    const std::string stream = "id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\nid: 3\ndata";
    for (std::size_t cut = 0; cut <= stream.size(); ++cut) {
        EventSplitter splitter;
        std::string out = splitter.append(stream.substr(0, cut));
        out += splitter.append(stream.substr(cut));
        CHECK(out == stream.substr(0, stream.rfind("id: 3")));
        CHECK(splitter.lastEventId() == "2");
        CHECK(splitter.hasPartialEvent());
    }
}

TEST_CASE("a partial event is dropped before another source continues the stream")
{
    EventSplitter splitter;
    splitter.append("id: 1\n\nid: 2\nda");
    splitter.dropPartialEvent();
    CHECK(splitter.append("id: 2\ndata: b\n\n") == "id: 2\ndata: b\n\n");
    CHECK(splitter.lastEventId() == "2");
    CHECK_FALSE(splitter.hasPartialEvent());
}

TEST_CASE("an event without end is reported before it fills the memory")
{
    EventSplitter splitter;
    const std::string data = "data: " + std::string(8'000, 'x');
    std::size_t buffered = 0;
    while (!splitter.isEventTooLong() && buffered < std::size_t(16) << 20) {
        CHECK(splitter.append(data).empty());
        buffered += data.size();
    }
    CHECK(splitter.isEventTooLong());
    CHECK(buffered <= std::size_t(2) << 20);
    splitter.dropPartialEvent();
    CHECK_FALSE(splitter.isEventTooLong());
}
