#pragma once

#include "dispatch/Dispatch.h"

namespace hyssop::dispatch {

/// Estimates engine times from the configured engine properties. All times are in milliseconds.
class EngineModel
{
public:
    explicit EngineModel(const fleet::EngineSpec &spec)
        : m_spec(&spec)
    { }

    /// Prefill time of a prompt alone on one engine.
    double prefillMs(base::Tokens promptTokens) const;
    /// Time of a pass in which \a requests requests of \a contextTokens tokens each decode and none
    /// is prefilled.
    double passMs(int requests, base::Tokens contextTokens) const;
    /// Time to decode an answer to one request alone.
    double answerMs(base::Tokens outputTokens, base::Tokens contextTokens) const;
    /// Largest amount of KV memory that a request may use.
    base::Tokens maxKvTokens(base::Tokens promptTokens, base::Tokens maxOutputTokens) const;
    /// KV tokens in \a share of the memory of an engine.
    static std::int64_t usableKvTokens(const fleet::EngineSpec &spec,
                                       double share = kUsableKvShare);

private:
    /// The rest is headroom for answers that are longer than announced.
    static constexpr double kUsableKvShare = 0.97;

    const fleet::EngineSpec *m_spec;
};

/// Number of engines that a prompt must be split over so that its prefill delays other requests by
/// at most \a maxPartMs on each; one of them answers the request. At least 1.
int partCount(double prefillMs, double maxPartMs, int maxParts);

} // namespace hyssop::dispatch
