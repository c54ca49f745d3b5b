#include "Responder.h"

#include "JsonFields.h"

namespace hyssop::standins {

void Responder::respond(http::ExchangeId id, int status, std::string body)
{
    http::Response response;
    response.status = status;
    response.body = std::move(body);
    m_loop->respond(id, std::move(response));
}

void Responder::refuse(http::ExchangeId id, int status, const std::string &code)
{
    ++m_refused;
    if (m_logsWork)
        base::logEvent("work_refused", {{"code", code}});
    respond(id, status, errorBody(code, "not_run"));
}

} // namespace hyssop::standins
