/// Serves the simulator's line protocol: reads batches from standard input, writes replies to standard output
/// and reports of rejected lines to standard error. Exits with 0 at the end of the input, and with 1 if the
/// input ends inside a batch or a reply can't be written.
#include <unistd.h>

#include <cerrno>
#include <iostream>
#include <string>
#include <string_view>
#include <vector>

#include "simulator_adapter/adapter.hpp"

namespace {

using hollyrun::simulator_adapter::Adapter;

constexpr std::size_t kReadBufferBytes = 1 << 16;

bool writeAll(const std::string& text) {
  std::size_t done = 0;
  while (done < text.size()) {
    const ssize_t written = write(STDOUT_FILENO, text.data() + done, text.size() - done);
    if (written < 0 && errno == EINTR)
      continue;
    if (written <= 0)
      return false;
    done += static_cast<std::size_t>(written);
  }
  return true;
}

/// Feeds the complete lines at the front of `pending` to the adapter, removes them and writes the replies.
/// Returns false if a reply can't be written.
bool feedLines(Adapter& adapter, std::string& pending) {
  std::string reply;
  std::size_t start = 0;
  for (std::size_t end; (end = pending.find('\n', start)) != std::string::npos; start = end + 1) {
    if (!adapter.feed(std::string_view(pending).substr(start, end - start), reply))
      continue;
    if (!writeAll(reply))
      return false;
    reply.clear();
  }
  pending.erase(0, start);
  return true;
}

}  // namespace

int main() {
  Adapter adapter(std::cerr);
  std::vector<char> block(kReadBufferBytes);
  std::string pending;
  for (;;) {
    const ssize_t received = read(STDIN_FILENO, block.data(), block.size());
    if (received < 0 && errno == EINTR)
      continue;
    if (received <= 0)
      break;
    pending.append(block.data(), static_cast<std::size_t>(received));
    if (!feedLines(adapter, pending))
      return 1;
  }
  if (!pending.empty() || adapter.insideBatch()) {
    std::cerr << "line " << adapter.lineNumber() + 1 << ": input ended inside a line or a batch\n";
    return 1;
  }
  return 0;
}
