#pragma once

#include "dispatch/Dispatch.h"

namespace hyssop::dispatch {

/// The first action of a type among \a actions; null if there is none.
template <typename T>
const T *first(const Actions &actions)
{
    for (const Action &it : actions) {
        if (const T *found = std::get_if<T>(&it))
            return found;
    }
    return nullptr;
}

} // namespace hyssop::dispatch
