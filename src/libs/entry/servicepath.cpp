#include "entry/servicepath.h"

namespace ebony::entry {

std::optional<ServicePath> parseServicePath(const std::string &Target) {
  static const std::string Prefix = "/s/";
  if (Target.compare(0, Prefix.size(), Prefix) != 0)
    return std::nullopt;
  const std::size_t End = Target.find_first_of("/?", Prefix.size());
  const std::string Service = Target.substr(
      Prefix.size(),
      End == std::string::npos ? std::string::npos : End - Prefix.size());
  if (Service.empty())
    return std::nullopt;
  std::string UpstreamTarget =
      End == std::string::npos ? "/" : Target.substr(End);
  if (UpstreamTarget.front() == '?')
    UpstreamTarget.insert(0, "/");
  return ServicePath{base::ServiceName(Service),
                     UpstreamTarget.substr(0, UpstreamTarget.find('?')),
                     UpstreamTarget};
}

} // namespace ebony::entry
