#pragma once

#include "caller/Caller.h"
#include "upstream/Upstream.h"

namespace hyssop::entry {

/// Receives the response to a request. complete(), respond() and fail() end it; no call follows.
class ResponseSink
{
public:
    virtual ~ResponseSink() = default;
    /// Appends tokens of a completion.
    virtual void addTokens(const std::vector<std::string> &tokens) = 0;
    /// Ends a completion after its last token.
    virtual void complete() = 0;
    /// Passes the whole response of a plain service.
    virtual void respond(const upstream::ServiceResponse &answer) = 0;
    /// Ends the request with an error.
    virtual void fail(const caller::ErrorBody &error) = 0;
    /// Response bytes that the receiver has not read yet.
    virtual std::size_t unsentBytes() const { return 0; }
};

/// Sends the response to a caller on its HTTP exchange. \a server must outlive this object.
class CallerResponseSink final : public ResponseSink
{
public:
    CallerResponseSink(caller::Server *server, http::ExchangeId exchange);

    void addTokens(const std::vector<std::string> &tokens) override;
    void complete() override;
    void respond(const upstream::ServiceResponse &answer) override;
    void fail(const caller::ErrorBody &error) override;
    std::size_t unsentBytes() const override;

private:
    caller::Server *m_server;
    http::ExchangeId m_exchange;
};

} // namespace hyssop::entry
