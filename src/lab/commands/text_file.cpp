#include "lab/commands/text_file.hpp"

#include <fstream>
#include <stdexcept>

namespace hollyrun::lab {

void writeTextFile(const std::string& path, const std::string& content) {
  std::ofstream file(path);
  file << content;
  file.close();
  if (!file)
    throw std::runtime_error("cannot write " + path);
}

}  // namespace hollyrun::lab
