#ifndef EBONY_BASE_HOLDERCOUNT_H
#define EBONY_BASE_HOLDERCOUNT_H

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <cstddef>

namespace ebony::base {

/// Counts the objects that hold a reference to it, besides the one of its
/// owner. Used by one thread.
class HolderCount
    : public boost::intrusive_ref_counter<HolderCount,
                                          boost::thread_unsafe_counter> {
public:
  std::size_t value() const { return use_count() - 1; }
};

using HolderCountPtr = boost::intrusive_ptr<HolderCount>;

} // namespace ebony::base

#endif
