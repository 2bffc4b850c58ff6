// The example of the README, kept the same by .ci/run.
#include <cstdio>
#include <hollyrun/balancer.hpp>

int main() {
  using namespace std::chrono_literals;
  hollyrun::balancer::Settings settings;
  settings.seed = 42;
  hollyrun::balancer::ClassSettings reads;
  reads.name = "read";
  reads.idempotency = hollyrun::balancer::Idempotency::idempotent;
  reads.latencyObjective = 200ms;
  reads.clientTimeout = 1s;
  settings.classes = {reads};

  hollyrun::balancer::Balancer balancer(settings, 0ns);  // throws std::invalid_argument on nonsense
  hollyrun::balancer::Endpoint host;
  host.address = "10.0.0.1:8080";
  balancer.onEndpoints(0ns, hollyrun::balancer::EndpointListKind::snapshot, {host});

  hollyrun::balancer::Request request;
  request.id = 1;
  request.classIndex = 0;
  request.remaining = 1s;
  balancer.onRequest(1ms, request);
  for (const hollyrun::balancer::Action& action : balancer.actions())
    if (action.kind == hollyrun::balancer::ActionKind::send)
      std::printf("send %llu to %s\n", static_cast<unsigned long long>(action.request),
                  balancer.address(action.host).c_str());
  balancer.actions().clear();
}
