#include "telemetry/metricsregistry.h"

#include <cmath>

namespace ebony::telemetry {

namespace {

void writeHeading(std::ostream &Stream, const std::string &Name,
                  const std::string &Help, const char *Type) {
  Stream << "# HELP " << Name << ' ' << Help << "\n# TYPE " << Name << ' '
         << Type << '\n';
}

void writeLatency(std::ostream &Stream, const std::string &Name,
                  const LatencyHistogram &Histogram) {
  std::int64_t Total = 0;
  for (const LatencyBucket &Bucket : Histogram.buckets()) {
    Stream << Name << "_bucket{le=\"";
    if (std::isinf(Bucket.UpperSeconds_))
      Stream << "+Inf";
    else
      Stream << Bucket.UpperSeconds_;
    Stream << "\"} " << Bucket.Cumulative_ << '\n';
    Total = Bucket.Cumulative_;
  }
  Stream << Name << "_sum " << Histogram.sumSeconds() << '\n'
         << Name << "_count " << Total << '\n';
}

} // namespace

Counter &MetricsRegistry::counter(const std::string &Name,
                                  const std::string &Help,
                                  const std::string &Labels, CounterKind Kind) {
  const std::lock_guard Guard(Lock_);
  CounterFamily &Family = Counters_[Name];
  Family.Help_ = Help;
  Family.Kind_ = Kind;
  auto &Slot = Family.ByLabels_[Labels];
  if (!Slot)
    Slot = std::make_unique<Counter>();
  return *Slot;
}

LatencyHistogram &MetricsRegistry::latency(const std::string &Name,
                                           const std::string &Help) {
  const std::lock_guard Guard(Lock_);
  LatencyFamily &Family = Latencies_[Name];
  Family.Help_ = Help;
  if (!Family.Histogram_)
    Family.Histogram_ = std::make_unique<LatencyHistogram>();
  return *Family.Histogram_;
}

void MetricsRegistry::writeTo(std::ostream &Stream) const {
  const std::lock_guard Guard(Lock_);
  for (const auto &[Name, Family] : Counters_) {
    writeHeading(Stream, Name, Family.Help_,
                 Family.Kind_ == CounterKind::Gauge ? "gauge" : "counter");
    for (const auto &[Labels, Value] : Family.ByLabels_) {
      Stream << Name;
      if (!Labels.empty())
        Stream << '{' << Labels << '}';
      Stream << ' ' << Value->value() << '\n';
    }
  }
  for (const auto &[Name, Family] : Latencies_) {
    writeHeading(Stream, Name, Family.Help_, "histogram");
    writeLatency(Stream, Name, *Family.Histogram_);
  }
}

} // namespace ebony::telemetry
