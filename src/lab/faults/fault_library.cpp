// A library for LD_PRELOAD that makes system calls of one process fail, move fewer bytes than asked, or read
// a wall clock that was moved, as the page of fault_page.hpp says. It changes nothing outside of the process.
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

// The function that this library stands in front of.
template <class Function>
Function* next(const char* name) {
  return reinterpret_cast<Function*>(::dlsym(RTLD_NEXT, name));
}

FaultPage* mapPage() {
  const char* path = std::getenv(hollyrun::lab::kFaultPageVariable);
  if (!path)
    return nullptr;
  const int file = next<int(const char*, int, ...)>("open")(path, O_RDWR | O_CLOEXEC);
  if (file < 0)
    return nullptr;
  void* at = ::mmap(nullptr, sizeof(FaultPage), PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
  ::close(file);
  return at == MAP_FAILED ? nullptr : static_cast<FaultPage*>(at);
}

FaultPage* page() {
  static FaultPage* const mapped = mapPage();
  return mapped;
}

// splitmix64: the draws of a process are the same for the same seed and calls.
std::uint64_t draw() {
  static std::atomic<std::uint64_t> state{page()->seed.load()};
  std::uint64_t x = state.fetch_add(0x9e3779b97f4a7c15ULL) + 0x9e3779b97f4a7c15ULL;
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31);
}

// The fault that this call meets, or null.
CallFault* faultOf(FaultyCall call) {
  if (!page())
    return nullptr;
  CallFault& fault = page()->of(call);
  const std::uint32_t oneIn = fault.oneIn.load(std::memory_order_relaxed);
  if (oneIn == 0 || draw() % oneIn != 0)
    return nullptr;
  fault.injected.fetch_add(1, std::memory_order_relaxed);
  return &fault;
}

// Whether the call fails; errno is set then.
bool fails(FaultyCall call) {
  const CallFault* fault = faultOf(call);
  if (!fault || fault->error == 0)
    return false;
  errno = fault->error;
  return true;
}

// As fails(); `size` becomes what a short call moves.
bool failsOrShortens(FaultyCall call, std::size_t& size) {
  const CallFault* fault = faultOf(call);
  if (!fault)
    return false;
  if (fault->error != 0) {
    errno = fault->error;
    return true;
  }
  const std::size_t atMost = fault->atMost;
  if (atMost > 0)
    size = std::min(size, atMost);
  return false;
}

bool isRegularFile(int descriptor) {
  struct stat status {};
  const int before = errno;
  const bool is = ::fstat(descriptor, &status) == 0 && S_ISREG(status.st_mode);
  errno = before;
  return is;
}

// The first bytes of a message with several parts, as one part of at most `size` bytes.
iovec firstPart(const msghdr* message, std::size_t size) {
  for (std::size_t i = 0; i < message->msg_iovlen; ++i)
    if (message->msg_iov[i].iov_len > 0)
      return {message->msg_iov[i].iov_base, std::min(message->msg_iov[i].iov_len, size)};
  return {nullptr, 0};
}

constexpr std::size_t kWhole = SIZE_MAX;

// sendmsg and recvmsg: the message whole, or a part of its first bytes.
template <class Real, class Message>
ssize_t moveMessage(FaultyCall call, Real* real, int descriptor, Message* message, int flags) {
  std::size_t size = kWhole;
  if (failsOrShortens(call, size))
    return -1;
  if (size == kWhole)
    return real(descriptor, message, flags);
  msghdr shortened = *message;
  iovec part = firstPart(message, size);
  shortened.msg_iov = &part;
  shortened.msg_iovlen = 1;
  return real(descriptor, &shortened, flags);
}

}  // namespace

