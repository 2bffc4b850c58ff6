/// Writes the output files of hollyrun-lab.
#pragma once

#include <string>

namespace hollyrun::lab {

/// Replaces the content of the file. Throws std::runtime_error with the path if the file cannot be written.
void writeTextFile(const std::string& path, const std::string& content);

}  // namespace hollyrun::lab
