#ifndef EBONY_PLATFORMSTANDIN_TABLEROW_H
#define EBONY_PLATFORMSTANDIN_TABLEROW_H

#include <cstdint>
#include <string>

namespace ebony::platformstandin {

/// Row of the table with the version of the commit that last wrote it.
struct TableRow {
  std::string Key_;
  std::uint64_t Version_ = 0;
  std::string Value_;

  friend bool operator==(const TableRow &, const TableRow &) = default;
};

} // namespace ebony::platformstandin

#endif
