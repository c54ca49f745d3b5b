#pragma once

#include "base/Base.h"

namespace hyssop::dispatch {

using CallId = base::Quantity<struct DispatchCallTag>;

} // namespace hyssop::dispatch
