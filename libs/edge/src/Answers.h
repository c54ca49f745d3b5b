#pragma once

#include "edge/Edge.h"

namespace hyssop::edge {

/// In responses to relayed calls: this host did not run the call, and another one might.
inline constexpr auto kDeclinedField = "Hyssop-Declined";

/// Returns what may be concluded from a response. Without the id of its request, a response may
/// belong to no request: it then proves neither that the request did not run nor anything about
/// the upstream.
ResponseMetadata trustedMetadata(ResponseMetadata metadata, const gateway::ResponseHead &head);

/// Whether a status promises a caller that its request has not run and never will.
bool promisesNotRun(int status);

/// Returns the status for a caller whose request reached an upstream that answered with \a status
/// and did not state that the request has not run.
int statusForCaller(int status);

/// What the response of another entry host to a relayed call means.
enum class RelayAnswer {
    Answer, ///< It is the answer of an upstream, or an error that the caller gets.
    Declined, ///< The call did not run, and another host might run it.
    Rejected, ///< The call did not run, and no other host should be asked.
    Failed, ///< The call may have run.
    NotGenuine, ///< A success that no upstream vouches for, or a response without the call's id.
};

RelayAnswer classifyRelayAnswer(const gateway::ResponseHead &head,
                                const ResponseMetadata &metadata);

/// What a host that relays a call states in it.
struct RelayTerms
{
    int attemptsLeft = 1; ///< Upstreams that the call may still be sent to.
    /// It takes a call as declined only where the response is marked so. Earlier builds take any
    /// status 4xx without a seal as declined, and would send the call to another host.
    bool needsDeclinedMark = false;
};

/// Text of a field with the terms, whose number earlier builds read too.
std::string encodeRelayTerms(const RelayTerms &terms);
RelayTerms decodeRelayTerms(std::string_view text);

/// Returns the status with which a host answers a relayed call when an upstream answered it with
/// \a status, so that the other host does not send it to a second one.
int statusForRelay(int status, bool isProvenRun, const RelayTerms &terms);

} // namespace hyssop::edge
