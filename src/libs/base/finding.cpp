#include "base/finding.h"

#include <utility>

namespace ebony::base {

Finding::Finding(std::string Source, std::string Path, std::string Message)
    : Source_(std::move(Source)), Path_(std::move(Path)),
      Message_(std::move(Message)) {}

std::string Finding::text() const {
  std::string Text;
  for (const std::string *Part : {&Source_, &Path_})
    if (!Part->empty())
      Text += *Part + ": ";
  return Text + Message_;
}

std::string toText(const Findings &All) {
  std::string Text;
  for (const Finding &One : All)
    Text += One.text() + "\n";
  return Text;
}

} // namespace ebony::base
