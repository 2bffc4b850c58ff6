/// Writes the files that options of hollyrun-lab name.
#pragma once

#include <string>

namespace hollyrun::lab {

/// Replaces the file's content. Throws std::runtime_error that names the file if it can't be written.
void writeTextFile(const std::string& path, const std::string& content);

}  // namespace hollyrun::lab
