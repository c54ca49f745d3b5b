#pragma once

#include "dispatch/Dispatch.h"

namespace hyssop::dispatch {

/// Times of an engine, computed from what the configuration says of it. Milliseconds.
class EngineModel
{
public:
    explicit EngineModel(const fleet::EngineSpec &spec)
        : m_spec(&spec)
    { }

    /// Reading a prompt alone on one engine.
    double prefillMs(base::Tokens prompt) const;
    /// A pass in which \a writers requests of \a context tokens each write and nothing is read.
    double passMs(int writers, base::Tokens context) const;
    /// Writing an answer of usual length beside \a writers others.
    double meanAnswerMs(int writers, base::Tokens context) const;
    /// Memory that a request may come to hold.
    base::Tokens maxKvTokens(base::Tokens prompt, base::Tokens maxOutput) const;
    /// \a share of an engine's memory.
    static std::int64_t usableKvTokens(const fleet::EngineSpec &spec,
                                       double share = kUsableKvShare);

private:
    /// Room is left for answers longer than announced.
    static constexpr double kUsableKvShare = 0.97;

    const fleet::EngineSpec *m_spec;
};

/// Engines that a prompt is split over so that reading it delays others by no more than
/// \a partMs each; one of them answers the request.
int partCount(double readMs, double partMs, int most);

} // namespace hyssop::dispatch
