/// The components of a Balancer and the handlers of its events. Each event updates the components and appends
/// actions.
#pragma once

#include <utility>
#include <vector>

#include "balancer/action_list.hpp"
#include "balancer/arrival_rate.hpp"
#include "balancer/concurrency_limit.hpp"
#include "balancer/connection_tracker.hpp"
#include "balancer/discovery_poller.hpp"
#include "balancer/endpoint_registry.hpp"
#include "balancer/endpoint_selector.hpp"
#include "balancer/key_frequency.hpp"
#include "balancer/key_sequencer.hpp"
#include "balancer/load_shedder.hpp"
#include "balancer/outlier_detector.hpp"
#include "balancer/random_source.hpp"
#include "balancer/reported_load.hpp"
#include "balancer/request_class.hpp"
#include "balancer/request_table.hpp"
#include "balancer/retry_policy.hpp"
#include "balancer/service_time.hpp"
#include "balancer/slow_start.hpp"
#include "balancer/tenant_quota.hpp"
#include "balancer/timer_queue.hpp"
#include "hollyrun/balancer.hpp"

namespace hollyrun::balancer {

struct Balancer::Impl {
  Impl(Settings settings, Time now);
  // Not copyable: the components refer to each other.
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  /// Runs the handler of one event, then the steps that may follow any event: sending requests of keys that
  /// are due, polling discovery and scheduling the next wake.
  template <class Handler, class... Arguments>
  void handle(Time now, Handler handler, Arguments&&... arguments) {
    now_ = now;
    (this->*handler)(std::forward<Arguments>(arguments)...);
    dispatchDueKeys();
    if (discovery_.startPollIfDue(now_))
      actions_.pollDiscovery();
    scheduleWake();
  }

  // Event handlers.
  void applySettings(Settings settings);
  void applyEndpoints(EndpointListKind kind, const std::vector<Endpoint>& entries);
  void acceptRequest(const Request& event);
  void completeUpload(RequestId id, Duration remaining);
  void startResponse(RequestId id, std::uint32_t attempt);
  void completeAttempt(const AttemptResult& result);
  void disconnectClient(RequestId id);
  void runTimers();

  std::vector<Action>& actions() { return actions_.actions(); }
  const EndpointRegistry& endpoints() const { return endpoints_; }
  EndpointCounts endpointCounts() const;
  double sheddingThreshold() const { return shedder_.threshold(); }
  std::size_t openRequests() const { return requests_.size(); }

 private:
  // Requests.
  void estimateTimes(PendingRequest& request, const Request& event);
  void scoreRequest(PendingRequest& request, std::uint32_t tenantIndex);
  double effectivePriority(const PendingRequest& request, std::uint32_t tenantIndex);
  void enqueueForKey(PendingRequest& request);
  void dispatchDueKeys();
  void sendFirst(PendingRequest& request);
  RejectReason send(PendingRequest& request);
  void startAttempt(PendingRequest& request, HostId host, Duration timeLimit);
  RejectReason resend(PendingRequest& request, Outcome outcome);
  void recordOutcome(HostId host, const PendingRequest& request, const Attempt& attempt,
                     const AttemptResult& result);
  void reject(PendingRequest& request, RejectReason reason);
  void rejectOrFail(PendingRequest& request, RejectReason reason);
  void finish(PendingRequest& request);
  void cancelAttempts(PendingRequest& request, std::uint32_t exceptAttempt = kNone);
  void eraseIfComplete(const PendingRequest& request);

  // Timers and sweeps.
  void schedule(Time at, const PendingRequest& request, TimerKind kind);
  void runTimer(const Timer& timer);
  bool isOpen(RequestId id);
  void scheduleWake();
  void sweepEndpoints();
  void sweepPool();
  void closeUnusedConnections();
  void updateThreshold();

  // Endpoints.
  void resetForNewProcess(HostId host);

  Settings settings_;
  RandomSource random_;
  Time now_;
  Time nextSweepAt_;
  Time wakeAt_{};
  ActionList actions_;
  ArrivalRate arrivals_;
  RequestClassTable classes_;
  RequestTable requests_;
  EndpointRegistry endpoints_{settings_};
  KeyFrequency keyFrequency_;
  KeySequencer keySequencer_;
  TenantQuota tenantQuota_;
  TimerQueue timers_;
  DiscoveryPoller discovery_{settings_};
  SlowStart slowStart_{settings_};
  ServiceTimeModel serviceTimes_{slowStart_};
  ReportedLoad reportedLoad_;
  ConnectionTracker connections_{settings_};
  OutlierDetector outliers_;
  ConcurrencyLimit concurrencyLimit_;
  LoadShedder shedder_;
  RetryPolicy retries_{settings_};
  EndpointSelector selector_{{.settings = settings_,
                              .arrivals = arrivals_,
                              .keyFrequency = keyFrequency_,
                              .slowStart = slowStart_,
                              .serviceTimes = serviceTimes_,
                              .outliers = outliers_,
                              .connections = connections_,
                              .retries = retries_}};
};

}  // namespace hollyrun::balancer
