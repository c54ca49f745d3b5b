#pragma once

#include "caller/Caller.h"

namespace hyssop::caller {

/// One event of a streamed completion.
std::string chunkJson(const base::RequestId &id, const std::string &model, bool isChat,
                      const std::string &text);
/// A whole completion.
std::string completionJson(const base::RequestId &id, const std::string &model, bool isChat,
                           const std::string &text, std::int64_t tokens);

} // namespace hyssop::caller
