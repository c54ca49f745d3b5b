#pragma once

#include "System.h"

#include "operators/Operators.h"

namespace hyssop::harness {

/// What a caller asks of a model.
struct Completion
{
    std::string prompt = "Two days by the fjord";
    std::int64_t maxTokens = 4;
    bool wantsStream = false;
    std::string model = "chat";
    std::string team = "office-1";
    std::string urgency; ///< Empty: that of the route.
    std::int64_t deadlineMs = 0; ///< 0: that of the route.
};

/// What a caller got.
struct Completed
{
    int status = 0;
    std::string text; ///< Of the answer, as far as it came.
    bool isWhole = false; ///< The answer ended with its mark.
    nlohmann::json error; ///< The error told; null when there was none.
    bool isBrokenOff = false; ///< Neither whole nor ended by an error.

    std::string code() const;
    std::string outcome() const;
};

Pending startCompletion(System &system, const Host &entry, const Completion &completion);
Completed readCompletion(const Answer &answer, const Completion &completion);
Completed complete(System &system, const Host &entry, const Completion &completion);
/// Starts that many completions at once through all entry hosts, every second one streamed, and
/// checks that each gets its own whole answer and that no engine keeps memory.
void checkOwnAnswers(System &system, int callers);
/// Text that a stand-in engine makes for a prompt.
std::string expectedText(const std::string &prompt, std::int64_t tokens);
/// A prompt of that many tokens that begins with \a name.
std::string longPrompt(const std::string &name, std::int64_t tokens);

/// Starts a call of the booking service; no key when \a key is empty, and the route's deadline
/// when \a deadlineMs is 0.
Pending startBooking(System &system, const Host &entry, const std::string &key,
                     const std::string &body = "{\"bikes\":2}", const std::string &path = "check",
                     std::int64_t deadlineMs = 0);
/// Starts the submission of a job; its deadline is the completion's.
Pending startJob(System &system, const Host &entry, const Completion &completion);
/// Asks an entry host for the scope of home-scoped keys.
Answer askScope(System &system, const Host &entry);
/// How often a stand-in service ran a key; -1 when it gave no answer.
std::int64_t runsOf(System &system, const Host &service, const std::string &key);
std::int64_t totalRuns(System &system, const Host &service);

nlohmann::json engineStats(System &system, const Host &engine);
/// Waits until the engine holds no KV memory and no sequences.
bool returnsToFloor(System &system, const Host &engine, base::Millis limit);
double metric(System &system, const Host &host, std::string_view name, std::string_view label = "");

/// A record as JSON, for put().
nlohmann::json route(const std::string &name, std::int64_t version, nlohmann::json spec);
nlohmann::json team(const std::string &name, std::int64_t version, nlohmann::json spec);
/// Sends a change to one control host.
Pending startPut(System &system, const Host &control, const nlohmann::json &record,
                 const std::string &changeId);
/// Sends a change, again after an answer that leaves its verdict open.
operators::PutReply put(System &system, const nlohmann::json &record, const std::string &changeId);
std::optional<operators::StatusReply> statusOf(System &system, const Host &control);
/// Position of the last change that \a entry has applied.
std::int64_t appliedAt(System &system, const Host &entry);
/// Puts the usual records and waits until every entry host has applied them.
void putUsualRecords(System &system);
/// Starts the system's usual records and waits until it serves.
void bringUp(System &system);

} // namespace hyssop::harness
