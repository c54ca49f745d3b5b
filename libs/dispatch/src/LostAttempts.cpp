#include "LostAttempts.h"

namespace hyssop::dispatch {

namespace {

/// Time between two probes of an upstream that loses answers and still accepts connections.
constexpr base::Millis kProbeInterval{500};
/// A later start of the upstream or at its address shows up within this.
constexpr base::Millis kRetention{10'000};
/// Limit for one start; the slots of an upstream are fewer.
constexpr std::size_t kMaxAttempts = 256;
/// Limit on their content; 0.5 MB for one start. A prompt may have some 1,600 parts.
constexpr std::size_t kMaxFingerprints = 65'536;

} // namespace

void LostAttempts::add(const fleet::Upstream &upstream, LostAttempt attempt)
{
    Losses &losses = m_starts[{upstream.id, upstream.incarnation}];
    losses.address = upstream.address;
    losses.lastAt = attempt.at;
    losses.fingerprints += attempt.fingerprints.size();
    if (losses.attempts.size() < kMaxAttempts && losses.fingerprints <= kMaxFingerprints)
        losses.attempts.push_back(std::move(attempt));
}

bool LostAttempts::beginProbe(const Start &start, base::TimePoint now)
{
    const auto it = m_starts.find(start);
    if (it == m_starts.end() || it->second.isProbePending || it->second.isCrashed
        || now < it->second.nextProbeAt)
        return false;
    it->second.isProbePending = true;
    it->second.nextProbeAt = now + kProbeInterval;
    return true;
}

void LostAttempts::discardProbe(const Start &start)
{
    if (const auto it = m_starts.find(start); it != m_starts.end())
        it->second.nextProbeAt = {};
}

void LostAttempts::endProbe(const Start &start)
{
    const auto it = m_starts.find(start);
    if (it != m_starts.end())
        it->second.isProbePending = false;
}

void LostAttempts::setCrashed(const Start &start, base::TimePoint now)
{
    Losses &losses = m_starts[start];
    losses.isCrashed = true;
    losses.lastAt = now;
}

bool LostAttempts::isCrashed(const Start &start) const
{
    const auto it = m_starts.find(start);
    return it != m_starts.end() && it->second.isCrashed;
}

std::vector<LostAttempt> LostAttempts::take(const Start &start)
{
    const auto it = m_starts.find(start);
    if (it == m_starts.end())
        return {};
    it->second.fingerprints = 0;
    return std::exchange(it->second.attempts, {});
}

std::vector<CallId> LostAttempts::endTrials(const Start &start)
{
    std::vector<CallId> trials;
    const auto it = m_starts.find(start);
    if (it == m_starts.end())
        return trials;
    for (LostAttempt &attempt : it->second.attempts) {
        if (attempt.trial && !std::exchange(attempt.isTrialEnded, true))
            trials.push_back(*attempt.trial);
    }
    return trials;
}

std::vector<LostAttempts::Start> LostAttempts::endedBy(const fleet::Upstream &upstream) const
{
    std::vector<Start> ended;
    for (const auto &[start, losses] : m_starts) {
        const bool isLaterStart = start.first == upstream.id && start.second < upstream.incarnation;
        const bool hasAddress = start.first != upstream.id && losses.address == upstream.address;
        if (!losses.isCrashed && (isLaterStart || hasAddress))
            ended.push_back(start);
    }
    return ended;
}

void LostAttempts::removeExpired(base::TimePoint now)
{
    std::erase_if(m_starts, [now](const auto &it) { return now >= it.second.lastAt + kRetention; });
}

} // namespace hyssop::dispatch
