#include "standin/textfile.h"

#include <fstream>
#include <iterator>

namespace ebony::standin {

base::Checked<std::string> readText(const std::string &Path) {
  std::ifstream File(Path, std::ios::binary);
  if (!File)
    return base::Findings{{Path, "", "Give a file that can be read."}};
  return std::string(std::istreambuf_iterator<char>(File), {});
}

base::Findings writeText(const std::string &Path, const std::string &Text) {
  std::ofstream File(Path, std::ios::binary | std::ios::trunc);
  File << Text;
  File.close();
  if (!File)
    return {{Path, "", "Give a path that can be written."}};
  return {};
}

} // namespace ebony::standin
