#ifndef EBONY_CONFIG_OBJECTSTORE_H
#define EBONY_CONFIG_OBJECTSTORE_H

#include <optional>
#include <string>

namespace ebony::config {

/// The platform's object store.
class ObjectStore {
public:
  virtual ~ObjectStore() = default;

  /// Returns true if the store confirmed the write.
  virtual bool put(const std::string &Name, const std::string &Bytes) = 0;

  /// Returns the bytes of the object, or std::nullopt if it is absent or the
  /// store is unreachable.
  virtual std::optional<std::string> get(const std::string &Name) = 0;
};

} // namespace ebony::config

#endif
