/// Upstreams as they announce themselves and depart. Part of fleet/Fleet.h.
#pragma once

#include "base/Base.h"

namespace hyssop::fleet {

/// An upstream as it announced itself.
struct Upstream
{
    base::UpstreamId id;
    base::ServiceId service;
    base::Endpoint address;
    base::DataCentreId dataCentre;
    base::Incarnation incarnation; ///< Start of the process in Unix milliseconds; 0 when unknown.
    std::int64_t sequence = 0; ///< Increases with each announcement of one start.
    int slots = 1;
    bool isLeaving = false; ///< Gets no new requests.
    /// How long it stays cold, counted from its last announcement.
    base::Millis coldRemaining{0};

    bool operator==(const Upstream &other) const = default;
    /// Whether \a other was announced before this one.
    bool isNewerThan(const Upstream &other) const
    {
        return incarnation != other.incarnation ? incarnation > other.incarnation
                                                : sequence > other.sequence;
    }
    /// Whether it differs from \a other in what a start of an upstream never changes.
    bool contradicts(const Upstream &other) const
    {
        return id == other.id && incarnation == other.incarnation
               && (service != other.service || dataCentre != other.dataCentre);
    }
    /// Whether \a other, of the same start, differs in more than what each announcement changes.
    bool isUpdatedBy(Upstream other) const
    {
        other.sequence = sequence;
        other.coldRemaining = coldRemaining;
        return other != *this;
    }
    /// Whether it took over the address of \a other, as far as their start times show.
    bool replacesAddressOf(const Upstream &other) const
    {
        return id != other.id && address == other.address && other.incarnation > base::Incarnation()
               && incarnation > other.incarnation;
    }
};

/// How an upstream departed.
enum class DepartureKind {
    Left, ///< It announced its departure, or a later start took its address.
    TimedOut, ///< Its announcements stopped for too long.
};

/// An upstream that left the directory.
struct DepartedUpstream
{
    base::UpstreamId id;
    base::Incarnation incarnation;
    DepartureKind kind = DepartureKind::TimedOut;

    bool operator==(const DepartedUpstream &other) const = default;
};

} // namespace hyssop::fleet
