// Creates and maps the file of a fault page, for the process that injects the faults: a test or the soak.
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

/// Owns the file: created by the constructor, removed by the destructor. Processes that have mapped the page
/// keep their mapping.
class FaultFile {
 public:
  /// Throws std::runtime_error if the file cannot be created or mapped.
  explicit FaultFile(const std::string& path, std::uint64_t seed = 1) : path_(path) {
    const int file = ::open(path.c_str(), O_CREAT | O_TRUNC | O_RDWR | O_CLOEXEC, 0600);
    if (file < 0 || ::ftruncate(file, sizeof(FaultPage)) != 0)
      throw std::runtime_error("cannot create the fault page file '" + path + "'");
    void* mapped = ::mmap(nullptr, sizeof(FaultPage), PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
    ::close(file);
    if (mapped == MAP_FAILED)
      throw std::runtime_error("cannot map the fault page file '" + path + "'");
    page_ = new (mapped) FaultPage();
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
