#include "gateway/request_table.hpp"

#include <utility>

namespace hollyrun::gateway {

using balancer::RequestId;

RequestContext& RequestTable::add(DownstreamRequestId client) {
  const RequestId id = ++lastId_;
  RequestContext& context = contexts_[id];
  context.id = id;
  context.client = client;
  idByClient_.emplace(client, id);
  return context;
}

RequestContext* RequestTable::find(RequestId id) {
  const auto it = contexts_.find(id);
  return it == contexts_.end() ? nullptr : &it->second;
}

RequestContext* RequestTable::findByClient(DownstreamRequestId client) {
  const auto it = idByClient_.find(client);
  return it == idByClient_.end() ? nullptr : &contexts_.at(it->second);
}

void RequestTable::finish(RequestContext& context) {
  context.isFinished = true;
  idByClient_.erase(context.client);
}

void RequestTable::removeFinished() {
  for (const RequestId id : std::exchange(removalCandidates_, {})) {
    const auto it = contexts_.find(id);
    if (it != contexts_.end() && it->second.isFinished && it->second.attemptsInFlight == 0)
      contexts_.erase(it);
  }
}

}  // namespace hollyrun::gateway
