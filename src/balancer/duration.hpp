/// Arithmetic on durations: conversion to seconds and scaling by a factor.
#pragma once

#include <chrono>

#include "hollyrun/balancer.hpp"

namespace hollyrun::balancer {

/// The duration in seconds.
inline double toSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

/// The duration multiplied by `factor`, truncated to whole nanoseconds.
inline Duration scaled(Duration duration, double factor) {
  return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * factor));
}

}  // namespace hollyrun::balancer
