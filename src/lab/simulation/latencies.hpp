// A histogram of response times whose logarithmic bins keep the error of its percentiles below 0.7 %.
#pragma once

#include <algorithm>
#include <boost/histogram.hpp>

namespace hollyrun::lab {

class Latencies {
 public:
  void add(double ms) { bins_(std::clamp(ms, 0.11, 9e4)); }
  /// The time in ms that the given fraction (0 to 1) of the samples does not exceed; 0 without samples.
  double percentile(double fraction) const {
    double total = 0, sum = 0;
    for (const auto& bin : boost::histogram::indexed(bins_))
      total += *bin;
    for (const auto& bin : boost::histogram::indexed(bins_)) {
      sum += *bin;
      if (total > 0 && sum >= fraction * total)
        return bin.bin().upper();
    }
    return 0;
  }

 private:
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  decltype(boost::histogram::make_histogram(Axis(2000, 0.1, 1e5))) bins_ =
      boost::histogram::make_histogram(Axis(2000, 0.1, 1e5));
};

}  // namespace hollyrun::lab
