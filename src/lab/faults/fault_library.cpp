// A library for LD_PRELOAD that makes system calls of one process fail, transfer fewer bytes than requested,
// hold memory, or read a shifted wall clock, as configured by the page of fault_page.hpp. Other processes are
// unaffected.
#include <dlfcn.h>
#include <fcntl.h>
#include <poll.h>
#include <sys/epoll.h>
#include <sys/file.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/uio.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdarg>
#include <cstdlib>
#include <cstring>
#include <ctime>

#include "lab/faults/fault_page.hpp"

namespace {

using hollyrun::lab::CallFault;
using hollyrun::lab::FaultPage;
using hollyrun::lab::FaultyCall;

// Returns the function that this library intercepts.
template <class Function>
Function* nextDefinition(const char* name) {
  return reinterpret_cast<Function*>(::dlsym(RTLD_NEXT, name));
}

FaultPage* mapPage() {
  const char* path = std::getenv(hollyrun::lab::kFaultPageVariable);
  if (!path)
    return nullptr;
  const int file = nextDefinition<int(const char*, int, ...)>("open")(path, O_RDWR | O_CLOEXEC);
  if (file < 0)
    return nullptr;
  void* mapped = ::mmap(nullptr, sizeof(FaultPage), PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
  ::close(file);
  return mapped == MAP_FAILED ? nullptr : static_cast<FaultPage*>(mapped);
}

FaultPage* page() {
  static FaultPage* const mapped = mapPage();
  return mapped;
}

// SplitMix64: a process draws the same numbers for the same seed and sequence of calls.
std::uint64_t nextRandom() {
  static std::atomic<std::uint64_t> state{page()->seed.load()};
  std::uint64_t x = state.fetch_add(0x9e3779b97f4a7c15ULL) + 0x9e3779b97f4a7c15ULL;
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31);
}

// Memory of the process that its own account does not know.
void holdBallast() {
  static void* held = nullptr;
  static std::size_t heldBytes = 0;
  if (!page() || page()->ballastBytes.load(std::memory_order_relaxed) == heldBytes)
    return;
  if (held)
    ::munmap(held, heldBytes);
  held = nullptr;
  heldBytes = page()->ballastBytes.load(std::memory_order_relaxed);
  if (heldBytes == 0)
    return;
  held =
      ::mmap(nullptr, heldBytes, PROT_READ | PROT_WRITE, MAP_PRIVATE | MAP_ANONYMOUS | MAP_POPULATE, -1, 0);
  if (held == MAP_FAILED)
    held = nullptr;
}

// Returns the fault to inject into this call, or null.
CallFault* faultToInject(FaultyCall call) {
  if (!page())
    return nullptr;
  CallFault& fault = page()->of(call);
  const std::uint32_t oneIn = fault.oneIn.load(std::memory_order_relaxed);
  if (oneIn == 0 || nextRandom() % oneIn != 0)
    return nullptr;
  fault.injected.fetch_add(1, std::memory_order_relaxed);
  return &fault;
}

// Returns whether the call fails, in which case errno is set.
bool fails(FaultyCall call) {
  const CallFault* fault = faultToInject(call);
  if (!fault || fault->error == 0)
    return false;
  errno = fault->error;
  return true;
}

// Like fails(). For a short call, `size` is reduced to the bytes to transfer.
bool failsOrShortens(FaultyCall call, std::size_t& size) {
  const CallFault* fault = faultToInject(call);
  if (!fault)
    return false;
  if (fault->error != 0) {
    errno = fault->error;
    return true;
  }
  const std::size_t maxBytes = fault->maxBytes;
  if (maxBytes > 0)
    size = std::min(size, maxBytes);
  return false;
}

bool isRegularFile(int descriptor) {
  struct stat status {};
  const int savedErrno = errno;
  const bool regular = ::fstat(descriptor, &status) == 0 && S_ISREG(status.st_mode);
  errno = savedErrno;
  return regular;
}

// Returns at most `size` bytes of the first non-empty buffer of the message.
iovec firstBuffer(const msghdr* message, std::size_t size) {
  for (std::size_t i = 0; i < message->msg_iovlen; ++i)
    if (message->msg_iov[i].iov_len > 0)
      return {message->msg_iov[i].iov_base, std::min(message->msg_iov[i].iov_len, size)};
  return {nullptr, 0};
}

constexpr std::size_t kUnlimited = SIZE_MAX;

// Implements sendmsg and recvmsg: transfers the whole message or, for a short call, only its first bytes.
template <class Real, class Message>
ssize_t transferMessage(FaultyCall call, Real* real, int descriptor, Message* message, int flags) {
  std::size_t size = kUnlimited;
  if (failsOrShortens(call, size))
    return -1;
  if (size == kUnlimited)
    return real(descriptor, message, flags);
  msghdr shortened = *message;
  iovec buffer = firstBuffer(message, size);
  shortened.msg_iov = &buffer;
  shortened.msg_iovlen = 1;
  return real(descriptor, &shortened, flags);
}

}  // namespace

