#include "gateway/hot_restart.hpp"

#include <fcntl.h>
#include <linux/filter.h>
#include <sys/file.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <filesystem>
#include <utility>

namespace hollyrun::gateway {
namespace {

constexpr auto kLook = std::chrono::milliseconds(100);

// Nobody else knows the new file yet, so the lock is to be had at once; what interrupts it is tried at the
// next look.
bool lock(int file) {
  return ::flock(file, LOCK_EX | LOCK_NB) == 0;
}

}  // namespace

HotRestart::HotRestart(boost::asio::io_context& io, const std::string& folder,
                       const boost::asio::ip::tcp::endpoint& address, std::function<void()> changed)
    : folder_(folder),
      prefix_("gateway-" + address.address().to_string() + "-" + std::to_string(address.port()) + "."),
      changed_(std::move(changed)),
      timer_(io) {
  announce();
  otherPresent_ = look();
  watch();
}

// Danger: the disk may be full or a call interrupted for a moment; a process that stays unannounced shares
// its limits with nobody.
void HotRestart::announce() {
  std::string path = folder_ + "/" + prefix_ + "XXXXXX";
  const int file = ::mkostemp(path.data(), O_CLOEXEC);
  if (file < 0)
    return;
  if (!lock(file)) {
    ::unlink(path.c_str());
    ::close(file);
    return;
  }
  file_ = file;
  own_ = std::move(path);
}

HotRestart::~HotRestart() {
  if (!announced())
    return;
  ::unlink(own_.c_str());
  ::close(file_);
}

// Danger: a killed process leaves its file. Its lock is gone with it, so who gets the lock removes the file;
// one that a process has made and not yet locked may go with it, which that process's next look mends.
bool HotRestart::look() {
  if (!announced())
    announce();
  if (announced() && ::access(own_.c_str(), F_OK) != 0) {
    const int again = ::open(own_.c_str(), O_CREAT | O_RDWR | O_CLOEXEC, 0600);
    if (again >= 0 && ::flock(again, LOCK_EX | LOCK_NB) == 0)
      ::close(std::exchange(file_, again));
    else if (again >= 0)
      ::close(again);
  }
  bool other = false;
  std::error_code ec;
  for (std::filesystem::directory_iterator it(folder_, ec), end; !ec && it != end; it.increment(ec)) {
    const std::string path = it->path().string(), name = it->path().filename().string();
    if (name.rfind(prefix_, 0) != 0 || name == std::filesystem::path(own_).filename().string())
      continue;
    const int file = ::open(path.c_str(), O_RDWR | O_CLOEXEC);
    if (file < 0)
      continue;
    if (::flock(file, LOCK_EX | LOCK_NB) == 0)
      ::unlink(path.c_str());
    else  // a look that was interrupted tells nothing new
      other = other || errno == EWOULDBLOCK || otherPresent_;
    ::close(file);
  }
  return other;
}

void HotRestart::watch() {
  timer_.expires_after(kLook);
  timer_.async_wait([this](boost::system::error_code ec) {
    if (ec)
      return;
    const bool before = std::exchange(otherPresent_, look());
    if (otherPresent_ != before)
      changed_();
    watch();
  });
}

// The sockets of a group lie in the order in which they joined it, and one that leaves is followed by the
// last: of two, the later one is number 1. A number that is not there leaves the choice to the kernel's hash.
void HotRestart::steerToLatest(int listener) {
  sock_filter always[] = {{BPF_RET | BPF_K, 0, 0, 1}};
  const sock_fprog program{1, always};
  ::setsockopt(listener, SOL_SOCKET, SO_ATTACH_REUSEPORT_CBPF, &program, sizeof program);
}

}  // namespace hollyrun::gateway
