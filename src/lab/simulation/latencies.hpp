// Times of answers as a histogram with bins of equal ratio, so that its percentiles are good to 0.7 %.
#pragma once

#include <algorithm>
#include <boost/histogram.hpp>

namespace hollyrun::lab {

class Latencies {
 public:
  void add(double ms) { bins_(std::clamp(ms, 0.11, 9e4)); }
  /// The time in ms that this part of them, 0 to 1, keeps within; 0 without any.
  double percentile(double part) const {
    double all = 0, sum = 0;
    for (const auto& bin : boost::histogram::indexed(bins_))
      all += *bin;
    for (const auto& bin : boost::histogram::indexed(bins_)) {
      sum += *bin;
      if (all > 0 && sum >= part * all)
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
