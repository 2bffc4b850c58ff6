// Configuration of the preloaded fault library: one page of shared memory, written by a test or by the soak
// and read by the process at each intercepted call. Each field is an independent atomic; there is no ordering
// between fields.
#pragma once

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>

namespace hollyrun::lab {

/// The environment variable with the path of the page's file. Without it the library injects no faults.
inline constexpr const char* kFaultPageVariable = "HOLLYRUN_FAULT_PAGE";

/// System calls that can be made to fail. Each entry includes the variants of the call: accept with accept4,
/// send with sendmsg, recv with recvmsg, open with mkostemp. `wait` is epoll_wait and `lock` is flock. Calls
/// of read are affected for regular files only.
enum class FaultyCall : std::size_t {
  accept,
  socket,
  connect,
  send,
  receive,
  poll,
  wait,
  open,
  lock,
  read,
  count
};

struct CallFault {
  std::atomic<std::uint32_t> oneIn{0};     ///< each call fails with probability 1/oneIn; 0: never
  std::atomic<std::int32_t> error{0};      ///< errno to set; 0: the call succeeds but is short
  std::atomic<std::uint32_t> maxBytes{0};  ///< largest transfer of a short call in bytes; 0: unlimited
  std::atomic<std::uint64_t> injected{0};  ///< number of injected faults, counted by the library
};

struct FaultPage {
  std::atomic<std::int64_t> wallClockOffsetNs{0};  ///< added to CLOCK_REALTIME
  std::atomic<std::uint64_t> ballastBytes{0};      ///< memory that the library makes the process hold
  std::atomic<std::uint64_t> seed{1};              ///< random seed; read once, at the first call
  std::array<CallFault, static_cast<std::size_t>(FaultyCall::count)> calls;

  CallFault& of(FaultyCall call) { return calls[static_cast<std::size_t>(call)]; }
};

static_assert(std::atomic<std::uint64_t>::is_always_lock_free, "the page is shared between processes");

}  // namespace hollyrun::lab
