#include "Answers.h"

#include <algorithm>
#include <charconv>

namespace hyssop::edge {

namespace {

constexpr int kBadGateway = 502;
constexpr int kRequestTimeout = 408;
constexpr int kMisdirected = 421;
constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;
constexpr std::string_view kMarkTerm = "; declines=marked";

bool isClientError(int status)
{
    return status >= 400 && status < 500;
}

} // namespace

ResponseMetadata trustedMetadata(ResponseMetadata metadata, const gateway::ResponseHead &head)
{
    if (head.isIdentified)
        return metadata;
    ResponseMetadata trusted;
    trusted.isProvenRun = metadata.isProvenRun;
    return trusted;
}

bool promisesNotRun(int status)
{
    return status == kRequestTimeout || status == kMisdirected || status == kTooManyRequests
           || status == kUnavailable;
}

int statusForCaller(int status)
{
    return promisesNotRun(status) ? kBadGateway : status;
}

RelayAnswer classifyRelayAnswer(const gateway::ResponseHead &head, const ResponseMetadata &metadata)
{
    if (metadata.isProvenRun)
        return RelayAnswer::Answer;
    const bool isMarked = gateway::fieldValue(head.fields, kDeclinedField).has_value();
    const int status = head.status;
    if (isMarked)
        return head.isIdentified ? RelayAnswer::Declined : RelayAnswer::NotGenuine;
    if (status < 400)
        return RelayAnswer::NotGenuine;
    if (status == kTooManyRequests || status == kUnavailable)
        return head.isIdentified ? RelayAnswer::Rejected : RelayAnswer::NotGenuine;
    if (isClientError(status) && !promisesNotRun(status))
        return RelayAnswer::Answer;
    return RelayAnswer::Failed;
}

std::string encodeRelayTerms(const RelayTerms &terms)
{
    std::string text = std::to_string(terms.attemptsLeft);
    if (terms.needsDeclinedMark)
        text += kMarkTerm;
    return text;
}

RelayTerms decodeRelayTerms(std::string_view text)
{
    RelayTerms terms;
    const auto [end, ec] =
            std::from_chars(text.data(), text.data() + text.size(), terms.attemptsLeft);
    terms.attemptsLeft = std::max(1, ec == std::errc() ? terms.attemptsLeft : 1);
    terms.needsDeclinedMark = text.find(kMarkTerm) != std::string_view::npos;
    return terms;
}

int statusForRelay(int status, bool isProvenRun, const RelayTerms &terms)
{
    const bool isTakenAsDeclined =
            isClientError(status) && !isProvenRun && !terms.needsDeclinedMark;
    return isTakenAsDeclined ? kBadGateway : statusForCaller(status);
}

} // namespace hyssop::edge
