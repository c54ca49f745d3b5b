#include "EventSplitter.h"

#include <catch2/catch.hpp>

using hyssop::edge::EventSplitter;

TEST_CASE("whole events come out however the bytes are cut")
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

TEST_CASE("an event that was cut off is dropped before another source goes on")
{
    EventSplitter splitter;
    splitter.append("id: 1\n\nid: 2\nda");
    splitter.dropPartialEvent();
    CHECK(splitter.append("id: 2\ndata: b\n\n") == "id: 2\ndata: b\n\n");
    CHECK(splitter.lastEventId() == "2");
    CHECK_FALSE(splitter.hasPartialEvent());
}
