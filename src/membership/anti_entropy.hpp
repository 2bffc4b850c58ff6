/// Anti-entropy: two members whose view digests differ compare the digests of each bucket and exchange the
/// records of the buckets that differ.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "membership/member_table.hpp"
#include "membership/message.hpp"
#include "membership/time.hpp"

namespace hollyrun::membership {

/// Limits how often a member pulls records from others.
class AntiEntropy {
 public:
  /// The first pull is allowed immediately.
  AntiEntropy(Time now, Duration probeInterval) { allowPull(now, probeInterval); }

  /// Allows at most one comparison to begin in each probe interval.
  bool mayPull(Time now, Duration probeInterval) const { return now - lastPull_ >= probeInterval; }
  void onPull(Time now) { lastPull_ = now; }
  void allowPull(Time now, Duration probeInterval) { lastPull_ = now - probeInterval; }

 private:
  Time lastPull_{};
};

/// Returns a limited number of names in buckets whose digests differ from the requester's. They are shown to
/// operators.
std::vector<std::string> differingNames(const Message& pull, const MemberTable& table,
                                        const MemberRecord& self);

/// Adds to `view`, the response to `pull`, as many records of differing buckets as fit into one datagram, and
/// the cursor for the next pull.
void fillView(Message& view, const Message& pull, const MemberTable& table, const MemberRecord& self,
              std::string_view fleet);

}  // namespace hollyrun::membership
