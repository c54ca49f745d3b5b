#include "records/Records.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

using namespace hyssop;
using namespace hyssop::records;
using nlohmann::json;

namespace {

/// Strings that YAML could parse as a number, boolean or structure, and plain strings.
rc::Gen<std::string> genText()
{
    const std::vector<std::string> awkwardTexts{"",    "007",  "1e3", "yes",     "null", "~",
                                                "0x1", "a: b", "- x", "\"q\\\"", "# c",  "blå\nis"};
    return rc::gen::oneOf(rc::gen::elementOf(awkwardTexts),
                          rc::gen::container<std::string>(rc::gen::inRange('a', 'z')));
}

/// Specs with valid known fields and unknown fields of any type.
rc::Gen<json> genSpec()
{
    return rc::gen::exec([] {
        json spec{{"weight", *rc::gen::inRange(1, 1000)}};
        const int extraFieldCount = *rc::gen::inRange(0, 4);
        for (int n = 0; n < extraFieldCount; ++n) {
            const std::string name = "x" + std::to_string(n);
            switch (*rc::gen::inRange(0, 4)) {
            case 0:
                spec[name] = *genText();
                break;
            case 1:
                spec[name] = *rc::gen::arbitrary<std::int64_t>();
                break;
            case 2:
                spec[name] = json::array({*genText(), *rc::gen::arbitrary<bool>()});
                break;
            default:
                spec[name] = json{{"inner", *genText()}, {"list", json::array()}};
                break;
            }
        }
        return spec;
    });
}

rc::Gen<Record> genRecord()
{
    return rc::gen::exec([] {
        Record record;
        record.name = "t" + std::to_string(*rc::gen::inRange(0, 3));
        record.schema = *rc::gen::inRange(1, kNewestSchema + 1);
        record.version = Version(*rc::gen::inRange(1, 1'000'000));
        record.spec = (*genSpec()).dump();
        return record;
    });
}

} // namespace

TEST_CASE("a record is unchanged by YAML and JSON round trips, including unknown fields")
{
    CHECK(rc::check([] {
        const Record record = *genRecord();
        // JSON is valid YAML in which every string is quoted.
        const auto read = readYaml("r.yaml", toJson(record));
        RC_ASSERT(read.has_value());
        RC_ASSERT(read->size() == 1u);
        RC_ASSERT(read->front() == record);
        const auto again = recordFromJson(toJson(read->front()));
        RC_ASSERT(again.has_value());
        RC_ASSERT(*again == record);
    }));
}

TEST_CASE("the diff of two records is empty if and only if they are equal")
{
    CHECK(rc::check([] {
        const Record a = *genRecord();
        const Record b = *rc::gen::oneOf(rc::gen::just(a), genRecord());
        RC_ASSERT(diff(a, b).empty() == (a == b));
    }));
}

TEST_CASE("text that yaml-cpp parses endlessly is rejected")
{
    for (const char *text : {",,", ",chema: 1\nkind: team\n"}) {
        const auto records = readYaml("bad.yaml", text);
        REQUIRE_FALSE(records);
        CHECK(records.error().front().file == "bad.yaml");
        CHECK(records.error().front().line == 1);
    }
}
