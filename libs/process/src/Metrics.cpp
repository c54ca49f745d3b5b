#include "process/Process.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace hyssop::process {

namespace {

const prometheus::Histogram::BucketBoundaries &secondsBuckets()
{
    static const prometheus::Histogram::BucketBoundaries buckets{
            0.005, 0.01, 0.02, 0.04, 0.062, 0.1, 0.2, 0.4, 0.8, 1.2,
            1.7,   2.5,  5,    10,   20,    40,  60,  120, 300, 600};
    return buckets;
}

} // namespace

class Metrics::Impl
{
public:
    prometheus::Registry registry;
};

Metrics::Metrics()
    : m_impl(std::make_unique<Impl>())
{ }

Metrics::~Metrics() = default;

void Metrics::count(const std::string &name, const Labels &labels, double by)
{
    auto &family = prometheus::BuildCounter().Name(name).Register(m_impl->registry);
    family.Add(labels).Increment(by);
}

void Metrics::set(const std::string &name, double value, const Labels &labels)
{
    auto &family = prometheus::BuildGauge().Name(name).Register(m_impl->registry);
    family.Add(labels).Set(value);
}

void Metrics::observeSeconds(const std::string &name, double seconds, const Labels &labels)
{
    auto &family = prometheus::BuildHistogram().Name(name).Register(m_impl->registry);
    family.Add(labels, secondsBuckets()).Observe(seconds);
}

std::string Metrics::text() const
{
    const prometheus::TextSerializer serializer;
    return serializer.Serialize(m_impl->registry.Collect());
}

} // namespace hyssop::process
