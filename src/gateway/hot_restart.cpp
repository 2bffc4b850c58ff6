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

constexpr auto kScanInterval = std::chrono::milliseconds(100);

// Non-blocking: of a new file nobody else can hold the lock, and an interrupted call is retried at the next
// scan.
bool tryLock(int file) {
  return ::flock(file, LOCK_EX | LOCK_NB) == 0;
}

}  // namespace

HotRestart::HotRestart(boost::asio::io_context& io, const std::string& directory,
                       const boost::asio::ip::tcp::endpoint& address, std::function<void()> onChange)
    : directory_(directory),
      filePrefix_("gateway-" + address.address().to_string() + "-" + std::to_string(address.port()) + "."),
      onChange_(std::move(onChange)),
      timer_(io) {
  announce();
  isOtherPresent_ = scanForOthers();
  scheduleScan();
}

// May fail when the disk is full or a call is interrupted; it is retried at each scan, because a process that
// stays unannounced divides its limits with nobody.
void HotRestart::announce() {
  std::string path = directory_ + "/" + filePrefix_ + "XXXXXX";
  const int file = ::mkostemp(path.data(), O_CLOEXEC);
  if (file < 0)
    return;
  if (!tryLock(file)) {
    ::unlink(path.c_str());
    ::close(file);
    return;
  }
  file_ = file;
  ownPath_ = std::move(path);
}

HotRestart::~HotRestart() {
  if (!isAnnounced())
    return;
  ::unlink(ownPath_.c_str());
  ::close(file_);
}

// A file that another process removed before we had locked it is made again.
void HotRestart::restoreAnnouncement() {
  if (!isAnnounced())
    announce();
  if (isAnnounced() && ::access(ownPath_.c_str(), F_OK) != 0) {
    const int again = ::open(ownPath_.c_str(), O_CREAT | O_RDWR | O_CLOEXEC, 0600);
    if (again >= 0 && tryLock(again))
      ::close(std::exchange(file_, again));
    else if (again >= 0)
      ::close(again);
  }
}

// A killed process leaves its file but not its lock, so whoever gets the lock removes the file. One that a
// process has created and not locked yet may be removed too; restoreAnnouncement() of that process repairs
// it.
bool HotRestart::scanForOthers() {
  restoreAnnouncement();
  bool other = false;
  std::error_code ec;
  for (std::filesystem::directory_iterator it(directory_, ec), end; !ec && it != end; it.increment(ec)) {
    const std::string path = it->path().string(), name = it->path().filename().string();
    if (name.rfind(filePrefix_, 0) != 0 || name == std::filesystem::path(ownPath_).filename().string())
      continue;
    const int file = ::open(path.c_str(), O_RDWR | O_CLOEXEC);
    if (file < 0)
      continue;
    if (tryLock(file))
      ::unlink(path.c_str());
    else  // an interrupted call leaves the last result in effect
      other = other || errno == EWOULDBLOCK || isOtherPresent_;
    ::close(file);
  }
  return other;
}

void HotRestart::scheduleScan() {
  timer_.expires_after(kScanInterval);
  timer_.async_wait([this](boost::system::error_code ec) {
    if (ec)
      return;
    const bool before = std::exchange(isOtherPresent_, scanForOthers());
    if (isOtherPresent_ != before)
      onChange_();
    scheduleScan();
  });
}

// The sockets of a group are ordered as they joined it, and one that leaves is followed by the
// last: of two, the later one has index 1. An index that does not exist leaves the choice to the kernel's
// hash.
void HotRestart::steerToLatestListener(int listener) {
  sock_filter selectSecond[] = {{BPF_RET | BPF_K, 0, 0, 1}};
  const sock_fprog program{1, selectSecond};
  ::setsockopt(listener, SOL_SOCKET, SO_ATTACH_REUSEPORT_CBPF, &program, sizeof program);
}

}  // namespace hollyrun::gateway