extern "C" {

int clock_gettime(clockid_t clock, timespec* time) noexcept {
  static auto* const real = nextDefinition<int(clockid_t, timespec*)>("clock_gettime");
  const int result = real(clock, time);
  if (result != 0 || clock != CLOCK_REALTIME || !page())
    return result;
  constexpr std::int64_t kNsPerSecond = 1'000'000'000;
  const std::int64_t shifted = time->tv_sec * kNsPerSecond + time->tv_nsec + page()->wallClockOffsetNs;
  time->tv_sec = shifted / kNsPerSecond;
  time->tv_nsec = shifted % kNsPerSecond;
  return result;
}

int accept(int listener, sockaddr* address, socklen_t* length) {
  static auto* const real = nextDefinition<int(int, sockaddr*, socklen_t*)>("accept");
  return fails(FaultyCall::accept) ? -1 : real(listener, address, length);
}

int accept4(int listener, sockaddr* address, socklen_t* length, int flags) {
  static auto* const real = nextDefinition<int(int, sockaddr*, socklen_t*, int)>("accept4");
  return fails(FaultyCall::accept) ? -1 : real(listener, address, length, flags);
}

int socket(int domain, int type, int protocol) noexcept {
  static auto* const real = nextDefinition<int(int, int, int)>("socket");
  return fails(FaultyCall::socket) ? -1 : real(domain, type, protocol);
}

int connect(int descriptor, const sockaddr* address, socklen_t length) {
  static auto* const real = nextDefinition<int(int, const sockaddr*, socklen_t)>("connect");
  return fails(FaultyCall::connect) ? -1 : real(descriptor, address, length);
}

ssize_t send(int descriptor, const void* data, std::size_t size, int flags) {
  static auto* const real = nextDefinition<ssize_t(int, const void*, std::size_t, int)>("send");
  return failsOrShortens(FaultyCall::send, size) ? -1 : real(descriptor, data, size, flags);
}

ssize_t sendmsg(int descriptor, const msghdr* message, int flags) {
  static auto* const real = nextDefinition<ssize_t(int, const msghdr*, int)>("sendmsg");
  return transferMessage(FaultyCall::send, real, descriptor, message, flags);
}

ssize_t recv(int descriptor, void* data, std::size_t size, int flags) {
  static auto* const real = nextDefinition<ssize_t(int, void*, std::size_t, int)>("recv");
  return failsOrShortens(FaultyCall::receive, size) ? -1 : real(descriptor, data, size, flags);
}

ssize_t recvmsg(int descriptor, msghdr* message, int flags) {
  static auto* const real = nextDefinition<ssize_t(int, msghdr*, int)>("recvmsg");
  return transferMessage(FaultyCall::receive, real, descriptor, message, flags);
}

ssize_t read(int descriptor, void* data, std::size_t size) {
  static auto* const real = nextDefinition<ssize_t(int, void*, std::size_t)>("read");
  if (isRegularFile(descriptor) && failsOrShortens(FaultyCall::read, size))
    return -1;
  return real(descriptor, data, size);
}

int poll(pollfd* descriptors, nfds_t count, int timeout) {
  static auto* const real = nextDefinition<int(pollfd*, nfds_t, int)>("poll");
  return fails(FaultyCall::poll) ? -1 : real(descriptors, count, timeout);
}

int epoll_wait(int descriptor, epoll_event* events, int maxEvents, int timeout) {
  holdBallast();
  static auto* const real = nextDefinition<int(int, epoll_event*, int, int)>("epoll_wait");
  return fails(FaultyCall::wait) ? -1 : real(descriptor, events, maxEvents, timeout);
}

int open(const char* path, int flags, ...) {
  static auto* const real = nextDefinition<int(const char*, int, ...)>("open");
  va_list arguments;
  va_start(arguments, flags);
  const mode_t mode = flags & O_CREAT ? va_arg(arguments, mode_t) : 0;
  va_end(arguments);
  return fails(FaultyCall::open) ? -1 : real(path, flags, mode);
}

int mkostemp(char* path, int flags) {
  static auto* const real = nextDefinition<int(char*, int)>("mkostemp");
  return fails(FaultyCall::open) ? -1 : real(path, flags);
}

int flock(int descriptor, int operation) noexcept {
  static auto* const real = nextDefinition<int(int, int)>("flock");
  return fails(FaultyCall::lock) ? -1 : real(descriptor, operation);
}

}  // extern "C"
