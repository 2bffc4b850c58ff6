// What the preloaded fault library does to a process: one page of shared memory, written by a test or by the
// soak and read at each call of the process. All fields are atomics of their own; there is no order between
// them.
#pragma once

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>

namespace hollyrun::lab {

/// The environment variable that names the file which holds the page. Without it the library does nothing.
inline constexpr const char* kFaultPageVariable = "HOLLYRUN_FAULT_PAGE";

/// System calls that can be made to fail, each with those that are its variants (accept with accept4, send
/// with sendmsg, recv with recvmsg, open with mkostemp).
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
  std::atomic<std::uint32_t> oneIn{0};     ///< one call of so many, drawn, meets the fault; 0: none does
  std::atomic<std::int32_t> error{0};      ///< errno of the fault; 0: the call is only made short
  std::atomic<std::uint32_t> atMost{0};    ///< bytes that a short call moves; 0: as asked
  std::atomic<std::uint64_t> injected{0};  ///< faults so far, counted by the library
};

struct FaultPage {
  std::atomic<std::int64_t> wallClockOffsetNs{0};  ///< added to CLOCK_REALTIME
  std::atomic<std::uint64_t> seed{1};              ///< of the draws; read once, at the first call
  std::array<CallFault, static_cast<std::size_t>(FaultyCall::count)> calls;

  CallFault& of(FaultyCall call) { return calls[static_cast<std::size_t>(call)]; }
};

static_assert(std::atomic<std::uint64_t>::is_always_lock_free, "the page is shared between processes");

}  // namespace hollyrun::lab
