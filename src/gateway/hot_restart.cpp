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

// Does not wait for the lock. No other process is expected to hold the lock of a newly created file, a lock
// held by another process is what a scan looks for, and an interrupted call is retried at the next scan.
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
  isOtherProcessPresent_ = scanForOthers();
  scheduleScan();
}

// Fails if the disk is full or a call is interrupted, for example. The announcement is retried at each scan,
// because other processes do not divide the limits with a process that they cannot detect.
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
  lockFile_ = file;
  lockFilePath_ = std::move(path);
}

HotRestart::~HotRestart() {
  if (!isAnnounced())
    return;
  ::unlink(lockFilePath_.c_str());
  ::close(lockFile_);
}

// Creates the file again if another process removed it before this one had locked it.
void HotRestart::restoreAnnouncement() {
  if (!isAnnounced())
    announce();
  if (isAnnounced() && ::access(lockFilePath_.c_str(), F_OK) != 0) {
    const int recreated = ::open(lockFilePath_.c_str(), O_CREAT | O_RDWR | O_CLOEXEC, 0600);
    if (recreated >= 0 && tryLock(recreated))
      ::close(std::exchange(lockFile_, recreated));
    else if (recreated >= 0)
      ::close(recreated);
  }
}

// Returns whether another process holds the lock of its file. A killed process leaves its file behind, but
// the kernel releases the lock, so a file that can be locked is stale and is removed. This may also remove a
// file that its process has created but not locked yet; restoreAnnouncement() in that process creates it
// again.
bool HotRestart::scanForOthers() {
  restoreAnnouncement();
  bool isOtherFound = false;
  std::error_code ec;
  for (std::filesystem::directory_iterator it(directory_, ec), end; !ec && it != end; it.increment(ec)) {
    const std::string path = it->path().string(), name = it->path().filename().string();
    if (name.rfind(filePrefix_, 0) != 0 || name == std::filesystem::path(lockFilePath_).filename().string())
      continue;
    const int file = ::open(path.c_str(), O_RDWR | O_CLOEXEC);
    if (file < 0)
      continue;
    if (tryLock(file))
      ::unlink(path.c_str());
    else  // after an interrupted call the result of the last scan remains in effect
      isOtherFound = isOtherFound || errno == EWOULDBLOCK || isOtherProcessPresent_;
    ::close(file);
  }
  return isOtherFound;
}

void HotRestart::scheduleScan() {
  timer_.expires_after(kScanInterval);
  timer_.async_wait([this](boost::system::error_code ec) {
    if (ec)
      return;
    const bool wasOtherPresent = std::exchange(isOtherProcessPresent_, scanForOthers());
    if (isOtherProcessPresent_ != wasOtherPresent)
      onChange_();
    scheduleScan();
  });
}

// The kernel indexes the sockets of a group in the order in which they joined, and moves the last socket into
// the place of one that leaves. Of two sockets, the later one therefore has index 1. If a group has no socket
// with that index, the kernel selects by its hash.
void HotRestart::steerToLatestListener(int listener) {
  sock_filter selectSecond[] = {{BPF_RET | BPF_K, 0, 0, 1}};
  const sock_fprog program{1, selectSecond};
  ::setsockopt(listener, SOL_SOCKET, SO_ATTACH_REUSEPORT_CBPF, &program, sizeof program);
}

}  // namespace hollyrun::gateway
