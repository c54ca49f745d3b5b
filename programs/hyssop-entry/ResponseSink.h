#pragma once

#include "caller/Caller.h"
#include "upstream/Upstream.h"

namespace hyssop::entry {

/// Where the answer of a request goes. After complete(), answer() or fail() nothing more comes.
class ResponseSink
{
public:
    virtual ~ResponseSink() = default;
    /// Further tokens of a completion.
    virtual void addTokens(const std::vector<std::string> &tokens) = 0;
    /// The tokens of a completion are complete.
    virtual void complete() = 0;
    /// Whole answer of a plain service.
    virtual void respond(const upstream::ServiceAnswer &answer) = 0;
    virtual void fail(const caller::ErrorBody &error) = 0;
    /// Bytes that the receiver has not taken yet.
    virtual std::size_t unsentBytes() const { return 0; }
};

/// Answer to a caller that waits on an exchange.
class CallerResponseSink final : public ResponseSink
{
public:
    CallerResponseSink(caller::Server *server, http::ExchangeId exchange);

    void addTokens(const std::vector<std::string> &tokens) override;
    void complete() override;
    void respond(const upstream::ServiceAnswer &answer) override;
    void fail(const caller::ErrorBody &error) override;
    std::size_t unsentBytes() const override;

private:
    caller::Server *m_server;
    http::ExchangeId m_exchange;
};

} // namespace hyssop::entry
