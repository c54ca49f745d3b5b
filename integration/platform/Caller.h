#pragma once

#include "base/Base.h"

#include <string>

namespace hyssop::harness {

/// What a caller saw of one call.
struct Reply
{
    int status = 0; ///< 0 when there was no answer.
    std::string head;
    std::string body; ///< As far as it came, without framing.
    bool isWhole = false; ///< The framing says that the body is complete.
    bool isTimedOut = false; ///< The caller closed the connection, as its limit had passed.
};

struct CallOptions
{
    std::string fields; ///< Header lines, each with its end.
    std::string body;
    base::Millis limit{20'000}; ///< The connection is closed after this.
    bool closes = true; ///< Asks for the connection to be closed after the answer.
    bool isChunked = false; ///< Sends the body in chunks.
};

/// A caller's connection for one request after the other; blocks.
class Caller
{
public:
    explicit Caller(const base::Endpoint &to, base::Millis connectLimit = base::Millis(1'000));
    ~Caller();
    Caller(const Caller &) = delete;
    Caller &operator=(const Caller &) = delete;

    bool isOpen() const;
    /// False when the peer takes no bytes any more; the request was not read then.
    Reply call(const std::string &method, const std::string &target, const CallOptions &options);

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

/// One call on a connection of its own.
Reply callOnce(const base::Endpoint &to, const std::string &method, const std::string &target,
               const CallOptions &options = {});

} // namespace hyssop::harness