extern "C" {

int clock_gettime(clockid_t clock, timespec* time) noexcept {
  static auto* const real = next<int(clockid_t, timespec*)>("clock_gettime");
  const int result = real(clock, time);
  if (result != 0 || clock != CLOCK_REALTIME || !page())
    return result;
  constexpr std::int64_t kSecond = 1'000'000'000;
  const std::int64_t at = time->tv_sec * kSecond + time->tv_nsec + page()->wallClockOffsetNs;
  time->tv_sec = at / kSecond;
  time->tv_nsec = at % kSecond;
  return result;
}

int accept(int listener, sockaddr* address, socklen_t* length) {
  static auto* const real = next<int(int, sockaddr*, socklen_t*)>("accept");
  return fails(FaultyCall::accept) ? -1 : real(listener, address, length);
}

int accept4(int listener, sockaddr* address, socklen_t* length, int flags) {
  static auto* const real = next<int(int, sockaddr*, socklen_t*, int)>("accept4");
  return fails(FaultyCall::accept) ? -1 : real(listener, address, length, flags);
}

int socket(int domain, int type, int protocol) noexcept {
  static auto* const real = next<int(int, int, int)>("socket");
  return fails(FaultyCall::socket) ? -1 : real(domain, type, protocol);
}

int connect(int descriptor, const sockaddr* address, socklen_t length) {
  static auto* const real = next<int(int, const sockaddr*, socklen_t)>("connect");
  return fails(FaultyCall::connect) ? -1 : real(descriptor, address, length);
}

ssize_t send(int descriptor, const void* data, std::size_t size, int flags) {
  static auto* const real = next<ssize_t(int, const void*, std::size_t, int)>("send");
  return failsOrShortens(FaultyCall::send, size) ? -1 : real(descriptor, data, size, flags);
}

ssize_t sendmsg(int descriptor, const msghdr* message, int flags) {
  static auto* const real = next<ssize_t(int, const msghdr*, int)>("sendmsg");
  return moveMessage(FaultyCall::send, real, descriptor, message, flags);
}

ssize_t recv(int descriptor, void* data, std::size_t size, int flags) {
  static auto* const real = next<ssize_t(int, void*, std::size_t, int)>("recv");
  return failsOrShortens(FaultyCall::receive, size) ? -1 : real(descriptor, data, size, flags);
}

ssize_t recvmsg(int descriptor, msghdr* message, int flags) {
  static auto* const real = next<ssize_t(int, msghdr*, int)>("recvmsg");
  return moveMessage(FaultyCall::receive, real, descriptor, message, flags);
}

ssize_t read(int descriptor, void* data, std::size_t size) {
  static auto* const real = next<ssize_t(int, void*, std::size_t)>("read");
  if (isRegularFile(descriptor) && failsOrShortens(FaultyCall::read, size))
    return -1;
  return real(descriptor, data, size);
}

int poll(pollfd* descriptors, nfds_t count, int timeout) {
  static auto* const real = next<int(pollfd*, nfds_t, int)>("poll");
  return fails(FaultyCall::poll) ? -1 : real(descriptors, count, timeout);
}

int epoll_wait(int descriptor, epoll_event* events, int most, int timeout) {
  static auto* const real = next<int(int, epoll_event*, int, int)>("epoll_wait");
  return fails(FaultyCall::wait) ? -1 : real(descriptor, events, most, timeout);
}

int open(const char* path, int flags, ...) {
  static auto* const real = next<int(const char*, int, ...)>("open");
  va_list arguments;
  va_start(arguments, flags);
  const mode_t mode = flags & O_CREAT ? va_arg(arguments, mode_t) : 0;
  va_end(arguments);
  return fails(FaultyCall::open) ? -1 : real(path, flags, mode);
}

int mkostemp(char* path, int flags) {
  static auto* const real = next<int(char*, int)>("mkostemp");
  return fails(FaultyCall::open) ? -1 : real(path, flags);
}

int flock(int descriptor, int operation) noexcept {
  static auto* const real = next<int(int, int)>("flock");
  return fails(FaultyCall::lock) ? -1 : real(descriptor, operation);
}

}  // extern "C"
