/// Anti-entropy: members whose view digests differ compare digests by bucket, and the records of the buckets
/// that differ are sent.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "membership/member_table.hpp"
#include "membership/message.hpp"
#include "membership/time.hpp"

namespace hollyrun::membership {

class AntiEntropy {
 public:
  /// The first pull may be made at once.
  AntiEntropy(Time now, Duration probeInterval) { allowPull(now, probeInterval); }

  /// At most one comparison is begun in a probe interval.
  bool mayPull(Time now, Duration probeInterval) const { return now - lastPull_ >= probeInterval; }
  void onPull(Time now) { lastPull_ = now; }
  void allowPull(Time now, Duration probeInterval) { lastPull_ = now - probeInterval; }

 private:
  Time lastPull_{};
};

/// Up to a few names in buckets that differ from the requester's, for operators.
std::vector<std::string> differingNames(const Message& pull, const MemberTable& table,
                                        const MemberRecord& self);

/// Completes `view`, the response to `pull`, with the records that differ: as many as fit into one datagram,
/// and the cursor where the next pull begins.
void fillView(Message& view, const Message& pull, const MemberTable& table, const MemberRecord& self,
              std::string_view fleet);

}  // namespace hollyrun::membership
