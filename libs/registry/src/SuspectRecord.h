#pragma once

#include "CrashSuspects.h"

#include "group/Group.h"

namespace hyssop::registry {

/// Keeps what is known of content that crashes upstreams in the replicated log, so that it survives
/// the loss of all processes. The leader stores it when it changes; a new leader starts from it.
class SuspectRecord
{
public:
    /// Brings the suspects of a new leader up to date and stores changes. To be called after the
    /// group has applied its log.
    void update(group::GroupHost &group, CrashSuspects &suspects, base::TimePoint now);
    /// Whether the suspects include what former leaders stored. A leader confirms nothing before.
    bool isRestored(replog::Term term) const { return m_restoredTerm == term; }

    /// Starts a term from what former leaders stored; null for nothing.
    void restore(replog::Term term, const ledger::StoredCrashSuspects *stored,
                 CrashSuspects &suspects, base::TimePoint now, std::int64_t wallMs);
    /// The text to store now, if it has changed and enough time has passed.
    std::optional<std::string> takeDue(const CrashSuspects &suspects, base::TimePoint now,
                                       std::int64_t wallMs);
    void onStored(bool isStored);

    /// Time between two records. Each costs the control hosts a disk sync of 5 ms, and trials and
    /// crashes come several times a second.
    static constexpr base::Millis kInterval{500};

private:
    std::optional<replog::Term> m_restoredTerm;
    std::int64_t m_storedRevision = 0; ///< -1 when it isn't known.
    std::int64_t m_pendingRevision = 0;
    bool m_isPending = false;
    base::TimePoint m_nextAt{};
};

/// Text of a record that was made at \a wallMs, in Unix milliseconds.
std::string encodeSuspects(const std::vector<KnownSuspect> &suspects, std::int64_t wallMs);
/// Empty if it can't be read. Ages and times are as of \a wallMs, also if clocks went back.
std::optional<std::vector<KnownSuspect>> decodeSuspects(std::string_view text, std::int64_t wallMs);

} // namespace hyssop::registry
