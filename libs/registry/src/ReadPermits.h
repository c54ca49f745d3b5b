#pragma once

#include "fleet/Fleet.h"

#include <functional>

namespace hyssop::registry {

/// Permits to read long prompts, for all entry hosts. No I/O.
///
/// A long prompt is read by all engines that are free. Engines read the parts of several prompts in
/// passes, so that prompts read at once all end late; one after the other each ends early. Hosts
/// that started by themselves would also choose the same engine to hold the prompt, since they
/// learn of each other's choices a little later. The shortest reading that waits goes first, but
/// for one that has waited long.
class ReadPermits
{
public:
    /// Called with false when the wait is over.
    using Answer = std::function<void(bool isGranted)>;

    /// \a answer is called once, unless the request is released before.
    void ask(const fleet::PermitRequest &request, Answer answer, base::TimePoint now);
    void release(const fleet::PermitKey &key, base::TimePoint now);
    /// Grants what can be granted now.
    void tick(base::TimePoint now);
    std::size_t held() const { return m_held.size(); }
    std::size_t waiting() const { return m_waiting.size(); }

private:
    struct Waiting
    {
        fleet::PermitRequest request;
        Answer answer;
        base::TimePoint since;
    };
    struct Held
    {
        base::ServiceId service;
        base::TimePoint until;
    };
    /// How long a permit lasts whose end is never told.
    static base::Millis holdLimit(const fleet::PermitRequest &request);
    /// A host that started anew has none of its former calls.
    void forgetEarlierStarts(const fleet::PermitKey &key);
    std::size_t heldOf(const base::ServiceId &service) const;
    std::vector<Waiting>::iterator next(base::TimePoint now);

    std::vector<Waiting> m_waiting;
    std::map<fleet::PermitKey, Held> m_held;
    base::TimePoint m_grantedAt{};
};

} // namespace hyssop::registry
