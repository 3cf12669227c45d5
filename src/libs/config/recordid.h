#ifndef EBONY_CONFIG_RECORDID_H
#define EBONY_CONFIG_RECORDID_H

#include <string>
#include <tuple>

namespace ebony::config {

/// Kind and name, which identify a record.
struct RecordId {
  std::string Kind_;
  std::string Name_;

  friend bool operator==(const RecordId &, const RecordId &) = default;
  friend bool operator<(const RecordId &Left, const RecordId &Right) {
    return std::tie(Left.Kind_, Left.Name_) <
           std::tie(Right.Kind_, Right.Name_);
  }
};

} // namespace ebony::config

#endif
