#include "orders/Orders.h"

namespace hyssop::orders {

std::string_view holdName(Hold hold)
{
    switch (hold) {
    case Hold::None:
        return "none";
    case Hold::FormerHolder:
        return "former_holder";
    case Hold::LoadsAtOnce:
        return "loads_at_once";
    case Hold::LoadRate:
        return "load_rate";
    case Hold::DeploymentLoadRate:
        return "deployment_load_rate";
    case Hold::Backoff:
        return "backoff";
    }
    return "unknown";
}

std::string_view orderResultName(OrderResult result)
{
    switch (result) {
    case OrderResult::Accepted:
        return "accepted";
    case OrderResult::OldFencing:
        return "old_fencing";
    case OrderResult::Refused:
        return "refused";
    case OrderResult::Failed:
        return "failed";
    }
    return "unknown";
}

} // namespace hyssop::orders
