// The file that holds a page of faults, for the one who writes it: a test or the soak.
#pragma once

#include <fcntl.h>
#include <sys/mman.h>
#include <unistd.h>

#include <cstdio>
#include <new>
#include <stdexcept>
#include <string>

#include "lab/faults/fault_page.hpp"

namespace hollyrun::lab {

/// Made at its begin and removed at its end; the processes that mapped it keep their page.
class FaultFile {
 public:
  /// Throws std::runtime_error if the file cannot be made or mapped.
  explicit FaultFile(const std::string& path, std::uint64_t seed = 1) : path_(path) {
    const int file = ::open(path.c_str(), O_CREAT | O_TRUNC | O_RDWR | O_CLOEXEC, 0600);
    if (file < 0 || ::ftruncate(file, sizeof(FaultPage)) != 0)
      throw std::runtime_error("no file for faults at " + path);
    void* at = ::mmap(nullptr, sizeof(FaultPage), PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
    ::close(file);
    if (at == MAP_FAILED)
      throw std::runtime_error("no page for faults at " + path);
    page_ = new (at) FaultPage();
    page_->seed = seed;
  }
  ~FaultFile() {
    ::munmap(page_, sizeof(FaultPage));
    std::remove(path_.c_str());
  }
  FaultFile(const FaultFile&) = delete;
  FaultFile& operator=(const FaultFile&) = delete;

  FaultPage* operator->() { return page_; }
  const std::string& path() const { return path_; }

 private:
  std::string path_;
  FaultPage* page_ = nullptr;
};

}  // namespace hollyrun::lab
