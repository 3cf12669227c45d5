#include "vm/callerrequest.h"

namespace ebony::vm {

namespace {

// Memory of a field besides its name and value: pointers of two containers,
// its length and what the allocator adds.
constexpr std::size_t FieldOverheadBytes = 96;

} // namespace

std::size_t memoryOf(const CallerRequest &Request) {
  std::size_t Bytes = Request.Target_.capacity() + Request.Body_.capacity();
  for (const auto &Field : Request.Fields_)
    Bytes +=
        FieldOverheadBytes + Field.name_string().size() + Field.value().size();
  return Bytes;
}

} // namespace ebony::vm
