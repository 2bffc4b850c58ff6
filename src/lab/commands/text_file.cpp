#include "lab/commands/text_file.hpp"

#include <fstream>
#include <stdexcept>

namespace hollyrun::lab {

void writeTextFile(const std::string& path, const std::string& content) {
  std::ofstream file(path);
  file << content;
  file.close();
  if (!file)
    throw std::runtime_error(path + " could not be written");
}

}  // namespace hollyrun::lab
