/// An entry host with which another one exchanges its load, and to which it relays calls.
#pragma once

#include "base/Base.h"

namespace hyssop::fleet {

struct LoadPeer
{
    base::Endpoint address;
    base::DataCentreId dataCentre; ///< Empty from control hosts of builds that do not state it.

    bool operator==(const LoadPeer &) const = default;
};

} // namespace hyssop::fleet
