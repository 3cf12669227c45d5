#include "entry/requestidgenerator.h"

namespace ebony::entry {

RequestIdGenerator::RequestIdGenerator(const base::VmIdentity &OwnVm)
    : Prefix_(OwnVm.address().text() + "_" +
              std::to_string(OwnVm.incarnation()) + "_") {}

base::RequestId RequestIdGenerator::next() {
  return base::RequestId(Prefix_ + std::to_string(++Number_));
}

} // namespace ebony::entry
